#pragma once

#include "Base/EntrySettings.h"
#include "Base/Error.h"
#include "Base/Random.h"
#include "Base/RouteConfig.h"
#include "Decide/ConnectionReusePolicy.h"
#include "Decide/FleetRetryBudget.h"
#include "Decide/PathMonitor.h"
#include "Decide/PrefillTimeout.h"
#include "Decide/ReplicaPool.h"
#include "Decide/SilenceMonitor.h"
#include "Decide/SlowCallMonitor.h"
#include "Net/ServiceAdmission.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace catkinloft {

/// \brief Decision state of one service: placement, retries, connection reuse, admission, network
/// paths, silent replicas and slow calls.
struct ServicePool
{
    ReplicaPool replicas;
    FleetRetryBudget retryBudget;
    ConnectionReusePolicy connectionReuse;
    ServiceAdmission admission;
    PathMonitor paths;
    SilenceMonitor silence;
    SlowCallMonitor slowCalls;
    std::shared_ptr<RejectionLimit> rejections; ///< Also used by replicas and admission.

    /// \returns why no replica of \a target, a service or its software, was chosen for a request.
    /// \param verdict of its attempts.
    /// \param retryAfter delay for the caller, unless the limit on rejections is the cause.
    Error refusal(const std::string &target, Verdict verdict, Duration retryAfter) const;

    /// \brief Records that no connection to replica \a id could be established. While the service
    /// is partitioned, what failed on lost paths doesn't count against the replicas.
    void pathLost(const std::string &id);

    /// \brief Records that nothing returns on the path to replica \a id. \sa PathMonitor::silent
    void pathSilent(const std::string &id);

    /// \brief Records that a new connection to replica \a id was established.
    void pathConnected(const std::string &id,
                       PathMonitor::Listener listener = PathMonitor::Listener::Replica);

    /// \brief Records that bytes arrived from replica \a id on a new connection.
    void pathRegained(const std::string &id,
                      PathMonitor::Listener listener = PathMonitor::Listener::Replica);

    PrefillTimeout prefillEstimate = {};

private:
    void forgetFailuresOnLostPaths(const std::string &id, bool wasPartitioned);
};

/// \brief Pools of all services. A pool is never removed, so that calls may hold a pointer to it.
class ServicePools
{
public:
    /// \brief Information about the other routers that the pools need.
    struct Fleet
    {
        std::function<int()> routers = [] { return 1; }; ///< \sa ReplicaPool::Options::routers
        /// \sa ReplicaPool::Options::isColdSender
        std::function<bool(std::string_view replica, std::size_t n)> isColdSender =
                [](std::string_view, std::size_t) { return true; };
        std::function<void()> pathChecksDue = [] {}; ///< For PathMonitor and SlowCallMonitor.
        bool followsOthers = false; ///< \sa FleetRetryBudget::Options::followsOthers
    };

    ServicePools(const Clock &clock, RandomSource random, const EntrySettings &settings)
        : ServicePools(clock, std::move(random), settings, Fleet())
    { }

    ServicePools(const Clock &clock, RandomSource random, const EntrySettings &settings,
                 Fleet fleet);

    /// \brief Applies the configuration of the services, such as which of them run models.
    void setServices(const RouteConfig &config);

    void setReplicas(std::span<const ReplicaRecord> replicas);

    /// \brief Excludes the replicas in \a domains from placement.
    void setEvacuated(const std::set<std::string> &domains);

    /// \brief Applies the retry budget and the limits of changed settings.
    void applySettings();
    void applyStatusUpdate(const std::string &router, const ReplicaStatusUpdate &update,
                           TimePoint receivedAt);

    /// \brief Excludes \a replica for \a pause after it crashed.
    /// \sa ReplicaPool::noteUnreachable()
    void noteCrashed(const std::string &replica, Duration pause);

    /// \brief Records that another router sent \a parts of a prompt to \a replica.
    void notePrompts(const std::string &replica, std::span<const std::uint64_t> parts);

    /// \returns the prompt parts that are estimated to be cached by replicas, at most \a limit for
    /// each service.
    PromptsByReplica prompts(std::size_t limit) const;

    /// \returns the replicas that cache prompts and are not evacuated.
    std::vector<ReplicaRecord> engines() const;

    ServicePool &of(const std::string &service);

    /// \brief Calls \a visit for the pool of each service.
    void forEach(const std::function<void(ServicePool &)> &visit);

    /// \returns the path of health checks of \a service; the root if none is configured.
    std::string healthPath(const std::string &service) const;

    /// \returns the registration of replica \a incarnation, or null.
    const ReplicaRecord *findReplica(std::string_view incarnation) const;

    /// \returns who answers at the address of \a replica: unknown if another registered replica has
    /// the same address, or if the replica has crashed, since the next one there may not be
    /// registered yet.
    PathMonitor::Listener listenerAt(const ReplicaRecord &replica) const;

    /// \returns the services for which this router can't relay. \sa PathMonitor::isMostlyLost()
    std::vector<std::string> unreachableServices() const;

    /// \returns the number of replicas to which this router has no network path.
    std::size_t lostPaths() const;

    /// \returns the brittle services that this router announces.
    std::vector<BrittleService> brittleServices() const;

    /// \brief Applies what \a router announced about brittle services.
    void noteBrittle(const std::string &router, std::span<const BrittleService> services);

    /// \returns the status update about all replicas that this router announces.
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
