#pragma once

#include "SoakCheck.h"
#include "SoakPlan.h"
#include "fleet/Crowd.h"

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace catkinloft::soak {

/// \brief One run of the real programs under faults drawn from a seed.
class SoakRun
{
public:
    struct Options
    {
        std::string binaries;
        std::uint64_t seed = 1;
        Duration length = std::chrono::seconds(10); ///< Period in which faults begin.
        std::size_t routers = 4;
        std::size_t replicas = 3; ///< Of each of two services.
        bool withReplicaFaults = true; ///< \sa drawReplicaFaults
        bool withDomainFaults = true; ///< \sa drawDomainFaults
        bool withStoreRestores = true; ///< \sa drawStoreRestores
        bool withPartitions = true; ///< \sa drawPartitions
        bool withVersions = true; ///< Two software versions, and callers that resume their streams.
        bool withOverloads = true; ///< Replicas of limited capacity, and \sa drawOverloads
        bool withReplicasPauses = false; ///< Long streams, and \sa drawReplicasPauses
        bool withRefusalCopies = false; ///< \sa drawRefusalCopies
        /// Load and retry budget of a run with \a routers and \a replicas; empty: no retry storms.
        /// \sa drawRetryStorms
        std::optional<RetryStormSetup> retryStorms = {};
        bool withSlowCallers = false; ///< \sa SlowCallers, drawPlannedWork
        std::string keepFolder = {}; ///< Receives the logs of a run that violates a guarantee.
    };

    struct Outcome
    {
        std::vector<Fault> faults;
        std::vector<std::string> broken; ///< Violated guarantees; empty if the run passed.
        std::size_t requests = 0;
        std::size_t answered = 0;
        std::size_t onKeptConnections = 0; ///< Requests.
        std::size_t routerExits = 0; ///< Not caused by the run.
        std::string retryBudgetUse; ///< \sa describeRetryBudgetUse
    };

    explicit SoakRun(Options options);

    Outcome run();

private:
    standin::EntryFleet::Options fleetOptions() const;
    void drawPlan();
    void begin(const Fault &fault);
    void end(const Fault &fault);
    void restartRouter(std::size_t i);
    void beginDisturbance(std::size_t router, bool isPause = false);
    void noteReplicaDisturbance(const Fault &fault);
    void restartReplica(std::size_t i);
    void replaceReplica(std::size_t i);
    void pauseReplicas(const Fault &fault);
    void resumeReplicas(const Fault &fault);
    void endDisturbance(std::size_t router, bool onlyPauses = false);
    void restartExitedReplicas();
    bool noteRouterExit(std::size_t i);
    void restartExitedRouters();
    void changeSettings(std::size_t router);
    void beginCrowd(std::size_t router);
    void setServiceFaults(const Fault &fault, const std::string &faults);
    void applyPathStalls(const Fault &fault);
    void setReplicaFaults(std::size_t i, const std::string &faults);
    void endReplicaOutage(std::size_t i);
    void beginOverload(const Fault &fault);
    void endOverload();
    void revokeKey();
    void evacuate(std::size_t i);
    void endEvacuation(std::size_t i);
    void makeCold(const Fault &fault);
    void postponeUnreadColdPeriods();
    void interruptColdPeriods(std::size_t replica, Duration length);
    WallTime whenEntriesAreRead() const;
    bool isControlStable() const;
    void finish();
    std::vector<std::string> probe();
    void keepLogs() const;

    Options m_options;
    standin::EntryFleet m_fleet;
    EventLoop m_loop;
    RandomSource m_random;
    std::optional<SoakLoad> m_load;
    std::vector<Fault> m_plan;
    RunHistory m_history;
    std::unique_ptr<Timer> m_copyTimer; ///< Makes the store take a copy of itself.
    std::unique_ptr<Timer> m_restartTimer; ///< Restarts processes that have exited on their own.
    std::string m_key = standin::EntryFleet::Key;
    int m_keys = 0;
    std::list<Fault> m_pathStalls; ///< In progress.
    std::set<std::size_t> m_partitioned; ///< Routers that are partitioned from all replicas.
    std::map<std::size_t, int> m_replicaOutages; ///< Pauses and kills in progress, by replica.
    std::map<std::size_t, std::string> m_pendingFaults; ///< Requested during an outage.
    /// When a paused replica has received what was sent to it during its last pause.
    std::map<std::size_t, WallTime> m_replicaBacklogUntil;
    bool m_extraRoute = false;
    bool m_longIdleTimeout = false; ///< \sa FaultKind::IdleTimeoutChange
    int m_settingsChanges = 0;
    std::map<std::size_t, std::unique_ptr<standin::Crowd>> m_crowds; ///< By router.
    std::unique_ptr<Timer> m_crowdTimer; ///< Lets the crowds send.
    TimePoint m_disturbedUntil; ///< End of the last fault of routers or store.
};

} // namespace catkinloft::soak
