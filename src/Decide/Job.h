#pragma once

#include "Base/Clock.h"
#include "Base/Error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace catkinloft {

using JobId = std::uint64_t;

/// \brief A request as the decisions see it.
struct Job
{
    JobId id = 0; ///< Unique in this process.
    std::string workspace = {};
    std::uint64_t chatKey = 0; ///< Same for every request of one chat; 0: not a chat.
    double work = 1; ///< Estimated work in tokens to be read or generated; calls count 1.
    int priority = 0; ///< Higher goes first within a workspace.
    TimePoint deadline = {};
    int hops = 0; ///< Routers that it has already passed through before this one.
    std::vector<std::string> excluded = {}; ///< Upstreams that an earlier attempt failed on.
};

/// \brief Where a job goes.
struct Assignment
{
    std::string upstream = {}; ///< Name of the engine, or address of the replica.
    std::string address = {}; ///< `ip:port` to send the request to.
    bool relayed = false; ///< `address` is the router that owns the engine, not the engine.
    Duration waited = Duration::zero(); ///< Time spent in the queue.
    std::string why = {}; ///< One sentence for `explain`.
};

/// \brief How one attempt on an upstream went.
struct AttemptReport
{
    bool succeeded = false;
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::Internal; ///< Where it did not succeed.
    Duration untilFirstByte = Duration::zero();
    Duration total = Duration::zero();
    /// A failure that says nothing of this upstream: the request had failed elsewhere before, or
    /// its time ended while the answer was coming.
    bool ignoredForHealth = false;
};

} // namespace catkinloft
