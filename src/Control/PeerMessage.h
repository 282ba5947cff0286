#pragma once

#include "Control/Member.h"
#include "Control/TextDelta.h"

#include <cstdint>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief Identifies a configuration. Two with the same revision are the same, or the chain is
/// broken; the hash finds that out.
struct ConfigDigest
{
    std::uint64_t revision = 0;
    std::uint64_t hash = 0; ///< hash64() of the text.
};

enum class PeerMessageKind : std::uint8_t {
    Ping, ///< Asks for an Ack.
    Ack,
    PingRequest, ///< Asks the receiver to ping `target` and to pass the Ack on.
    Gossip, ///< News that does not wait for the next probe; not answered.
    ConfigRequest, ///< Asks for what is missing since `digest`.
    ConfigDelta, ///< Answers it: `delta` turns revision `base` into `digest`; base 0: empty text.
    SyncRequest, ///< Asks for a page of the whole list, which begins after `target`.
    Sync, ///< Answers it with members; `target` names the last one, empty at the end.
    ConfigLarge, ///< Answers it: the delta is too long for a datagram and is had over TCP.
};

/// \brief One datagram between two routers.
struct PeerMessage
{
    PeerMessageKind kind = PeerMessageKind::Ping;
    std::string from = {}; ///< Name of the sender.
    std::string to = {}; ///< Name of the receiver, where the sender knows it.
    std::uint64_t incarnation = 0; ///< Of the sender; never falls, also from process to process.
    std::uint64_t sequence = 0; ///< Rises with each message of the process.
    std::uint64_t sentAt = 0; ///< Wall clock in seconds.
    std::uint64_t probe = 0; ///< Matches an Ack with its Ping.
    std::string target = {}; ///< \sa PeerMessageKind
    std::string targetAddress = {}; ///< Where `target` is, for a PingRequest.
    std::uint64_t listHash = 0; ///< Of a SyncRequest: of the sender's whole list, 0 if unknown.
    std::uint32_t load = 0; ///< Requests in progress at the sender.
    ConfigDigest digest = {}; ///< The configuration in force at the sender.
    std::vector<Member> updates = {};
    ConfigDigest base = {};
    TextDelta delta = {};
};

} // namespace catkinloft
