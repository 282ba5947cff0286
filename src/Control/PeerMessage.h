#pragma once

#include "Control/Member.h"
#include "Control/TextDelta.h"

#include <cstdint>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief Identifies a configuration. Configurations with the same revision must be equal; the hash
/// detects a broken revision chain in which they are not.
struct ConfigDigest
{
    std::uint64_t revision = 0;
    std::uint64_t hash = 0; ///< hash64() of the text.
};

enum class PeerMessageKind : std::uint8_t {
    Ping, ///< Requests an Ack.
    Ack,
    PingRequest, ///< Requests that the receiver ping `target` and relay the Ack.
    Gossip, ///< Updates that do not wait for the next probe; not answered.
    ConfigRequest, ///< Requests the changes since `digest`.
    /// Answers a ConfigRequest: `delta` turns revision `base` into `digest`; base 0: empty text.
    ConfigDelta,
    SyncRequest, ///< Requests the page of the full list that begins after `target`.
    /// Answers a SyncRequest with members. `target` is the last of them, empty at the end of the
    /// list.
    Sync,
    /// Answers a ConfigRequest: the delta is too long for a datagram and must be read over TCP.
    ConfigLarge,
};

/// \brief One datagram between two routers.
struct PeerMessage
{
    PeerMessageKind kind = PeerMessageKind::Ping;
    std::string from = {}; ///< Name of the sender.
    std::string to = {}; ///< Name of the receiver; empty if the sender does not know it.
    std::uint64_t incarnation = 0; ///< Of the sender; never decreases, not even after a restart.
    std::uint64_t sequence = 0; ///< Increases with each message of the process.
    std::uint64_t sentAt = 0; ///< Wall clock in seconds.
    std::uint64_t probe = 0; ///< Matches an Ack with its Ping.
    std::string target = {}; ///< \sa PeerMessageKind
    std::string targetAddress = {}; ///< Address of `target` in a PingRequest.
    std::uint64_t listHash = 0; ///< In a SyncRequest: of the sender's full list, 0 if unknown.
    std::uint32_t load = 0; ///< Requests in progress at the sender.
    ConfigDigest digest = {}; ///< Active configuration of the sender.
    std::vector<Member> updates = {};
    ConfigDigest base = {};
    TextDelta delta = {};
};

} // namespace catkinloft
