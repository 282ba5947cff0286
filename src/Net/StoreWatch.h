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

namespace catkinloft {

class EventLoop;

/// \brief The task that keeps configuration and replicas up to date. A few routers read the store
/// all the time; the others ask them, and read the store themselves only when that does not help.
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
        std::function<void()> askPeer; ///< Nothing was heard of the store for too long.
        std::function<bool()> isReader; ///< This router reads for the others.
        std::function<int()> routers; ///< How many there are.
        const EntrySettings &settings; ///< May change meanwhile.
        std::function<void()> answered = [] {}; ///< The store has answered a call.
    };

    explicit StoreWatch(Options options);

    void start();

    /// \returns whether the last call to the store failed.
    bool isFailing() const { return m_configPlan.isFailing() || m_replicasPlan.isFailing(); }

    /// \returns how long a router that reads the store has got no answer; zero for others.
    Duration unansweredFor() const { return m_configPlan.unansweredFor(); }

    /// \brief Takes over what a peer read.
    void applyConfigText(const std::string &text, TimePoint readStartedAt);

    /// \brief Notes that the store answered another router, or another call of this one, at \a at.
    void answeredElsewhere(TimePoint at);

private:
    void watchConfig();
    void configRead(const Result<ConfigRead> &read, TimePoint began);
    void applyEvacuations(const ConfigRead &read);
    void readReplicas();
    void replicasRead(const Result<ReplicaSnapshot> &read, TimePoint began);
    void check();
    StoreReadPlan::State configState() const;
    StoreReadPlan::State replicasState() const;
    void noteResult(StoreReadPlan &plan, const char *what, const Error *error);

    Options m_options;
    std::uint64_t m_storeVersion = 0; ///< Of the last read of the configuration; 0: none.
    StoreReadPlan m_configPlan;
    StoreReadPlan m_replicasPlan;
    Timer m_replicasTimer; ///< Until the next read of a reader.
    Timer m_checkTimer;
};

} // namespace catkinloft
