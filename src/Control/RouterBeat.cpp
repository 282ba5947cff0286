#include "Control/RouterBeat.h"

#include "Base/Compression.h"
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
Json::Value crashToJson(const CrashNews &it)
{
    Json::Value out(Json::arrayValue);
    out.append(it.fingerprint);
    out.append(ageToJson(it.clearedAge.value_or(Duration::max())));
    for (const CrashNews::End &end : it.ends) {
        Json::Value item(Json::arrayValue);
        item.append(end.replica);
        item.append(end.software);
        item.append(ageToJson(end.age));
        out.append(item);
    }
    return out;
}

CrashNews crashFromJson(const Json::Value &it)
{
    constexpr Json::ArrayIndex FirstEnd = 2;
    CrashNews out{.fingerprint = it[0U].asString()};
    if (const Duration age = ageOf(it[1U]); age != Duration::max())
        out.clearedAge = age;
    for (Json::ArrayIndex i = FirstEnd; i < it.size() && i < FirstEnd + CrashRecord::MaxEnds; ++i)
        out.ends.push_back({.replica = it[i][0U].asString(),
                            .software = it[i][1U].asString(),
                            .age = internal::ageFromMilliseconds(it[i][2U].asInt64())});
    return out;
}

RouterBeat beatOf(const Json::Value &root)
{
    RouterBeat out{.name = root["n"].asString(),
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
                   .storeSilence = ageOf(root["y"]),
                   .replicasAge = ageOf(root["s"]),
                   .replicasHash = root["h"].asUInt64(),
                   .replicasVersion = root["hv"].asUInt64(),
                   .ask = root["k"].asUInt64(),
                   .echo = root["e"].asUInt64()};
    out.evacuated.storeVersion = root["ev"].asUInt64();
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
        out.listed.push_back(it.asString());
    for (const Json::Value &it : root["g"])
        out.replicas.leaving.push_back(it.asString());
    for (const Json::Value &it : root["x"])
        out.crashes.push_back(crashFromJson(it));
    return out;
}

} // namespace

namespace {

/// Compression dictionary: text that most heartbeats have in common, with the fields in the order
/// in which they are written.
constexpr std::string_view BeatDictionary =
        R"("},"j":["i-"],"z":["],"g":["],"x":[["],"ed":["],"ev":,"f":true,"l":true,)"
        R"("r":false,"w":0.25,"w":0.5,"u":{"i-":[1,"}},"i":{"i-":2,"i-":1},"k":,"e":)"
        R"({"jsonrpc":"2.0","method":"b","params":{"a":100,"b":1790000000000,"c":"10.",)"
        R"("d":"","e":1,"h":1,"hv":1,"i":{"i-":1},"k":1,"l":false,"n":"front-","p":"10.",)"
        R"("q":1,"r":true,"s":100,"u":{"i-":[]},"v":1,"w":0.12,"y":0}})";

/// Longest heartbeat after decompression; several times what a datagram of 1,200 bytes holds.
constexpr std::size_t MaxBeat = 16 * 1024;

} // namespace

struct BeatCodec::Private
{
    internal::NotificationReader reader{Method};
};

BeatCodec::BeatCodec() : m_d(std::make_unique<Private>()) { }

BeatCodec::~BeatCodec() = default;

std::string BeatCodec::encode(const RouterBeat &beat)
{
    Json::Value root(Json::objectValue);
    root["n"] = beat.name;
    root["b"] = static_cast<Json::UInt64>(beat.incarnation);
    root["q"] = static_cast<Json::UInt64>(beat.sequence);
    root["c"] = beat.callerAddress;
    root["p"] = beat.peerAddress;
    root["d"] = beat.failureDomain;
    root["r"] = beat.ready;
    root["l"] = beat.leaving;
    root["v"] = static_cast<Json::UInt64>(beat.revision);
    root["a"] = ageToJson(beat.proofAge);
    root["s"] = ageToJson(beat.replicasAge);
    if (beat.storeFailing)
        root["f"] = true;
    root["y"] = ageToJson(beat.storeSilence);
    root["w"] = beat.processorShare;
    root["h"] = static_cast<Json::UInt64>(beat.replicasHash);
    root["hv"] = static_cast<Json::UInt64>(beat.replicasVersion);
    if (beat.evacuated.storeVersion != 0)
        root["ev"] = static_cast<Json::UInt64>(beat.evacuated.storeVersion);
    for (const std::string &it : beat.evacuated.domains)
        root["ed"].append(it);
    if (beat.ask != 0)
        root["k"] = static_cast<Json::UInt64>(beat.ask);
    if (beat.echo != 0)
        root["e"] = static_cast<Json::UInt64>(beat.echo);
    for (const auto &[id, n] : beat.replicas.counts)
        root["i"][id] = n;
    for (const std::string &id : beat.replicas.ejected)
        root["j"].append(id);
    for (const auto &[id, parts] : beat.prompts) {
        for (const std::uint64_t part : parts)
            root["u"][id].append(static_cast<Json::UInt64>(part));
    }
    for (const std::string &id : beat.listed)
        root["z"].append(id);
    for (const std::string &id : beat.replicas.leaving)
        root["g"].append(id);
    for (const CrashNews &it : beat.crashes)
        root["x"].append(crashToJson(it));
    return internal::encodeNotification(Method, root);
}

std::string BeatCodec::pack(const RouterBeat &beat)
{
    return compressShort(encode(beat), BeatDictionary);
}

Result<RouterBeat> BeatCodec::unpack(std::string_view bytes)
{
    const Result<std::string> text = decompressShort(bytes, BeatDictionary, MaxBeat);
    if (!text)
        return text.error();
    return decode(text.value());
}

Result<RouterBeat> BeatCodec::decode(const std::string &text)
{
    const std::optional<Json::Value> params = m_d->reader.read(text);
    try {
        if (params)
            return beatOf(*params);
    } catch (const Json::Exception &) {
        // A field has an unexpected type: malformed like any other invalid input.
    }
    return Error{.reason = Reason::MalformedRequest, .detail = "not a heartbeat of a router"};
}

} // namespace catkinloft
