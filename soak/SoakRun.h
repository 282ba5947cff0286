#pragma once

#include "SoakCheck.h"
#include "SoakPlan.h"

#include <map>
#include <memory>
#include <optional>
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
        Duration length = std::chrono::seconds(10); ///< While faults begin.
        std::size_t routers = 4;
        std::size_t replicas = 3; ///< Of each of two services.
        bool withReplicaFaults = true; ///< \sa drawReplicaFaults
        bool withDomainFaults = true; ///< \sa drawDomainFaults
        std::string keepFolder = {}; ///< Logs of a run with a broken promise are kept there.
    };

    struct Outcome
    {
        std::vector<Fault> faults;
        std::vector<std::string> broken; ///< Empty: all promises were kept.
        std::size_t requests = 0;
        std::size_t answered = 0;
    };

    explicit SoakRun(Options options);

    Outcome run();

private:
    void begin(const Fault &fault);
    void end(const Fault &fault);
    void restartRouter(std::size_t i);
    void beginDisturbance(std::size_t router);
    void endDisturbance(std::size_t router);
    void restartExitedReplicas();
    void setReplicaFaults(std::size_t i, const std::string &faults);
    void endReplicaOutage(std::size_t i);
    void revokeKey();
    void evacuate(std::size_t i);
    void endEvacuation(std::size_t i);
    void makeCold(const Fault &fault);
    bool isControlStable() const;
    void finish();
    std::vector<std::string> probe();
    void keepLogs() const;

    Options m_options;
    standin::EntryFleet m_fleet;
    EventLoop m_loop;
    RandomSource m_random;
    std::optional<SoakLoad> m_load;
    RunHistory m_history;
    std::unique_ptr<Timer> m_restartTimer; ///< Starts replicas anew that have ended by themselves.
    std::string m_key = standin::EntryFleet::Key;
    int m_keys = 0;
    std::map<std::size_t, int> m_replicaOutages; ///< Pauses and kills in progress, by replica.
    std::map<std::size_t, std::string> m_pendingFaults; ///< Ordered while it was away.
    bool m_extraRoute = false;
    TimePoint m_disturbedUntil; ///< Routers or store; promises with a time bound wait for calm.
};

} // namespace catkinloft::soak
