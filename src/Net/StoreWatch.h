#pragma once

#include "Base/EntrySettings.h"
#include "Base/FleetStore.h"
#include "Base/Metrics.h"
#include "Base/Random.h"
#include "Control/ActiveConfig.h"
#include "Control/EvacuatedDomains.h"
#include "Control/ReplicaRegistry.h"
#include "Control/StoreReadPlan.h"
#include "Net/Timer.h"

#include <functional>
#include <optional>

namespace catkinloft {

class EventLoop;

/// \brief Keeps the configuration and the replicas up to date.
///
/// A few routers, the readers, read the store continuously. The others ask the readers, and read
/// the store themselves only when their state is overdue.
class StoreWatch
{
public:
    struct Options
    {
        EventLoop &loop;
        FleetStore &store;
        ActiveConfig &config;
        EvacuatedDomains &evacuated;
        ReplicaRegistry &replicas;
        Metrics &metrics;
        RandomSource random;
        std::function<void()> askPeer; ///< Called while the state of the store is overdue.
        std::function<bool()> isReader; ///< Whether this router reads on behalf of the fleet.
        std::function<int()> routers; ///< Number of routers.
        const EntrySettings &settings; ///< May change while the process runs.
        std::function<void()> answered = [] {}; ///< Called after the store has answered a call.
    };

    explicit StoreWatch(Options options);

    void start();

    /// \returns whether the last call to the store failed.
    bool isFailing() const { return m_configPlan.isFailing() || m_replicasPlan.isFailing(); }

    /// \returns for how long a router that reads the store has received no answer; zero for others.
    Duration unansweredFor() const { return m_configPlan.unansweredFor(); }

    /// \brief Reads the replicas from the store as soon as the rate permits, in a call that begins
    /// after this one. Requests until then share it.
    ///
    /// Handles callers that resume many streams whose origin no other router can confirm. The
    /// routers of a fleet together call at most at the rate of StoreReadPlan, and a router whose
    /// last call failed waits as long as for any other call.
    void refreshReplicas();

    /// \brief Applies a configuration that a peer read.
    void applyConfigText(const std::string &text, TimePoint readStartedAt);

    /// \brief Notes that the store answered another router, or another call of this one, at \a at.
    void answeredElsewhere(TimePoint at);

private:
    void watchConfig();
    void configRead(const Result<ConfigRead> &read, TimePoint began);
    void applyEvacuations(const ConfigRead &read);
    void readReplicas();
    void continueRefresh();
    void replicasRead(const Result<ReplicaSnapshot> &read, TimePoint began);
    void check();
    StoreReadPlan::State configState() const;
    StoreReadPlan::State replicasState() const;
    void noteResult(StoreReadPlan &plan, const char *what, const Error *error);

    Options m_options;
    /// Of the last read of the configuration; empty: a full read is needed.
    std::optional<StorePosition> m_watchedFrom;
    std::uint64_t m_storedRevision = 0; ///< Of the configuration in the store at the last read.
    StoreReadPlan m_configPlan;
    StoreReadPlan m_replicasPlan;
    Timer m_replicasTimer; ///< Runs until the next read of a reader.
    Timer m_refreshTimer; ///< Runs until a refresh is permitted.
    TimePoint m_nextRefreshAt = TimePoint::min();
    bool m_isRefreshDue = false; ///< Once the call in progress has ended.
    Timer m_checkTimer;
};

} // namespace catkinloft
