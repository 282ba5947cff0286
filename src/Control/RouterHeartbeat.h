#pragma once

#include "Base/Clock.h"
#include "Base/Error.h"
#include "Control/EvacuatedDomains.h"
#include "Decide/ReplicaPool.h"
#include "Decide/RequestQuarantine.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief What a router tells the others a few times a second.
struct RouterHeartbeat
{
    std::string name = {}; ///< Of the sender.
    std::uint64_t incarnation = 0; ///< Start of the process in milliseconds; never falls.
    std::uint64_t sequence = 0; ///< Rises with each message of the process.
    std::string callerAddress = {}; ///< `ip:port` that callers connect to.
    std::string peerAddress = {}; ///< `ip:port` for routers, TCP and UDP.
    std::string failureDomain = {};
    double processorShare = 1; ///< Cores of the sender's VM.
    bool ready = false; ///< May be named to callers.
    bool leaving = false; ///< Stops soon.
    std::uint64_t revision = 0; ///< Of the configuration in force.
    Duration proofAge = Duration::max(); ///< Since it was certain that this is the newest.
    bool storeFailing = false; ///< The sender's last call to the store failed.
    Duration storeUnansweredFor =
            Duration::zero(); ///< How long a router that reads it got no answer.
    Duration replicasAge = Duration::max(); ///< Since the replicas were read from the store.
    std::uint64_t replicasHash = 0; ///< Of the replicas that the sender knows; 0: none.
    std::uint64_t replicasVersion = 0; ///< Of the store when they were read.
    EvacuatedDomains::State evacuated = {}; ///< Version 0: there is nothing to tell.
    std::uint64_t ask = 0; ///< Other than 0: the receiver answers at once with this as `echo`.
    std::uint64_t echo = 0; ///< Of the ask that this answers: it was sent after that came in.
    ReplicaStatusUpdate replicas = {}; ///< Of the sender.
    /// Parts of prompts that the sender has sent to replicas since its last beat, by replica id.
    PromptsByReplica prompts = {};
    /// Replicas that need not be asked any more for what they keep.
    std::vector<std::string> discovered = {};
    std::vector<CrashUpdate> crashes = {}; ///< Of requests under which replicas ended.
};

/// \brief Turns beats into JSON-RPC notifications and back. Names on the wire have one or two
/// letters: at nine routers and four beats a second full names would double the bytes.
class HeartbeatCodec
{
public:
    HeartbeatCodec();
    ~HeartbeatCodec();
    HeartbeatCodec(const HeartbeatCodec &) = delete;
    HeartbeatCodec &operator=(const HeartbeatCodec &) = delete;

    static std::string encode(const RouterHeartbeat &heartbeat);

    /// \returns encode() compressed. Beats are most of what a large fleet sends between failure
    /// domains.
    static std::string pack(const RouterHeartbeat &heartbeat);

    /// \returns the beat that pack() was given; MalformedRequest for anything else.
    Result<RouterHeartbeat> unpack(std::string_view bytes);

    /// \returns the beat; MalformedRequest for anything else.
    Result<RouterHeartbeat> decode(const std::string &text);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
