#pragma once

#include "Base/Clock.h"
#include "Base/Random.h"

#include <string>
#include <string_view>
#include <vector>

namespace catkinloft::soak {

enum class FaultKind {
    RouterKill, ///< SIGKILL, then started again.
    RouterTerm, ///< SIGTERM, then started again once it has ended.
    RouterPause, ///< SIGSTOP, then SIGCONT.
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    StoreForgets, ///< The history of changes.
    StorePathCut, ///< One router reaches the store no more.
    StorePathSilent, ///< One router's open connections to the store go silent.
    ReplicaKill, ///< SIGKILL, then started with a new id.
    ReplicaPause,
    ReplicaFails, ///< Loses answers, fails, refuses, hangs and cuts streams, in shares.
    ReplicaPathSilent,
    ReplicaPathDelay,
    ReplicaDrain, ///< Says that it leaves; is replaced later.
    KeyTaken, ///< A key is taken away and another is added.
    ConfigChange, ///< A route comes or goes.
    ReplicaSaysLeaving, ///< In its answers only; is replaced later.
    ReplicaAsksForPause, ///< With each request that it turns away.
    FatalRequest, ///< A request that ends the replicas that run it comes again and again.
    DomainEvacuated, ///< Nothing may be sent to the replicas of one failure domain.
    ReplicaTurnsCold, ///< It bears few requests a second and ends above.
};

std::string_view faultName(FaultKind kind);

/// \brief One fault of a run.
struct Fault
{
    FaultKind kind = FaultKind::RouterKill;
    Duration at = {}; ///< From the start of the load.
    Duration length = {}; ///< Until it is taken back.
    std::size_t target = 0; ///< Number of the router or replica.
};

/// \returns faults that replicas bring with them, apart from drawFaults() so that the plans of
/// known seeds stay as they are.
std::vector<Fault> drawReplicaFaults(const RandomSource &random, Duration length,
                                     std::size_t replicas);

/// \returns faults of failure domains and of replicas that turn cold, apart for the same reason.
std::vector<Fault> drawDomainFaults(const RandomSource &random, Duration length,
                                    std::size_t replicas);

/// \returns the faults of the run with \a random, in order of time: single ones, series of one kind
/// and overlapping ones.
std::vector<Fault> drawFaults(const RandomSource &random, Duration length, std::size_t routers,
                              std::size_t replicas);

} // namespace catkinloft::soak
