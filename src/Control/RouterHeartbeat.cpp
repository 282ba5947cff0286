#include "Control/RouterHeartbeat.h"

#include "Base/Compression.h"
#include "Base/Json.h"
#include "Control/RpcClient.h"
#include "Control/internal/Age.h"
#include "Control/internal/NotificationReader.h"

#include <json/json.h>

namespace catkinloft {

namespace {

constexpr const char *Method = "b";

/// Ages are rounded up on the wire, so that a freshness proof never appears younger than it is.
Json::Value ageToJson(Duration age)
{
    if (age == Duration::max())
        return {};
    return {static_cast<Json::Int64>(std::chrono::ceil<std::chrono::milliseconds>(age).count())};
}

Duration ageOf(const Json::Value &it)
{
    return it.isNull() ? Duration::max() : internal::ageFromMilliseconds(it.asInt64());
}

/// Uses arrays, as field names would double the bytes.
Json::Value crashToJson(const CrashUpdate &it)
{
    Json::Value out(Json::arrayValue);
    out.append(it.fingerprint);
    out.append(ageToJson(it.clearedAge.value_or(Duration::max())));
    for (const CrashUpdate::Crash &end : it.replicaCrashes) {
        Json::Value item(Json::arrayValue);
        item.append(end.replica);
        item.append(end.software);
        item.append(ageToJson(end.age));
        if (!end.isConfirmed)
            item.append(0);
        out.append(item);
    }
    return out;
}

CrashUpdate crashFromJson(const Json::Value &it)
{
    constexpr Json::ArrayIndex FirstEnd = 2;
    constexpr Json::ArrayIndex ConfirmedCrashFields = 3;
    CrashUpdate out{.fingerprint = it[0U].asString()};
    if (const Duration age = ageOf(it[1U]); age != Duration::max())
        out.clearedAge = age;
    for (Json::ArrayIndex i = FirstEnd; i < it.size() && i < FirstEnd + CrashRecord::MaxCrashes;
         ++i)
        out.replicaCrashes.push_back({.replica = it[i][0U].asString(),
                                      .software = it[i][1U].asString(),
                                      .age = internal::ageFromMilliseconds(it[i][2U].asInt64()),
                                      .isConfirmed = it[i].size() <= ConfirmedCrashFields});
    return out;
}

Json::Value runTimeToJson(Duration runTime)
{
    return runTime == ReplicaCrash::UnknownRunTime ? Json::Value() : ageToJson(runTime);
}

/// Adds what programs that don't know it ignore: the run times of the crashes and which of them
/// ended trials, as arrays in the order of the crashes.
void addRunsToJson(Json::Value &root, const std::vector<CrashUpdate> &crashes)
{
    for (Json::ArrayIndex i = 0; i < crashes.size(); ++i) {
        const CrashUpdate &it = crashes[i];
        Json::Value runTimes(Json::arrayValue);
        for (Json::ArrayIndex k = 0; k < it.replicaCrashes.size(); ++k) {
            runTimes.append(runTimeToJson(it.replicaCrashes[k].runTime));
            if (it.replicaCrashes[k].isTrial) {
                Json::Value position(Json::arrayValue);
                position.append(i);
                position.append(k);
                root["xt"].append(position);
            }
        }
        root["xr"].append(runTimes);
        if (it.trialAge) {
            Json::Value trial(Json::arrayValue);
            trial.append(i);
            trial.append(ageToJson(*it.trialAge));
            root["xa"].append(trial);
        }
    }
}

void readRuns(const Json::Value &root, std::vector<CrashUpdate> &crashes)
{
    for (Json::ArrayIndex i = 0; i < root["xr"].size() && i < crashes.size(); ++i) {
        const Json::Value &runTimes = root["xr"][i];
        std::vector<CrashUpdate::Crash> &of = crashes[i].replicaCrashes;
        for (Json::ArrayIndex k = 0; k < runTimes.size() && k < of.size(); ++k)
            of[k].runTime = ageOf(runTimes[k]);
    }
    for (const Json::Value &it : root["xt"]) {
        const Json::ArrayIndex i = it[0U].asUInt();
        const Json::ArrayIndex k = it[1U].asUInt();
        if (i < crashes.size() && k < crashes[i].replicaCrashes.size())
            crashes[i].replicaCrashes[k].isTrial = true;
    }
    for (const Json::Value &it : root["xa"]) {
        const Json::ArrayIndex i = it[0U].asUInt();
        if (const Duration age = ageOf(it[1U]); i < crashes.size() && age != Duration::max())
            crashes[i].trialAge = age;
    }
}

Json::Value brittleToJson(const BrittleService &it)
{
    Json::Value out(Json::arrayValue);
    out.append(it.service);
    out.append(it.maxRejections);
    out.append(ageToJson(it.age));
    out.append(it.routers);
    return out;
}

BrittleService brittleFromJson(const Json::Value &it)
{
    constexpr Json::ArrayIndex Routers = 3;
    return {.service = it[0U].asString(),
            .maxRejections = it[1U].asInt(),
            .age = internal::ageFromMilliseconds(it[2U].asInt64()),
            .routers = it[Routers].asInt()};
}

RouterHeartbeat heartbeatOf(const Json::Value &root)
{
    RouterHeartbeat out{
            .name = root["n"].asString(),
            .incarnation = root["b"].asUInt64(),
            .sequence = root["q"].asUInt64(),
            .callerAddress = root["c"].asString(),
            .peerAddress = root["p"].asString(),
            .failureDomain = root["d"].asString(),
            .processorShare = root["w"].asDouble(),
            .ready = root["r"].asBool(),
            .leaving = root["l"].asBool(),
            .revision = root["v"].asUInt64(),
            .proofAge = ageOf(root["a"]),
            .storeFailing = root["f"].asBool(),
            .storeUnansweredFor = ageOf(root["y"]),
            .replicasAge = ageOf(root["s"]),
            .replicasHash = root["h"].asUInt64(),
            .replicasPosition = {.era = root["he"].asUInt64(), .version = root["hv"].asUInt64()},
            .ask = root["k"].asUInt64(),
            .echo = root["e"].asUInt64()};
    out.evacuated.position = {.era = root["ee"].asUInt64(), .version = root["ev"].asUInt64()};
    for (const Json::Value &it : root["ed"])
        out.evacuated.domains.insert(it.asString());
    const Json::Value &counts = root["i"];
    for (auto it = counts.begin(); it != counts.end(); ++it)
        out.replicas.counts.emplace(it.name(), it->asInt());
    for (const Json::Value &it : root["j"])
        out.replicas.ejected.push_back(it.asString());
    const Json::Value &prompts = root["u"];
    for (auto it = prompts.begin(); it != prompts.end(); ++it) {
        for (const Json::Value &part : *it)
            out.prompts[it.name()].push_back(part.asUInt64());
    }
    for (const Json::Value &it : root["z"])
        out.discovered.push_back(it.asString());
    for (const Json::Value &it : root["g"])
        out.replicas.leaving.push_back(it.asString());
    out.relays = root.isMember("t");
    for (const Json::Value &it : root["t"])
        out.unreachableServices.push_back(it.asString());
    for (const Json::Value &it : root["x"])
        out.crashes.push_back(crashFromJson(it));
    for (const Json::Value &it : root["xh"]) {
        if (const auto i = it.asUInt(); i < out.crashes.size())
            out.crashes[i].isHeld = true;
    }
    readRuns(root, out.crashes);
    for (const Json::Value &it : root["br"])
        out.brittle.push_back(brittleFromJson(it));
    return out;
}

} // namespace

namespace {

/// Compression dictionary: text that most heartbeats have in common, with the fields in the order
/// in which they are written.
constexpr std::string_view HeartbeatDictionary =
        R"("},"j":["i-"],"z":["],"g":["],"x":[["],"ed":["],"ev":,"f":true,"l":true,)"
        R"("r":false,"w":0.25,"w":0.5,"u":{"i-":[1,"}},"i":{"i-":2,"i-":1},"k":,"e":)"
        R"({"jsonrpc":"2.0","method":"b","params":{"a":100,"b":1790000000000,"c":"10.",)"
        R"("d":"","e":1,"h":1,"hv":1,"i":{"i-":1},"k":1,"l":false,"n":"front-","p":"10.",)"
        R"("q":1,"r":true,"s":100,"u":{"i-":[]},"v":1,"w":0.12,"y":0}})";

