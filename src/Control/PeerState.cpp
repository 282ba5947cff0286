#include "Control/PeerState.h"

#include "Base/Compression.h"
#include "Base/Json.h"
#include "Control/internal/Age.h"

#include <utility>

namespace catkinloft {

namespace {

/// Longest text that is accepted. The store itself holds no larger objects.
constexpr std::size_t MaxTextBytes = 32 * 1024 * 1024;

std::int64_t milliseconds(Duration d)
{
    return std::chrono::ceil<std::chrono::milliseconds>(d).count();
}

Duration ageIn(const Json::Value &head, const char *name)
{
    return head.isMember(name) ? internal::ageFromMilliseconds(head[name].asInt64())
                               : Duration::max();
}

/// Removes the first \a n bytes from \a rest.
/// \returns these bytes; nothing if \a rest is shorter.
std::optional<PeerState::Packed> take(std::string_view &rest, std::size_t n)
{
    if (n > rest.size())
        return std::nullopt;
    PeerState::Packed out{.bytes = std::string(rest.substr(0, n))};
    rest.remove_prefix(n);
    return out;
}

Error malformed(std::string detail)
{
    return {.reason = Reason::MalformedRequest, .detail = std::move(detail)};
}

PeerState stateIn(const Json::Value &head)
{
    PeerState out{.revision = head["revision"].asUInt64(),
                  .proofAge = ageIn(head, "proof_age_ms"),
                  .replicasAge = ageIn(head, "replicas_age_ms"),
                  .replicasHash = head["replicas_hash"].asUInt64(),
                  .replicasPosition = {.era = head["replicas_era"].asUInt64(),
                                       .version = head["replicas_version"].asUInt64()}};
    out.configBase = head["config_base"].asUInt64();
    out.evacuated.position = {.era = head["evacuated_era"].asUInt64(),
                              .version = head["evacuated_version"].asUInt64()};
    for (const Json::Value &it : head["evacuated"])
        out.evacuated.domains.insert(it.asString());
    const Json::Value &promptLists = head["prompts"];
    for (auto it = promptLists.begin(); it != promptLists.end(); ++it) {
        for (const Json::Value &part : *it)
            out.prompts[it.name()].push_back(part.asUInt64());
    }
    return out;
}

} // namespace

PeerState::Packed PeerState::Packed::of(std::string_view text)
{
    return {.bytes = compress(text)};
}

Result<std::string> PeerState::Packed::text() const
{
    return decompress(bytes, MaxTextBytes);
}

std::string PeerState::encode() const
{
    Json::Value head(Json::objectValue);
    if (revision != 0) {
        head["revision"] = static_cast<Json::UInt64>(revision);
        head["proof_age_ms"] = static_cast<Json::Int64>(milliseconds(proofAge));
    }
    if (replicasAge != Duration::max()) {
        head["replicas_age_ms"] = static_cast<Json::Int64>(milliseconds(replicasAge));
        head["replicas_hash"] = static_cast<Json::UInt64>(replicasHash);
        head["replicas_version"] = static_cast<Json::UInt64>(replicasPosition.version);
        head["replicas_era"] = static_cast<Json::UInt64>(replicasPosition.era);
    }
    head["evacuated_version"] = static_cast<Json::UInt64>(evacuated.position.version);
    head["evacuated_era"] = static_cast<Json::UInt64>(evacuated.position.era);
    for (const std::string &it : evacuated.domains)
        head["evacuated"].append(it);
    if (configBase != 0)
        head["config_base"] = static_cast<Json::UInt64>(configBase);
    for (const auto &[replica, parts] : prompts) {
        for (const std::uint64_t part : parts)
            head["prompts"][replica].append(static_cast<Json::UInt64>(part));
    }
    if (config)
        head["config_bytes"] = static_cast<Json::UInt64>(config->bytes.size());
    if (replicas)
        head["replicas_bytes"] = static_cast<Json::UInt64>(replicas->bytes.size());
    std::string out = printJson(head) + "\n";
    if (config)
        out += config->bytes;
    if (replicas)
        out += replicas->bytes;
    return out;
}

Result<PeerState> PeerState::decode(std::string_view body)
{
    const std::size_t end = body.find('\n');
    if (end == std::string_view::npos)
        return malformed("the first line of the state has no end");
    const Result<Json::Value> head = parseJsonObject(body.substr(0, end));
    if (!head)
        return malformed(head.error().detail);
    std::string_view rest = body.substr(end + 1);
    const auto read = [&](const Json::Value &fields) -> Result<PeerState> {
        PeerState out = stateIn(fields);
        const auto takeText = [&](const char *name, std::optional<Packed> &text) {
            if (!fields.isMember(name))
                return true;
            text = take(rest, fields[name].asUInt64());
            return text.has_value();
        };
        if (!takeText("config_bytes", out.config) || !takeText("replicas_bytes", out.replicas))
            return malformed("the state is shorter than its header announces");
        return out;
    };
    return readJson<PeerState>(head.value(), Reason::MalformedRequest, read);
}

} // namespace catkinloft
