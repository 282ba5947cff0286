#include "Control/PeerGuard.h"

#include "Base/Hash.h"

#include <algorithm>

namespace catkinloft {

namespace {

constexpr std::size_t MacBytes = 16;

/// Maximum difference between the time in a datagram and the local clock. It allows for clock skew
/// between VMs; no datagram travels for a minute. Together with the sequence window it bounds the
/// state that is stored for processes that no longer exist.
constexpr std::uint64_t MaxSkewSeconds = 60;

/// Size of the replay window below the highest sequence number.
constexpr std::uint64_t WindowBits = 64;

std::uint64_t wallMilliseconds(const Clock &clock)
{
    return static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
}

std::uint64_t distance(std::uint64_t a, std::uint64_t b)
{
    return a > b ? a - b : b - a;
}

std::string macOf(const SharedKey &key, std::string_view text)
{
    return base64UrlEncode(hmacSha256(key.secret, text).substr(0, MacBytes));
}

} // namespace

std::string_view peerFaultName(PeerFault fault)
{
    switch (fault) {
    case PeerFault::None:
        return "none";
    case PeerFault::Forged:
        return "forged";
    case PeerFault::Replayed:
        return "replayed";
    case PeerFault::Misdirected:
        return "misdirected";
    case PeerFault::Malformed:
        return "malformed";
    }
    return "malformed";
}

PeerGuard::PeerGuard(Options options) : m_options(std::move(options)) { }

void PeerGuard::setKeys(std::vector<SharedKey> keys)
{
    m_options.keys = std::move(keys);
}

std::string PeerGuard::sign(std::string_view text) const
{
    const SharedKey &key = m_options.keys.front();
    return key.id + "." + macOf(key, text);
}

bool PeerGuard::verify(std::string_view signature, std::string_view text) const
{
    const std::size_t dot = signature.find('.');
    if (dot == std::string_view::npos)
        return false;
    for (const SharedKey &it : m_options.keys) {
        if (it.id == signature.substr(0, dot)
            && constantTimeEqual(signature.substr(dot + 1), macOf(it, text)))
            return true;
    }
    return false;
}

std::string PeerGuard::seal(PeerMessage message)
{
    message.sequence = ++m_sequence;
    message.sentAt = wallMilliseconds(m_options.clock) / 1000;
    const std::string text = PeerCodec::encode(message);
    return sign(text) + "." + text;
}

PeerGuard::Opened PeerGuard::open(std::string_view datagram)
{
    const std::size_t keyEnd = datagram.find('.');
    const std::size_t macEnd =
            keyEnd == std::string_view::npos ? keyEnd : datagram.find('.', keyEnd + 1);
    if (macEnd == std::string_view::npos)
        return {.fault = PeerFault::Malformed};
    const std::string_view text = datagram.substr(macEnd + 1);
    if (!verify(datagram.substr(0, macEnd), text))
        return {.fault = PeerFault::Forged};
    Result<PeerMessage> message = m_codec.decode(std::string(text));
    if (!message)
        return {.fault = PeerFault::Malformed};
    // A datagram for another router, forwarded by someone who cannot sign, is also a replay.
    if (!message.value().to.empty() && message.value().to != m_options.self)
        return {.fault = PeerFault::Misdirected};
    if (!isFresh(message.value()))
        return {.fault = PeerFault::Replayed};
    return {.fault = PeerFault::None, .message = std::move(message.value())};
}

void PeerGuard::forgetOld(std::uint64_t now)
{
    if (now < m_forgotAt + MaxSkewSeconds)
        return;
    m_forgotAt = now;
    // Older datagrams are refused because of their time, so their window is no longer needed.
    std::erase_if(m_windows,
                  [&](const auto &it) { return it.second.lastSent + MaxSkewSeconds < now; });
}

bool PeerGuard::isFresh(const PeerMessage &message)
{
    const std::uint64_t now = wallMilliseconds(m_options.clock) / 1000;
    if (distance(message.sentAt, now) > MaxSkewSeconds)
        return false;
    forgetOld(now);
    Window &window = m_windows[message.from];
    if (message.incarnation < window.incarnation)
        return false;
    if (message.incarnation > window.incarnation)
        window = {.incarnation = message.incarnation};
    window.lastSent = std::max(window.lastSent, message.sentAt);
    if (message.sequence > window.highest) {
        const std::uint64_t step = message.sequence - window.highest;
        window.seen = step < WindowBits ? (window.seen << step) | 1 : 1;
        window.highest = message.sequence;
        return true;
    }
    const std::uint64_t age = window.highest - message.sequence;
    if (age >= WindowBits || (window.seen >> age & 1) != 0)
        return false;
    window.seen |= std::uint64_t(1) << age;
    return true;
}

} // namespace catkinloft
