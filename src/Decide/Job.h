#pragma once

#include "Base/Clock.h"
#include "Base/Error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace catkinloft {

using JobId = std::uint64_t;

/// \brief The properties of a request that the decisions use.
struct Job
{
    JobId id = 0; ///< Unique in this process.
    std::string workspace = {};
    std::uint64_t chatKey = 0; ///< Equal for all requests of one chat; 0 if not part of a chat.
    double work = 1; ///< Estimated tokens to read and generate; 1 for a call of a plain service.
    int priority = 0; ///< Jobs of higher priority go first within a workspace.
    TimePoint deadline = {};
    int hops = 0; ///< Number of routers that the request passed before this one.
    std::vector<std::string> excluded = {}; ///< Upstreams on which an earlier attempt failed.
};

/// \brief The upstream chosen for a job.
struct Assignment
{
    std::string upstream = {}; ///< Name of the engine, or address of the replica.
    std::string address = {}; ///< `ip:port` to send the request to.
    bool relayed = false; ///< `address` is the router that owns the engine, not the engine.
    Duration waited = Duration::zero(); ///< Time spent in the admission queue.
    std::string why = {}; ///< Reason for the choice, for `explain`.
};

/// \brief Outcome of one attempt on an upstream.
struct AttemptReport
{
    bool succeeded = false;
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::Internal; ///< Only meaningful if the attempt failed.
    Duration untilFirstByte = Duration::zero();
    Duration total = Duration::zero();
    /// The failure is no evidence against this upstream, because the request had failed on another
    /// upstream before, or its deadline passed while the answer was being received.
    bool ignoredForHealth = false;
};

} // namespace catkinloft
