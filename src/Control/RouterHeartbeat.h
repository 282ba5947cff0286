#pragma once

#include "Base/Clock.h"
#include "Base/Error.h"
#include "Control/EvacuatedDomains.h"
#include "Decide/RejectionLimit.h"
#include "Decide/ReplicaPool.h"
#include "Decide/RequestQuarantine.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief Periodic message between routers, sent a few times a second.
struct RouterHeartbeat
{
    std::string name = {}; ///< Of the sender.
    std::uint64_t incarnation = 0; ///< Start of the process in milliseconds; never decreases.
    std::uint64_t sequence = 0; ///< Increases with each message of the process.
    std::string callerAddress = {}; ///< `ip:port` that callers connect to.
    std::string peerAddress = {}; ///< `ip:port` for routers, TCP and UDP.
    std::string failureDomain = {};
    double processorShare = 1; ///< Processor cores of the sender's VM.
    bool ready = false; ///< Its address may be given to callers.
    bool leaving = false; ///< The sender is about to stop.
    std::uint64_t revision = 0; ///< Of the active configuration.
    /// Time since `revision` was known to be the newest; Duration::max(): never.
    Duration proofAge = Duration::max();
    bool storeFailing = false; ///< The sender's last call to the store failed.
    /// How long the store has not answered the sender, if the sender reads it.
    Duration storeUnansweredFor = Duration::zero();
    /// Time since the replicas were read from the store.
    Duration replicasAge = Duration::max();
    std::uint64_t replicasHash = 0; ///< Of the replicas known to the sender; 0: none.
    StorePosition replicasPosition = {}; ///< Position of the store at that read.
    EvacuatedDomains::State evacuated = {}; ///< Version 0: not known.
    std::uint64_t ask = 0; ///< If not 0, the receiver answers at once with this number as `echo`.
    /// `ask` of the message that this one answers; this one was sent after the ask was received.
    std::uint64_t echo = 0;
    ReplicaStatusUpdate replicas = {}; ///< State of the replicas as observed by the sender.
    /// Prompt parts that the sender has sent to replicas since its last heartbeat, by replica id.
    PromptsByReplica prompts = {};
    /// Replicas whose cached prompts are known, so that they need not be asked for them.
    std::vector<std::string> discovered = {};
    bool relays = false; ///< The sender relays requests of other routers; older programs don't.
    /// Services most of whose replicas the sender can't reach, so that it can't relay for them.
    std::vector<std::string> unreachableServices = {};
    std::vector<CrashUpdate> crashes = {}; ///< Requests during which replicas crashed.
    /// Services whose replicas crash if they reject too much. Older programs ignore them.
    std::vector<BrittleService> brittle = {};
};

/// \brief Encodes heartbeats as JSON-RPC notifications and decodes them. Field names on the wire
/// have one or two letters: with several heartbeats a second, full names would double the bytes.
class HeartbeatCodec
{
public:
    HeartbeatCodec();
    ~HeartbeatCodec();
    HeartbeatCodec(const HeartbeatCodec &) = delete;
    HeartbeatCodec &operator=(const HeartbeatCodec &) = delete;

    static std::string encode(const RouterHeartbeat &heartbeat);

    /// \returns the result of encode(), compressed. Heartbeats are most of the traffic of a large
    /// fleet between failure domains.
    static std::string pack(const RouterHeartbeat &heartbeat);

    /// \returns the heartbeat passed to pack(); MalformedRequest for any other input.
    Result<RouterHeartbeat> unpack(std::string_view bytes);

    /// \returns the heartbeat; MalformedRequest for any other input.
    Result<RouterHeartbeat> decode(const std::string &text);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
