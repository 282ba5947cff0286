#include "Control/ConfigRecords.h"

#include "Base/Hash.h"
#include "Base/Json.h"

#include <limits>

#include <fmt/format.h>
#include <json/json.h>

namespace catkinloft::config_rows {

std::string historyKey(std::uint64_t revision)
{
    return fmt::format("{}{:020}", HistoryPrefix,
                       std::numeric_limits<std::uint64_t>::max() - revision);
}

std::string changeKey(std::string_view changeId)
{
    // Hashed, because an operator's id may contain characters that a row key may not.
    return "config/change/" + sha256Hex(changeId).substr(0, 32);
}

std::string encode(const ConfigRecord &record)
{
    Json::Value root;
    root["revision"] = static_cast<Json::UInt64>(record.digest.revision);
    root["hash"] = static_cast<Json::UInt64>(record.digest.hash);
    root["object"] = record.object;
    root["change_id"] = record.changeId;
    root["author"] = record.author;
    root["accepted_at"] = static_cast<Json::UInt64>(record.acceptedAt);
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, root);
}

std::optional<ConfigRecord> decode(const std::string &text)
{
    const Result<Json::Value> root = parseJsonObject(text);
    if (!root)
        return std::nullopt;
    const Result<ConfigRecord> record = readJson<ConfigRecord>(
            root.value(), Reason::MalformedRequest, [](const Json::Value &it) {
                return ConfigRecord{.digest = {.revision = it["revision"].asUInt64(),
                                               .hash = it["hash"].asUInt64()},
                                    .object = it["object"].asString(),
                                    .changeId = it["change_id"].asString(),
                                    .author = it["author"].asString(),
                                    .acceptedAt = it["accepted_at"].asUInt64()};
            });
    return record ? std::optional(record.value()) : std::nullopt;
}

const TableRow *find(const std::vector<TableRow> &rows, std::string_view key)
{
    for (const TableRow &it : rows) {
        if (it.key == key && it.version != 0)
            return &it;
    }
    return nullptr;
}

} // namespace catkinloft::config_rows
