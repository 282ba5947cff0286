#pragma once

#include "SoakLoad.h"

#include <functional>
#include <string>
#include <vector>

#include <json/json.h>

namespace catkinloft::soak {

/// \brief What the operator did that limits what may run.
struct OperatorAct
{
    WallTime acknowledgedAt = {};
    std::string key = {}; ///< Taken away; empty: the act concerns a replica.
    std::string replica = {}; ///< Told that it drains.
    bool controlStable = true; ///< Nothing disturbed routers or store around the act.
};

/// \brief A time in which nothing might be sent to the replicas of one failure domain.
struct Evacuation
{
    std::string domain = {};
    WallTime acknowledgedAt = {};
    WallTime endedAt = WallTime::max();
    bool controlStable = true; ///< \sa OperatorAct::controlStable
};

/// \brief A time in which a replica was cold and its entry had told so for a while.
struct ColdPeriod
{
    std::string replica = {};
    WallTime from = {};
    WallTime until = {};
    double maxPerSecond = 0; ///< Requests in one second, from all routers together.
};

/// \brief A time in which a router was killed, stopped or paused, until it ran again.
struct RouterDisturbance
{
    std::size_t router = 0;
    WallTime from = {};
    WallTime until = WallTime::max();
};

/// \brief What a run did to the system, as far as it limits the promises.
struct RunHistory
{
    std::vector<OperatorAct> acts = {};
    std::vector<RouterDisturbance> disturbances = {};
    std::vector<Evacuation> evacuations = {};
    std::vector<ColdPeriod> coldPeriods = {};
    std::function<std::string(const std::string &replica)> domainOf = {}; ///< By the replica's id.
};

/// \brief Checks the promises of the pages against what callers saw and what arrived at replicas.
/// \returns a line for each broken promise, the first few of a kind.
std::vector<std::string> brokenPromises(const std::map<std::string, Attempt> &attempts,
                                        const std::vector<Json::Value> &arrivals,
                                        const RunHistory &history);

} // namespace catkinloft::soak