/// Longest heartbeat after decompression; several times what a datagram of 1,200 bytes holds.
constexpr std::size_t MaxHeartbeatBytes = 16 * 1024;

} // namespace

struct HeartbeatCodec::Private
{
    internal::NotificationReader reader{Method};
};

HeartbeatCodec::HeartbeatCodec() : m_d(std::make_unique<Private>()) { }

HeartbeatCodec::~HeartbeatCodec() = default;

std::string HeartbeatCodec::encode(const RouterHeartbeat &heartbeat)
{
    Json::Value root(Json::objectValue);
    root["n"] = heartbeat.name;
    root["b"] = static_cast<Json::UInt64>(heartbeat.incarnation);
    root["q"] = static_cast<Json::UInt64>(heartbeat.sequence);
    root["c"] = heartbeat.callerAddress;
    root["p"] = heartbeat.peerAddress;
    root["d"] = heartbeat.failureDomain;
    root["r"] = heartbeat.ready;
    root["l"] = heartbeat.leaving;
    root["v"] = static_cast<Json::UInt64>(heartbeat.revision);
    root["a"] = ageToJson(heartbeat.proofAge);
    root["s"] = ageToJson(heartbeat.replicasAge);
    if (heartbeat.storeFailing)
        root["f"] = true;
    root["y"] = ageToJson(heartbeat.storeUnansweredFor);
    root["w"] = heartbeat.processorShare;
    root["h"] = static_cast<Json::UInt64>(heartbeat.replicasHash);
    root["hv"] = static_cast<Json::UInt64>(heartbeat.replicasPosition.version);
    if (heartbeat.replicasPosition.era != 0)
        root["he"] = static_cast<Json::UInt64>(heartbeat.replicasPosition.era);
    const StorePosition &evacuated = heartbeat.evacuated.position;
    if (evacuated.version != 0)
        root["ev"] = static_cast<Json::UInt64>(evacuated.version);
    if (evacuated.era != 0)
        root["ee"] = static_cast<Json::UInt64>(evacuated.era);
    for (const std::string &it : heartbeat.evacuated.domains)
        root["ed"].append(it);
    if (heartbeat.ask != 0)
        root["k"] = static_cast<Json::UInt64>(heartbeat.ask);
    if (heartbeat.echo != 0)
        root["e"] = static_cast<Json::UInt64>(heartbeat.echo);
    for (const auto &[id, n] : heartbeat.replicas.counts)
        root["i"][id] = n;
    for (const std::string &id : heartbeat.replicas.ejected)
        root["j"].append(id);
    for (const auto &[id, parts] : heartbeat.prompts) {
        for (const std::uint64_t part : parts)
            root["u"][id].append(static_cast<Json::UInt64>(part));
    }
    for (const std::string &id : heartbeat.discovered)
        root["z"].append(id);
    for (const std::string &id : heartbeat.replicas.leaving)
        root["g"].append(id);
    if (heartbeat.relays)
        root["t"] = Json::Value(Json::arrayValue);
    for (const std::string &service : heartbeat.unreachableServices)
        root["t"].append(service);
    for (std::size_t i = 0; i < heartbeat.crashes.size(); ++i) {
        root["x"].append(crashToJson(heartbeat.crashes[i]));
        if (heartbeat.crashes[i].isHeld)
            root["xh"].append(static_cast<Json::UInt>(i)); // Older programs ignore it.
    }
    addRunsToJson(root, heartbeat.crashes);
    for (const BrittleService &it : heartbeat.brittle)
        root["br"].append(brittleToJson(it));
    return internal::encodeNotification(Method, root);
}

std::string HeartbeatCodec::pack(const RouterHeartbeat &heartbeat)
{
    return compressShort(encode(heartbeat), HeartbeatDictionary);
}

Result<RouterHeartbeat> HeartbeatCodec::unpack(std::string_view bytes)
{
    const Result<std::string> text = decompressShort(bytes, HeartbeatDictionary, MaxHeartbeatBytes);
    if (!text)
        return text.error();
    return decode(text.value());
}

Result<RouterHeartbeat> HeartbeatCodec::decode(const std::string &text)
{
    const std::optional<Json::Value> params = m_d->reader.read(text);
    if (!params)
        return Error{.reason = Reason::MalformedRequest, .detail = "not a heartbeat of a router"};
    return readJson<RouterHeartbeat>(*params, Reason::MalformedRequest, &heartbeatOf);
}

} // namespace catkinloft
