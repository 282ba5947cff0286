#include "Net/ServicePools.h"

#include <algorithm>

#include <fmt/format.h>

namespace catkinloft {

namespace {

/// Brittle services in one heartbeat, at about 30 bytes each.
constexpr std::size_t MaxBrittleServices = 8;

std::vector<ReplicaRecord> ofService(std::span<const ReplicaRecord> all, const std::string &service)
{
    std::vector<ReplicaRecord> out;
    for (const ReplicaRecord &it : all) {
        if (it.service == service)
            out.push_back(it);
    }
    return out;
}

} // namespace

Error ServicePool::refusal(const std::string &target, Verdict verdict, Duration retryAfter) const
{
    Error out{.reason = Reason::NoLiveEngine,
              .verdict = verdict,
              .detail = fmt::format("no replica of {} can take the request", target),
              .retryAfter = retryAfter,
              .figures = {{"usable_replicas", static_cast<double>(replicas.usableCount())}}};
    const std::size_t heldBack = rejections->isBrittle() ? replicas.heldBackCount() : 0;
    if (heldBack == 0)
        return out;
    out.reason = Reason::EnginesSaturated;
    out.detail = fmt::format("no replica of {} may get a request that it could reject, because "
                             "rejections may crash it",
                             target);
    out.retryAfter = rejections->retryAfter();
    out.figures.push_back({"held_back_replicas", static_cast<double>(heldBack)});
    out.figures.push_back({"max_rejections", static_cast<double>(rejections->maxRejections())});
    out.figures.push_back({"routers", static_cast<double>(rejections->routers())});
    return out;
}

void ServicePool::pathLost(const std::string &id)
{
    const bool wasPartitioned = paths.isPartitioned();
    if (paths.failed(id))
        forgetFailuresOnLostPaths(id, wasPartitioned);
}

void ServicePool::pathSilent(const std::string &id)
{
    const bool wasPartitioned = paths.isPartitioned();
    if (paths.silent(id))
        forgetFailuresOnLostPaths(id, wasPartitioned);
}

void ServicePool::forgetFailuresOnLostPaths(const std::string &id, bool wasPartitioned)
{
    if (!paths.isPartitioned())
        return;
    if (wasPartitioned)
        return replicas.forgetFailures(id);
    for (const std::string &it : paths.broken())
        replicas.forgetFailures(it);
}

void ServicePool::pathConnected(const std::string &id, PathMonitor::Listener listener)
{
    const bool wasPartitioned = paths.isPartitioned();
    if (paths.connected(id, listener) && wasPartitioned)
        replicas.forgetFailures(id);
}

void ServicePool::pathRegained(const std::string &id, PathMonitor::Listener listener)
{
    const bool wasPartitioned = paths.isPartitioned();
    if (paths.answered(id, listener) && wasPartitioned)
        replicas.forgetFailures(id);
}

ServicePools::ServicePools(const Clock &clock, RandomSource random, const EntrySettings &settings,
                           Fleet fleet)
    : m_clock(clock), m_random(std::move(random)), m_settings(settings), m_fleet(std::move(fleet))
{ }

double ServicePools::coldRateLimitOf(const std::string &service) const
{
    const auto it = m_services.find(service);
    const double stated = it == m_services.end() ? 0 : it->second.coldRequestsPerSecond;
    return stated > 0 ? stated * m_settings.coldRateFactor + m_settings.coldRateSlack : 0;
}

void ServicePools::setServices(const RouteConfig &config)
{
    for (const ServiceConfig &it : config.services) {
        m_services[it.name] = it;
        of(it.name).replicas.setColdRateLimit(coldRateLimitOf(it.name));
    }
}

void ServicePools::setReplicas(std::span<const ReplicaRecord> replicas)
{
    m_replicas.assign(replicas.begin(), replicas.end());
    for (const auto &[service, pool] : m_pools) {
        const std::vector<ReplicaRecord> own = ofService(m_replicas, service);
        pool->replicas.setReplicas(own);
        pool->paths.setReplicas(own);
        std::set<std::string> registered;
        for (const ReplicaRecord &it : own)
            registered.insert(it.incarnation());
        pool->silence.retain(registered);
        pool->slowCalls.retain(registered);
    }
}

void ServicePools::forEach(const std::function<void(ServicePool &)> &visit)
{
    for (const auto &[service, pool] : m_pools)
        visit(*pool);
}

const ReplicaRecord *ServicePools::findReplica(std::string_view incarnation) const
{
    const auto it =
            std::find_if(m_replicas.begin(), m_replicas.end(), [&](const ReplicaRecord &record) {
                return record.incarnation() == incarnation;
            });
    return it == m_replicas.end() ? nullptr : &*it;
}

PathMonitor::Listener ServicePools::listenerAt(const ReplicaRecord &replica) const
{
    const bool isShared =
            std::any_of(m_replicas.begin(), m_replicas.end(), [&](const ReplicaRecord &it) {
                return it.address == replica.address && it.incarnation() != replica.incarnation();
            });
    const auto pool = m_pools.find(replica.service);
    const bool hasCrashed =
            pool != m_pools.end() && pool->second->paths.hasCrashed(replica.incarnation());
    return isShared || hasCrashed ? PathMonitor::Listener::Unknown : PathMonitor::Listener::Replica;
}

std::vector<std::string> ServicePools::unreachableServices() const
{
    std::vector<std::string> out;
    for (const auto &[service, pool] : m_pools) {
        if (pool->paths.isMostlyLost())
            out.push_back(service);
    }
    return out;
}

std::size_t ServicePools::lostPaths() const
{
    std::size_t n = 0;
    for (const auto &[service, pool] : m_pools)
        n += pool->paths.broken().size();
    return n;
}

std::string ServicePools::healthPath(const std::string &service) const
{
    const auto it = m_services.find(service);
    const bool isPath = it != m_services.end() && it->second.healthPath.starts_with('/');
    return isPath ? it->second.healthPath : "/";
}

void ServicePools::setEvacuated(const std::set<std::string> &domains)
{
    m_evacuated = domains;
    for (const auto &[service, pool] : m_pools)
        pool->replicas.setEvacuated(domains);
}

void ServicePools::applySettings()
{
    for (const auto &[service, pool] : m_pools) {
        pool->retryBudget.setOptions(m_settings.fleetRetryShare, m_settings.fleetRetrySlack);
        pool->replicas.setColdRateLimit(coldRateLimitOf(service));
    }
}

void ServicePools::applyStatusUpdate(const std::string &router, const ReplicaStatusUpdate &update,
                                     TimePoint receivedAt)
{
    for (const auto &[service, pool] : m_pools)
        pool->replicas.applyStatusUpdate(router, update, receivedAt);
}

void ServicePools::noteCrashed(const std::string &replica, Duration pause)
{
    for (const auto &[service, pool] : m_pools) {
        pool->replicas.excludeFor(replica, pause);
        pool->replicas.noteUnreachable(replica, pause);
        pool->paths.crashed(replica);
    }
}

void ServicePools::notePrompts(const std::string &replica, std::span<const std::uint64_t> parts)
{
    for (const auto &[service, pool] : m_pools)
        pool->replicas.notePrompt(replica, parts);
}

PromptsByReplica ServicePools::prompts(std::size_t limit) const
{
    PromptsByReplica out;
    for (const auto &[service, pool] : m_pools)
        out.merge(pool->replicas.prompts(limit));
    return out;
}

std::vector<ReplicaRecord> ServicePools::engines() const
{
    std::vector<ReplicaRecord> out;
    for (const ReplicaRecord &it : m_replicas) {
        const auto service = m_services.find(it.service);
        if (service != m_services.end() && service->second.isEngine
            && !m_evacuated.contains(it.failureDomain))
            out.push_back(it);
    }
    return out;
}

ServicePool &ServicePools::of(const std::string &service)
{
    std::unique_ptr<ServicePool> &pool = m_pools[service];
    if (!pool) {
        auto rejections = std::make_shared<RejectionLimit>(
                RejectionLimit::Options{.clock = m_clock,
                                        .random = m_random,
                                        .service = service,
                                        .routers = m_fleet.routers,
                                        .isEnabled = m_settings.mechanisms.brittleServices});
        pool = std::make_unique<ServicePool>(ServicePool{
                .replicas = ReplicaPool(
                        {.clock = m_clock,
                         .random = m_random,
                         .failureDomain = m_settings.failureDomain,
                         .isEngine = m_services[service].isEngine,
                         .mechanisms = m_settings.mechanisms,
                         .regionOf =
                                 [this](const std::string &it) { return m_settings.regionOf(it); },
                         .routers = m_fleet.routers,
                         .isColdSender = m_fleet.isColdSender,
                         .rejections = rejections}),
                .retryBudget = FleetRetryBudget({.clock = m_clock,
                                                 .random = m_random,
                                                 .service = service,
                                                 .share = m_settings.fleetRetryShare,
                                                 .slack = m_settings.fleetRetrySlack,
                                                 .window = m_settings.fleetRetryWindow,
                                                 .followsOthers = m_fleet.followsOthers}),
                .connectionReuse = ConnectionReusePolicy({.clock = m_clock}),
                .admission = ServiceAdmission({.clock = m_clock,
                                               .random = m_random,
                                               .service = service,
                                               .mechanisms = m_settings.mechanisms,
                                               .rejections = rejections}),
                .paths = PathMonitor(
                        {.clock = m_clock, .service = service, .checksDue = m_fleet.pathChecksDue}),
                .silence = SilenceMonitor(m_clock),
                .slowCalls =
                        SlowCallMonitor({.clock = m_clock, .probesDue = m_fleet.pathChecksDue}),
                .rejections = rejections});
        pool->replicas.setEvacuated(m_evacuated);
        pool->replicas.setColdRateLimit(coldRateLimitOf(service));
        const std::vector<ReplicaRecord> own = ofService(m_replicas, service);
        pool->replicas.setReplicas(own);
        pool->paths.setReplicas(own);
    }
    return *pool;
}

std::vector<BrittleService> ServicePools::brittleServices() const
{
    std::vector<BrittleService> out;
    for (const auto &[service, pool] : m_pools) {
        const std::optional<BrittleService> own = pool->rejections->ownAnnouncement();
        if (own && out.size() < MaxBrittleServices)
            out.push_back(*own);
    }
    return out;
}

void ServicePools::noteBrittle(const std::string &router, std::span<const BrittleService> services)
{
    // A service that this router doesn't know gets no requests from it.
    for (const BrittleService &it : services) {
        if (const auto pool = m_pools.find(it.service); pool != m_pools.end())
            pool->second->rejections->announced(router, it);
    }
}

ReplicaStatusUpdate ServicePools::ownStatusUpdate() const
{
    ReplicaStatusUpdate out;
    for (const auto &[service, pool] : m_pools) {
        ReplicaStatusUpdate update = pool->replicas.ownStatusUpdate();
        out.counts.merge(update.counts);
        out.ejected.insert(out.ejected.end(), update.ejected.begin(), update.ejected.end());
    }
    return out;
}

} // namespace catkinloft
