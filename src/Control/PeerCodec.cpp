#include "Control/PeerCodec.h"

#include "Base/Json.h"
#include "Control/RpcClient.h"
#include "Control/internal/NotificationReader.h"

#include <optional>

#include <json/json.h>

namespace catkinloft {

namespace {

constexpr const char *Method = "p";

Json::Value number(std::uint64_t n)
{
    return {static_cast<Json::UInt64>(n)};
}

Json::Value toJson(const ConfigDigest &digest)
{
    Json::Value out(Json::arrayValue);
    out.append(number(digest.revision));
    out.append(number(digest.hash));
    return out;
}

Json::Value toJson(const Member &member)
{
    Json::Value out(Json::arrayValue);
    out.append(member.name);
    out.append(member.callerAddress);
    out.append(member.peerAddress);
    out.append(member.failureDomain);
    out.append(static_cast<unsigned>(member.state));
    out.append(number(member.incarnation));
    return out;
}

Json::Value toJson(const TextHunk &hunk)
{
    Json::Value out(Json::arrayValue);
    out.append(number(hunk.at));
    out.append(number(hunk.removed));
    out.append(hunk.inserted);
    return out;
}

template<typename T>
void putList(Json::Value &root, const char *name, const std::vector<T> &list)
{
    for (const T &it : list)
        root[name].append(toJson(it));
}

void putText(Json::Value &root, const char *name, const std::string &text)
{
    if (!text.empty())
        root[name] = text;
}

void putNumber(Json::Value &root, const char *name, std::uint64_t n)
{
    if (n != 0)
        root[name] = number(n);
}

void putDigest(Json::Value &root, const char *name, const ConfigDigest &digest)
{
    if (digest.revision != 0)
        root[name] = toJson(digest);
}

ConfigDigest digestOf(const Json::Value &it)
{
    if (it.isNull())
        return {};
    return {.revision = it[0].asUInt64(), .hash = it[1].asUInt64()};
}

Member memberOf(const Json::Value &it)
{
    const unsigned state = it[4].asUInt();
    if (state > static_cast<unsigned>(MemberState::Dead))
        throw Json::LogicError("unknown member state");
    return {.name = it[0].asString(),
            .callerAddress = it[1].asString(),
            .peerAddress = it[2].asString(),
            .failureDomain = it[3].asString(),
            .state = static_cast<MemberState>(state),
            .incarnation = it[5].asUInt64()};
}

TextHunk hunkOf(const Json::Value &it)
{
    return {.at = it[0].asUInt64(), .removed = it[1].asUInt64(), .inserted = it[2].asString()};
}

PeerMessage messageOf(const Json::Value &root)
{
    const unsigned kind = root["k"].asUInt();
    if (kind > static_cast<unsigned>(PeerMessageKind::ConfigLarge))
        throw Json::LogicError("unknown message kind");
    PeerMessage out{.kind = static_cast<PeerMessageKind>(kind),
                    .from = root["f"].asString(),
                    .to = root["t"].asString(),
                    .incarnation = root["b"].asUInt64(),
                    .sequence = root["q"].asUInt64(),
                    .sentAt = root["w"].asUInt64(),
                    .probe = root["i"].asUInt64(),
                    .target = root["g"].asString(),
                    .targetAddress = root["ga"].asString(),
                    .listHash = root["h"].asUInt64(),
                    .load = root["l"].asUInt(),
                    .digest = digestOf(root["c"]),
                    .base = digestOf(root["cb"])};
    for (const Json::Value &it : root["n"])
        out.updates.push_back(memberOf(it));
    for (const Json::Value &it : root["d"])
        out.delta.push_back(hunkOf(it));
    return out;
}

} // namespace

struct PeerCodec::Private
{
    internal::NotificationReader reader{Method};
};

PeerCodec::PeerCodec() : m_d(std::make_unique<Private>()) { }

PeerCodec::~PeerCodec() = default;

std::string PeerCodec::encode(const PeerMessage &message)
{
    Json::Value root(Json::objectValue);
    root["k"] = static_cast<unsigned>(message.kind);
    putText(root, "f", message.from);
    putText(root, "t", message.to);
    putNumber(root, "b", message.incarnation);
    putNumber(root, "q", message.sequence);
    putNumber(root, "w", message.sentAt);
    putNumber(root, "i", message.probe);
    putText(root, "g", message.target);
    putText(root, "ga", message.targetAddress);
    putNumber(root, "h", message.listHash);
    putNumber(root, "l", message.load);
    putDigest(root, "c", message.digest);
    putDigest(root, "cb", message.base);
    putList(root, "n", message.updates);
    putList(root, "d", message.delta);
    return internal::encodeNotification(Method, root);
}

Result<PeerMessage> PeerCodec::decode(const std::string &text)
{
    const std::optional<Json::Value> params = m_d->reader.read(text);
    if (!params)
        return Error{.reason = Reason::MalformedRequest, .detail = "not a message of a router"};
    return readJson<PeerMessage>(*params, Reason::MalformedRequest, &messageOf);
}

} // namespace catkinloft
