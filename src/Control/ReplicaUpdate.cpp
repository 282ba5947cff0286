#include "Control/ReplicaUpdate.h"

#include "Base/Json.h"

#include <algorithm>

namespace catkinloft {

namespace {

Json::Value toJson(const ReplicaRecord &it)
{
    Json::Value out(Json::objectValue);
    out["id"] = it.id;
    out["service"] = it.service;
    out["address"] = it.address;
    out["domain"] = it.failureDomain;
    out["version"] = it.version;
    out["slots"] = it.slots;
    if (it.draining)
        out["draining"] = true;
    out["sequence"] = static_cast<Json::Int64>(it.sequence);
    if (it.startedAt != 0)
        out["started"] = static_cast<Json::Int64>(it.startedAt);
    if (it.coldDuration > Duration::zero())
        out["cold_ms"] = static_cast<Json::Int64>(
                std::chrono::ceil<std::chrono::milliseconds>(it.coldDuration).count());
    return out;
}

ReplicaRecord fromJson(const Json::Value &it)
{
    return {.id = it["id"].asString(),
            .service = it["service"].asString(),
            .address = it["address"].asString(),
            .failureDomain = it["domain"].asString(),
            .version = it["version"].asString(),
            .slots = std::max(1, it["slots"].asInt()),
            .draining = it["draining"].asBool(),
            .sequence = it["sequence"].asInt64(),
            .startedAt = it["started"].asInt64(),
            .coldDuration = ReplicaRecord::coldDurationFromMs(it["cold_ms"].asDouble())};
}

ReplicaUpdate updateOf(const Json::Value &root)
{
    ReplicaUpdate out{
            .base = root["base"].asUInt64(),
            .position = {.era = root["era"].asUInt64(), .version = root["ver"].asUInt64()}};
    for (const Json::Value &it : root["removed"])
        out.removed.push_back(it.asString());
    for (const Json::Value &it : root["replicas"])
        out.replicas.push_back(fromJson(it));
    return out;
}

} // namespace

std::string ReplicaUpdate::encode() const
{
    Json::Value root(Json::objectValue);
    if (base != 0)
        root["base"] = static_cast<Json::UInt64>(base);
    root["ver"] = static_cast<Json::UInt64>(position.version);
    root["era"] = static_cast<Json::UInt64>(position.era);
    for (const std::string &it : removed)
        root["removed"].append(it);
    for (const ReplicaRecord &it : replicas)
        root["replicas"].append(toJson(it));
    return printJson(root);
}

Result<ReplicaUpdate> ReplicaUpdate::decode(std::string_view text)
{
    const Result<Json::Value> root = parseJsonObject(text);
    if (!root)
        return root.error();
    return readJson<ReplicaUpdate>(root.value(), Reason::MalformedRequest, &updateOf);
}

} // namespace catkinloft
