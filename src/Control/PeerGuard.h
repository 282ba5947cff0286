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

/// \brief Why a datagram was refused.
enum class PeerFault : std::uint8_t { None, Forged, Replayed, Misdirected, Malformed };

/// \returns the label of \a fault in metrics.
std::string_view peerFaultName(PeerFault fault);

/// \brief Signs datagrams between routers and refuses those that nobody who knows a key has sent,
/// or that were sent before.
///
/// The harm prevented: whoever reaches the peer port could mark routers as dead or feed them a
/// configuration. A datagram is `KEYID.MAC.TEXT`, the MAC being HMAC-SHA-256 cut to 128 bits, as
/// RFC 2104 allows; the whole one would cost 21 bytes more on each.
class PeerGuard
{
public:
    struct Options
    {
        const Clock &clock;
        std::string self;
        std::vector<SharedKey> keys; ///< The first one signs, every one is accepted.
    };

    explicit PeerGuard(Options options);

    /// \brief Replaces the keys, so that they rotate without a stop: add the new one as second
    /// everywhere, make it first everywhere, remove the old one.
    void setKeys(std::vector<SharedKey> keys);

    /// \returns the datagram for \a message, with sequence and time filled in.
    std::string seal(PeerMessage message);

    /// \brief What open() made of a datagram.
    struct Opened
    {
        PeerFault fault = PeerFault::None;
        PeerMessage message = {};
    };

    Opened open(std::string_view datagram);

    /// \returns the MAC of \a text under the signing key, with the key's id, for bodies over TCP.
    std::string sign(std::string_view text) const;

    /// \returns whether \a signature is one that sign() gives for \a text under any key.
    bool verify(std::string_view signature, std::string_view text) const;

private:
    /// Which sequence numbers of one incarnation have been seen; datagrams overtake each other.
    struct Window
    {
        std::uint64_t incarnation = 0; ///< What is older is refused as a whole.
        std::uint64_t highest = 0;
        std::uint64_t seen = 0; ///< Bit n: `highest - n`.
        std::uint64_t lastSent = 0; ///< Newest time on a message, in seconds.
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
