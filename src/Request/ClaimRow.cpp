#include "Request/ClaimRow.h"

#include "Base/Hash.h"
#include "Base/Json.h"
#include "Base/Utf8.h"

#include <array>

#include <fmt/format.h>
#include <json/json.h>

namespace catkinloft {

namespace {

constexpr std::array<std::string_view, 4> StateNames = {"claimed", "done", "unknown", "free"};

std::int64_t millis(WallTime t)
{
    return t.time_since_epoch().count();
}

WallTime wallTime(const Json::Value &value)
{
    return WallTime(std::chrono::milliseconds(value.isIntegral() ? value.asInt64() : 0));
}

Json::Value toJson(const RecordedAnswer &answer)
{
    Json::Value out;
    out["status"] = answer.status;
    out["type"] = answer.contentType;
    // JSON strings have to be valid Unicode, but an answer's body may be any bytes.
    if (isUtf8(answer.body))
        out["text"] = answer.body;
    else
        out["base64"] = base64UrlEncode(answer.body);
    return out;
}

RecordedAnswer answerOf(const Json::Value &value)
{
    RecordedAnswer out;
    out.status = value["status"].asInt();
    out.contentType = value["type"].asString();
    out.body = value["base64"].isString() ? base64UrlDecode(value["base64"].asString())
                                          : value["text"].asString();
    return out;
}

Error unknownFormat()
{
    return {.reason = Reason::OutcomeUnknown,
            .verdict = Verdict::MayHaveRun,
            .detail = "the claim row can't be decoded; another release may have written it"};
}

Result<ClaimRow> rowOf(const Json::Value &root)
{
    ClaimRow out;
    const std::string state = root["state"].asString();
    std::size_t i = 0;
    while (i < StateNames.size() && StateNames[i] != state)
        ++i;
    if (i == StateNames.size())
        return unknownFormat();
    out.state = static_cast<ClaimRow::State>(i);
    out.fingerprint = root["fingerprint"].asString();
    out.attempt = root["attempt"].asString();
    out.router = root["router"].asString();
    out.until = wallTime(root["until"]);
    out.expires = wallTime(root["expires"]);
    out.object = root["object"].asString();
    if (root["answer"].isObject())
        out.answer = answerOf(root["answer"]);
    return out;
}

} // namespace

std::string ClaimRow::key(std::string_view workspace, std::string_view idempotencyKey)
{
    const auto shard = static_cast<unsigned>(hash64(idempotencyKey, hash64(workspace)) % Shards);
    return fmt::format("{}{}/{}", shardPrefix(shard), workspace, idempotencyKey);
}

std::string ClaimRow::shardPrefix(unsigned shard)
{
    return fmt::format("claim/{:04x}/", shard);
}

std::string ClaimRow::encode() const
{
    Json::Value root;
    root["state"] = std::string(StateNames[static_cast<std::size_t>(state)]);
    root["fingerprint"] = fingerprint;
    root["attempt"] = attempt;
    root["router"] = router;
    root["until"] = static_cast<Json::Int64>(millis(until));
    root["expires"] = static_cast<Json::Int64>(millis(expires));
    if (state == State::Done)
        root["answer"] = toJson(answer);
    if (!object.empty())
        root["object"] = object;
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, root);
}

Result<ClaimRow> ClaimRow::decode(std::string_view value)
{
    const Result<Json::Value> root = parseJsonObject(value);
    if (!root)
        return unknownFormat();
    const Result<ClaimRow> row = readJson<ClaimRow>(root.value(), Reason::OutcomeUnknown, &rowOf);
    return row ? row : unknownFormat();
}

} // namespace catkinloft
