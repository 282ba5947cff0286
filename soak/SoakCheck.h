#pragma once

#include "RetryBudgetCheck.h"
#include "RouterLog.h"
#include "SoakLoad.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

namespace catkinloft::soak {

/// \brief An operator's action after which certain requests may no longer run.
struct OperatorAct
{
    WallTime acknowledgedAt = {};
    std::string key = {}; ///< The revoked key; empty: the action concerns a replica.
    std::string replica = {}; ///< The replica that was marked as draining.
    bool controlStable = true; ///< No router or store fault near the action.
};

/// \brief A period in which nothing may be sent to the replicas of one failure domain.
struct Evacuation
{
    std::string domain = {};
    WallTime acknowledgedAt = {};
    WallTime endedAt = WallTime::max();
    bool controlStable = true; ///< \sa OperatorAct::controlStable
};

/// \brief A period in which a replica was cold and all routers had read its entry.
struct ColdPeriod
{
    std::string replica = {};
    WallTime from = {};
    WallTime until = {};
    double maxPerSecond = 0; ///< Limit on requests in one second, over all routers.
};

/// \brief A period in which a router was killed, stopped or paused, until it ran again.
struct RouterDisturbance
{
    std::size_t router = 0;
    WallTime from = {};
    WallTime until = WallTime::max();
    bool isPause = false;
    bool isPlannedStop = false; ///< SIGTERM, after which answers must still end.
};

/// \brief The end of a router process that the run didn't cause.
struct RouterExit
{
    std::size_t router = 0;
    WallTime at = {};
    int status = 0; ///< \sa standin::ChildProcess::wait()
};

/// \brief A period in which answers of a replica could be cut off by a fault of its own or of its
/// path. A single short pause is none.
struct ReplicaDisturbance
{
    std::string replica = {}; ///< Its id; empty: all replicas.
    std::optional<std::size_t> router = {}; ///< Affects only answers to this router.
    WallTime from = {};
    WallTime until = {};
};

/// \brief A period in which callers sent several times the capacity of the replicas.
struct OverloadPhase
{
    WallTime from = {};
    WallTime until = WallTime::max();
    bool isAlone = false; ///< No other fault near the phase. \sa OverloadCheck.h
};

/// \brief The actions and faults of a run that decide which guarantees apply.
struct RunHistory
{
    std::vector<OperatorAct> acts = {};
    WallTime startedAt = {}; ///< Begin of the load.
    std::vector<RouterDisturbance> disturbances = {};
    std::vector<RouterExit> routerExits = {};
    std::vector<RouterLog> routerLogs = {}; ///< By router.
    std::vector<ReplicaDisturbance> replicaDisturbances = {};
    std::vector<Evacuation> evacuations = {};
    std::vector<ColdPeriod> coldPeriods = {};
    std::vector<OverloadPhase> overloads = {};
    std::optional<RetryBudget> retryBudget = {}; ///< Of each service; none: not checked.
    /// Requests that arrived at another replica than the one that they name, in the form of
    /// arrivals. They count only for the retry budget.
    std::vector<Json::Value> misdirectedArrivals = {};
    std::vector<Canary> canaries = {}; ///< In order of sending.
    std::function<std::string(const std::string &replica)> domainOf = {}; ///< By the replica's id.
};

/// \returns whether a fault of \a replica or of its path may have cut off the answer \a it, which
/// ended at \a end.
bool mayBeCutOffBy(const std::string &replica, const Attempt &it, WallTime end,
                   const RunHistory &history);

/// \returns the answer to the request \a id and the replicas that it ran on, for the report.
std::string describe(const std::string &id, const Attempt &attempt,
                     const std::vector<Json::Value> &executions);

/// \brief Checks the documented guarantees against the answers that callers received and the
/// requests that arrived at replicas.
/// \returns one line for each violated guarantee, up to a limit on the number of lines.
std::vector<std::string> brokenPromises(const std::map<std::string, Attempt> &attempts,
                                        const std::vector<Json::Value> &arrivals,
                                        const RunHistory &history);

} // namespace catkinloft::soak
