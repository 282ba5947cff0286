#pragma once

#include "Base/Clock.h"
#include "Base/Random.h"

#include <string>
#include <string_view>
#include <vector>

namespace catkinloft::soak {

enum class FaultKind {
    RouterKill, ///< SIGKILL, then started again.
    RouterTerm, ///< SIGTERM, then started again once it has exited.
    RouterPause, ///< SIGSTOP, then SIGCONT.
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    StoreForgets, ///< Discards its history of changes.
    StorePathCut, ///< One router can no longer reach the store.
    StorePathSilent, ///< One router's open connections to the store stop delivering data.
    ReplicaKill, ///< SIGKILL, then started with a new id.
    ReplicaPause,
    ReplicaFails, ///< Randomly loses answers, fails, refuses, hangs and cuts streams.
    ReplicaPathSilent,
    ReplicaPathDelay,
    ReplicaDrain, ///< Marked as draining in its entry; replaced later.
    KeyTaken, ///< A key is revoked and another is added.
    ConfigChange, ///< A route is added or removed.
    ReplicaSaysLeaving, ///< Reports it in its answers only; replaced later.
    ReplicaAsksForPause, ///< Asks for it with each request that it refuses.
    FatalRequest, ///< A request that crashes the replicas that run it is sent repeatedly.
    DomainEvacuated, ///< Nothing may be sent to the replicas of one failure domain.
    ReplicaTurnsCold, ///< Handles few requests per second and crashes above its limit.
    RouterPartitioned, ///< Packets between one router and all replicas are dropped.
    RouterReset, ///< One router's connections to all replicas are closed, also new ones.
    RouterRefused, ///< One router's new connections to all replicas are reset.
    ReplicaChangesVersion, ///< Restarts with the other software version.
    StoreRestored, ///< The store is down and returns from a copy that is some seconds old.
    Overload, ///< Callers send several times the capacity of the replicas.
    ReplicasPause, ///< All or most replicas, with SIGSTOP at the same moment.
    ReplicaCopiesRefusals, ///< Refuses requests and sends a copy of each refusal later.
    FormerReplicaRegistered, ///< A former replica stays registered at the address of another one.
    RouterHup, ///< SIGHUP after a change of the settings file.
    IdleTimeoutChange, ///< A configuration changes the idle timeout of callers' connections.
    ServiceFails, ///< Most requests to all replicas of one service fail.
    PathsStall, ///< Paths between routers and replicas deliver later what was sent meanwhile.
    HalfBodyCrowd, ///< Requests without end that exceed the memory for requests of one router.
};

std::string_view faultName(FaultKind kind);

/// \brief One fault of a run.
struct Fault
{
    FaultKind kind = FaultKind::RouterKill;
    Duration at = {}; ///< From the start of the load.
    Duration length = {}; ///< Until it is reverted.
    std::size_t target = 0; ///< Index of the router, replica, or workspace that sends most.
    double load = 0; ///< Overload: requests sent, as a multiple of the replicas' capacity.
    std::size_t count = 1; ///< ReplicasPause, PathsStall: number of replicas, from the target on.
    std::string_view faults = {}; ///< ServiceFails: faults of each replica. \sa ReplicaStandin
    std::size_t firstRouter = 0; ///< PathsStall.
    std::size_t routers = 0; ///< PathsStall: number of routers, from the first on.
};

/// \brief Size, load and retry budget of a run with retry storms. \sa drawRetryStorms
struct RetryStormSetup
{
    std::size_t routers = 4;
    std::size_t replicas = 3; ///< Of each service.
    Duration interval = {}; ///< Between two requests of all callers.
    double share = 0; ///< Retries allowed per request.
    int slack = 0; ///< Additional retries allowed per window.
};

/// \returns faults that originate in replicas. They are drawn separately from drawFaults() so that
/// the plans of recorded seeds do not change.
std::vector<Fault> drawReplicaFaults(const RandomSource &random, Duration length,
                                     std::size_t replicas);

/// \returns faults of failure domains and of replicas that become cold, drawn separately for the
/// same reason.
std::vector<Fault> drawDomainFaults(const RandomSource &random, Duration length,
                                    std::size_t replicas);

/// \returns restores of the store from a copy, single or two in a row, drawn separately for the
/// same reason.
std::vector<Fault> drawStoreRestores(const RandomSource &random, Duration length);

/// \returns partitions of single routers from all replicas, drawn separately for the same reason.
std::vector<Fault> drawPartitions(const RandomSource &random, Duration length, std::size_t routers);

/// \returns restarts of replicas with another software version, drawn separately for the same
/// reason.
std::vector<Fault> drawVersionChanges(const RandomSource &random, Duration length,
                                      std::size_t replicas);

/// \returns two overloads, drawn separately for the same reason: one among the other faults, and
/// one that begins \a aloneAt, when they have ended.
std::vector<Fault> drawOverloads(const RandomSource &random, Duration length, Duration aloneAt,
                                 std::size_t workspaces);

/// \returns pauses of all or most replicas, each shortly after a change of the configuration and
/// some beside the pause of a router, drawn separately for the same reason.
std::vector<Fault> drawReplicasPauses(const RandomSource &random, Duration length,
                                      std::size_t routers, std::size_t replicas);

/// \returns periods in which a replica sends copies of its refusals, most of them beside the
/// registration of a former replica at its address, drawn separately for the same reason.
std::vector<Fault> drawRefusalCopies(const RandomSource &random, Duration length,
                                     std::size_t replicas);

/// \returns planned work in series that overlap, drawn separately for the same reason: SIGTERM to
/// one router after the other, SIGHUP and configurations; and crowds of half bodies at one router.
std::vector<Fault> drawPlannedWork(const RandomSource &random, Duration length,
                                   std::size_t routers);

/// \returns a small or large fleet with few or many requests and a budget of which the slack is
/// little or most.
RetryStormSetup drawRetryStormSetup(const RandomSource &random);

/// \returns periods in which most requests to a service fail, beside routers that are killed or
/// paused in series, replicas that are paused, paths that stall and a store that is down, drawn
/// separately for the same reason.
std::vector<Fault> drawRetryStorms(const RandomSource &random, Duration length,
                                   const RetryStormSetup &setup);

/// \returns whether \a kind may be active beside retry storms. The others take replicas or callers
/// away, or have time limits that paths which stall don't allow to check.
bool mayAccompanyRetryStorms(FaultKind kind);

/// \returns whether no fault of \a plan other than \a overload is active between \a before its
/// begin and \a after its end.
bool isAlone(const Fault &overload, const std::vector<Fault> &plan, Duration before,
             Duration after);

/// \returns the faults of a run, drawn from \a random and ordered by time: single faults, series of
/// one kind, and overlapping faults.
std::vector<Fault> drawFaults(const RandomSource &random, Duration length, std::size_t routers,
                              std::size_t replicas);

} // namespace catkinloft::soak
