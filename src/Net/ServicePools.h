#pragma once

#include "Base/EntrySettings.h"
#include "Base/Random.h"
#include "Base/RouteConfig.h"
#include "Decide/ConnectionReusePolicy.h"
#include "Decide/FleetRetryBudget.h"
#include "Decide/LoadShedder.h"
#include "Decide/PrefillTimeout.h"
#include "Decide/ReplicaPool.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace catkinloft {

/// \brief What is decided for one service: placement, repeats, and which connections are reused.
struct ServicePool
{
    ReplicaPool replicas;
    FleetRetryBudget retryBudget;
    ConnectionReusePolicy connectionReuse;
    LoadShedder shedder;
    PrefillTimeout prefillEstimate = {};
};

/// \brief The pools of all services; one that is named once stays, so that calls may point at it.
class ServicePools
{
public:
    /// \brief What the pools ask about the other routers.
    struct Fleet
    {
        std::function<int()> routers = [] { return 1; }; ///< \sa ReplicaPool::Options::routers
        /// \sa ReplicaPool::Options::isColdSender
        std::function<bool(std::string_view replica, std::size_t n)> isColdSender =
                [](std::string_view, std::size_t) { return true; };
    };

    ServicePools(const Clock &clock, RandomSource random, const EntrySettings &settings)
        : ServicePools(clock, std::move(random), settings, Fleet())
    { }

    ServicePools(const Clock &clock, RandomSource random, const EntrySettings &settings,
                 Fleet fleet);

    /// \brief Takes over which services run models.
    void setServices(const RouteConfig &config);

    void setReplicas(std::span<const ReplicaRecord> replicas);

    /// \brief Sends nothing more to replicas in \a domains.
    void setEvacuated(const std::set<std::string> &domains);

    /// \brief Takes over the repeat budget and the limits of settings that have changed.
    void applySettings();
    void applyStatusUpdate(const std::string &router, const ReplicaStatusUpdate &update,
                           TimePoint receivedAt);

    /// \brief Leaves \a replica out for \a pause, because it has ended; \sa
    /// ReplicaPool::noteUnreachable().
    void noteCrashed(const std::string &replica, Duration pause);

    /// \brief Takes over that another router sent parts of prompts to replicas.
    void notePrompts(const std::string &replica, std::span<const std::uint64_t> parts);

    /// \returns parts of prompts that replicas are believed to keep, at most \a limit a service.
    PromptsByReplica prompts(std::size_t limit) const;

    /// \returns the replicas that keep prompts in memory and may get requests.
    std::vector<ReplicaRecord> engines() const;

    ServicePool &of(const std::string &service);

    /// \returns what this router has to tell of all replicas.
    ReplicaStatusUpdate ownStatusUpdate() const;

private:
    double coldRateLimitOf(const std::string &service) const;

    const Clock &m_clock;
    RandomSource m_random;
    const EntrySettings &m_settings;
    Fleet m_fleet;
    std::map<std::string, ServiceConfig> m_services;
    std::set<std::string> m_evacuated;
    std::vector<ReplicaRecord> m_replicas;
    std::map<std::string, std::unique_ptr<ServicePool>> m_pools;
};

} // namespace catkinloft
