#pragma once

#include "Base/Clock.h"
#include "Base/Settings.h"
#include "Control/PeerCodec.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief Reason why a datagram is refused.
enum class PeerFault : std::uint8_t { None, Forged, Replayed, Misdirected, Malformed };

/// \returns the label of \a fault in metrics.
std::string_view peerFaultName(PeerFault fault);

/// \brief Signs datagrams between routers and refuses those that were not signed with a known key
/// or are replays.
///
/// Prevents that anyone who can reach the peer port marks routers as dead or sends them a
/// configuration. A datagram is `KEYID.MAC.TEXT`. The MAC is HMAC-SHA-256 truncated to 128 bits, as
/// RFC 2104 allows; the full one would add 21 bytes to each datagram.
class PeerGuard
{
public:
    struct Options
    {
        const Clock &clock;
        std::string self;
        std::vector<SharedKey> keys; ///< The first one signs, all are accepted.
    };

    explicit PeerGuard(Options options);

    /// \brief Replaces the keys. To rotate a key without interruption, add the new one as second on
    /// all routers, then make it the first on all routers, then remove the old one.
    void setKeys(std::vector<SharedKey> keys);

    /// \returns the datagram for \a message, with sequence and time filled in.
    std::string seal(PeerMessage message);

    /// \brief Result of open().
    struct Opened
    {
        PeerFault fault = PeerFault::None;
        PeerMessage message = {};
    };

    /// \returns the message in \a datagram, or why it is refused.
    Opened open(std::string_view datagram);

    /// \returns the id of the signing key and the MAC of \a text, for bodies over TCP.
    std::string sign(std::string_view text) const;

    /// \returns whether \a signature is the result of sign() for \a text with any of the keys.
    bool verify(std::string_view signature, std::string_view text) const;

private:
    /// Replay window: the sequence numbers received of one incarnation. Datagrams may be reordered.
    struct Window
    {
        std::uint64_t incarnation = 0; ///< Older incarnations are refused.
        std::uint64_t highest = 0;
        std::uint64_t seen = 0; ///< Bit n: `highest - n`.
        std::uint64_t lastSent = 0; ///< Newest `sentAt` of a message.
    };

    bool isFresh(const PeerMessage &message);
    void forgetOld(std::uint64_t now);

    Options m_options;
    std::uint64_t m_sequence = 0;
    std::map<std::string, Window, std::less<>> m_windows;
    std::uint64_t m_forgotAt = 0;
    PeerCodec m_codec;
};

} // namespace catkinloft
