#include "SoakRun.h"

#include "OverloadCheck.h"
#include "SlowCallers.h"
#include "fleet/Fleet.h"

#include <csignal>
#include <filesystem>

#include <fmt/format.h>

namespace catkinloft::soak {

namespace {

using namespace std::chrono_literals;

/// Time after the last fault in which the system must return to normal service.
constexpr Duration SettleTime = 6s;

/// How long a replica that a request has crashed stays down, and how often this is checked.
constexpr Duration ReplicaRestartDelay = 2s;
constexpr Duration RestartCheckInterval = 250ms;

/// Requests that a replica refuses while its refusals are copied.
constexpr const char *RefusingReplica = R"({"refuse":0.2})";
constexpr const char *CopyRefusals = R"({"copy_refusals":{"share":1}})";
constexpr const char *CopyNoRefusals = R"({"copy_refusals":{"share":0}})";

/// Time between two requests that crash replicas.
constexpr Duration FatalInterval = 300ms;

/// Guarantees with a time bound apply only if no fault of routers or store was active for this long
/// before.
constexpr Duration ControlSettleTime = 3s;

constexpr int Probes = 12; ///< Requests to each router at the end; three quarters must be served.

/// Separates the random numbers of domain faults from those of the other faults.
constexpr std::uint64_t DomainSeed = 0x5EED;

/// Separates the random numbers of restores of the store from those of the other faults.
constexpr std::uint64_t RestoreSeed = 0xC0B1;

/// Separates the random numbers of partitions from those of the other faults.
constexpr std::uint64_t PartitionSeed = 0x9A27;

/// Separates the random numbers of version changes and of callers that leave their streams from
/// those of the faults.
constexpr std::uint64_t VersionSeed = 0x7E51;

/// Separates the random numbers of overloads and of the callers of further workspaces from those of
/// the faults.
constexpr std::uint64_t OverloadSeed = 0x0F11;

/// Separates the random numbers of pauses of most replicas and of the callers of long streams from
/// those of the faults.
constexpr std::uint64_t PauseSeed = 0x5111;

/// Separates the random numbers of copies of refusals from those of the other faults.
constexpr std::uint64_t CopySeed = 0xC0F1;

/// Separates the random numbers of retry storms from those of the other faults.
constexpr std::uint64_t StormSeed = 0x5702;

/// Separates the random numbers of planned work and of slow callers from those of the faults.
constexpr std::uint64_t PlannedSeed = 0x5107;

/// A crowd sends twice the memory for requests of a router, in the bodies of requests that are half
/// as long as they announce. \sa RequestBuffers
constexpr int CrowdConnections = 24;
constexpr std::size_t CrowdPieces = 128;
constexpr std::size_t CrowdPieceBytes = 64UL * 1024;
constexpr Duration CrowdInterval = 20ms;

/// Idle timeouts of callers' connections between which IdleTimeoutChange changes. The router keeps
/// connections for twice as long, and for two minutes at least.
constexpr auto ShortIdleTimeout = 15s;
constexpr auto LongIdleTimeout = 90s;

/// Retry budget in runs with pauses of most replicas: less than the long streams in progress.
constexpr double PauseRunRetryShare = 0.05;
constexpr int PauseRunRetrySlack = 10;

/// Time after a fault of a replica in which it may still cut off answers.
constexpr std::chrono::milliseconds DisturbanceMargin = 5s;

/// Time between two requests of the first workspace in runs with overloads. With those of the other
/// workspaces about a quarter of the capacity is used, as little as in docs/design/overload.md: at
/// half of it the engines already count as busy, and there would be no usual load to return to.
constexpr Duration OverloadRunInterval = 12ms;

/// Time in which a replica that resumes after a pause receives what was sent to it meanwhile.
constexpr Duration BacklogTime = 1s;

/// Interval between two copies of the store, and how long after a restore the operator and the
/// replicas write again what was lost.
constexpr Duration CopyInterval = 3s;
constexpr Duration RewriteDelay = 1s;

/// Time until all routers have read the entry of a replica that has become cold.
constexpr std::chrono::milliseconds ColdPropagationTime = 2s;

/// \returns an unused folder in \a parent for the logs of \a seed, so that logs of earlier runs
/// with the same seed are kept.
std::filesystem::path unusedFolder(const std::filesystem::path &parent, std::uint64_t seed)
{
    std::filesystem::path out = parent / fmt::format("seed-{}", seed);
    for (int n = 2; std::filesystem::exists(out); ++n)
        out = parent / fmt::format("seed-{}-{}", seed, n);
    return out;
}

/// \returns the name of a partition for FaultProxy.
std::string partitionName(FaultKind kind)
{
    if (kind == FaultKind::RouterPartitioned)
        return "drop";
    return kind == FaultKind::RouterReset ? "reset" : "refuse_new";
}

/// \returns the id of a replica that was there before replica \a i. \sa EntryFleet::domainOfId()
std::string formerReplicaId(std::size_t i)
{
    return fmt::format("i-{}-0", i);
}

bool disturbsControl(FaultKind kind)
{
    return kind <= FaultKind::StorePathSilent || kind == FaultKind::StoreRestored;
}

/// \returns whether \a kind may cut off answers of its target.
bool disturbsReplica(FaultKind kind)
{
    switch (kind) {
    case FaultKind::ReplicaKill:
    case FaultKind::ReplicaPause:
    case FaultKind::ReplicaFails:
    case FaultKind::ReplicaPathSilent:
    case FaultKind::ReplicaPathDelay:
    case FaultKind::ReplicaDrain:
    case FaultKind::ReplicaSaysLeaving:
    case FaultKind::ReplicaAsksForPause:
    case FaultKind::ReplicaTurnsCold:
    case FaultKind::ReplicaChangesVersion:
        return true;
    default:
        return false;
    }
}

bool isSame(const Fault &a, const Fault &b)
{
    return a.kind == b.kind && a.at == b.at && a.target == b.target;
}

bool isPartition(FaultKind kind)
{
    return kind == FaultKind::RouterPartitioned || kind == FaultKind::RouterReset
            || kind == FaultKind::RouterRefused;
}

} // namespace

SoakRun::SoakRun(Options options)
    : m_options(std::move(options)), m_fleet(fleetOptions()), m_random(seededRandom(m_options.seed))
{
    const standin::EntryFleet::Options fleet = fleetOptions();
    m_history.retryBudget = {.share = fleet.retryShare,
                             .slack = static_cast<double>(fleet.retrySlack)};
}

standin::EntryFleet::Options SoakRun::fleetOptions() const
{
    standin::EntryFleet::Options out{.binaries = m_options.binaries,
                                     .routers = m_options.routers,
                                     .replicas = m_options.replicas,
                                     .domains = m_options.withDomainFaults ? 3U : 1U};
    if (m_options.withVersions)
        out.versions = {"v1", "v2"};
    if (m_options.withReplicasPauses) {
        out.retryShare = PauseRunRetryShare;
        out.retrySlack = PauseRunRetrySlack;
    }
    if (m_options.retryStorms) {
        out.retryShare = m_options.retryStorms->share;
        out.retrySlack = m_options.retryStorms->slack;
    }
    if (m_options.withOverloads)
        out.capacity = standin::EntryFleet::Capacity();
    if (m_options.withSlowCallers)
        out.routeTimeout = SlowCallers::Timeout;
    return out;
}

void SoakRun::drawPlan()
{
    m_plan = drawFaults(m_random, m_options.length, m_options.routers, 2 * m_options.replicas);
    if (m_options.withReplicaFaults) {
        const RandomSource faultRandom = seededRandom(~m_options.seed);
        for (const Fault &it : drawReplicaFaults(faultRandom, m_options.length, m_options.replicas))
            m_plan.push_back(it);
    }
    if (m_options.withDomainFaults) {
        const RandomSource faultRandom = seededRandom(m_options.seed ^ DomainSeed);
        for (const Fault &it :
             drawDomainFaults(faultRandom, m_options.length, 2 * m_options.replicas))
            m_plan.push_back(it);
    }
    if (m_options.withStoreRestores) {
        const RandomSource faultRandom = seededRandom(m_options.seed ^ RestoreSeed);
        for (const Fault &it : drawStoreRestores(faultRandom, m_options.length))
            m_plan.push_back(it);
        m_copyTimer = std::make_unique<Timer>(m_loop, [this] { m_fleet.copyStore(); });
    }
    if (m_options.withPartitions) {
        const RandomSource faultRandom = seededRandom(m_options.seed ^ PartitionSeed);
        for (const Fault &it : drawPartitions(faultRandom, m_options.length, m_options.routers))
            m_plan.push_back(it);
    }
    if (m_options.withVersions) {
        const RandomSource faultRandom = seededRandom(m_options.seed ^ VersionSeed);
        for (const Fault &it :
             drawVersionChanges(faultRandom, m_options.length, 2 * m_options.replicas))
            m_plan.push_back(it);
    }
    if (m_options.withReplicasPauses) {
        const RandomSource faultRandom = seededRandom(m_options.seed ^ PauseSeed);
        for (const Fault &it : drawReplicasPauses(faultRandom, m_options.length, m_options.routers,
                                                  2 * m_options.replicas))
            m_plan.push_back(it);
    }
    if (m_options.withRefusalCopies) {
        const RandomSource faultRandom = seededRandom(m_options.seed ^ CopySeed);
        for (const Fault &it :
             drawRefusalCopies(faultRandom, m_options.length, 2 * m_options.replicas))
            m_plan.push_back(it);
    }
    if (m_options.withSlowCallers) {
        const RandomSource faultRandom = seededRandom(m_options.seed ^ PlannedSeed);
        for (const Fault &it : drawPlannedWork(faultRandom, m_options.length, m_options.routers))
            m_plan.push_back(it);
        m_crowdTimer = std::make_unique<Timer>(m_loop, [this] {
            for (const auto &[router, it] : m_crowds)
                it->poll();
        });
        m_crowdTimer->startRepeating(CrowdInterval);
    }
    if (m_options.retryStorms) {
        const RandomSource faultRandom = seededRandom(m_options.seed ^ StormSeed);
        std::erase_if(m_plan, [](const Fault &it) { return !mayAccompanyRetryStorms(it.kind); });
        for (const Fault &it :
             drawRetryStorms(faultRandom, m_options.length, *m_options.retryStorms))
            m_plan.push_back(it);
    }
    if (m_options.withOverloads) {
        const RandomSource faultRandom = seededRandom(m_options.seed ^ OverloadSeed);
        Duration last = m_options.length;
        for (const Fault &it : m_plan)
            last = std::max(last, it.at + it.length);
        for (const Fault &it :
             drawOverloads(faultRandom, m_options.length, last + OverloadQuietTime,
                           standin::EntryFleet::Workspaces))
            m_plan.push_back(it);
    }
}

SoakRun::Outcome SoakRun::run()
{
    Outcome out;
    drawPlan();
    out.faults = m_plan;
    m_history.domainOf = [this](const std::string &id) { return m_fleet.domainOfId(id); };
    m_fleet.start();
    SoakLoad::Options load{.loop = m_loop, .fleet = m_fleet, .random = m_random};
    if (m_options.withVersions)
        load.leaverSeed = m_options.seed ^ VersionSeed;
    if (m_options.withOverloads) {
        load.workspaceSeed = m_options.seed ^ ~OverloadSeed;
        load.interval = OverloadRunInterval;
    }
    if (m_options.retryStorms) {
        load.interval = m_options.retryStorms->interval;
        load.onlyRetryable = true;
    }
    if (m_options.withReplicasPauses)
        load.longStreamSeed = m_options.seed ^ ~PauseSeed;
    if (m_options.withSlowCallers)
        load.slowCallerSeed = m_options.seed ^ ~PlannedSeed;
    m_load.emplace(std::move(load));
    m_history.startedAt = m_loop.wallNow();
    m_load->start();
    if (m_copyTimer) {
        m_fleet.copyStore();
        m_copyTimer->startRepeating(CopyInterval);
    }
    m_restartTimer = std::make_unique<Timer>(m_loop, [this] {
        restartExitedReplicas();
        restartExitedRouters();
    });
    m_restartTimer->startRepeating(RestartCheckInterval);
    Duration last = m_options.length;
    for (const Fault &it : m_plan) {
        m_loop.after(it.at, [this, it] { begin(it); });
        m_loop.after(it.at + it.length, [this, it] { end(it); });
        last = std::max(last, it.at + it.length);
    }
    m_loop.after(last + SettleTime, [this] { finish(); });
    m_loop.run();
    m_history.canaries = m_load->canaries();
    const std::vector<Json::Value> arrivals = m_fleet.arrivals();
    m_history.misdirectedArrivals = m_fleet.misdirectedArrivals();
    std::vector<std::string> unserved = probe();
    restartExitedRouters();
    for (std::size_t i = 0; i < m_options.routers; ++i)
        m_history.routerLogs.emplace_back(m_fleet.routerLog(i));
    out.routerExits = m_history.routerExits.size();
    out.broken = brokenPromises(m_load->attempts(), arrivals, m_history);
    std::move(unserved.begin(), unserved.end(), std::back_inserter(out.broken));
    out.retryBudgetUse = describeRetryBudgetUse(m_load->attempts(), arrivals, m_history);
    out.requests = m_load->attempts().size();
    for (const auto &[id, it] : m_load->attempts()) {
        out.answered += it.status == 200 ? 1 : 0;
        out.onKeptConnections += it.isOnKeptConnection ? 1 : 0;
    }
    if (!out.broken.empty())
        keepLogs();
    return out;
}

void SoakRun::finish()
{
    m_load->stop();
    // Requests in progress end by their own timeout.
    m_loop.after(4s, [this] { m_loop.stop(); });
}

bool SoakRun::isControlStable() const
{
    return m_loop.now() > m_disturbedUntil + ControlSettleTime;
}

void SoakRun::begin(const Fault &fault)
{
    if (disturbsControl(fault.kind)) {
        const Duration rewrite =
                fault.kind == FaultKind::StoreRestored ? RewriteDelay : Duration::zero();
        m_disturbedUntil = std::max(m_disturbedUntil, m_loop.now() + fault.length + rewrite);
        for (OperatorAct &it : m_history.acts) // Their time bounds may not have expired yet.
            it.controlStable =
                    it.controlStable && m_loop.wallNow() > it.acknowledgedAt + ControlSettleTime;
        for (Evacuation &it : m_history.evacuations)
            it.controlStable =
                    it.controlStable && m_loop.wallNow() > it.acknowledgedAt + ControlSettleTime;
        postponeUnreadColdPeriods();
    }
    noteReplicaDisturbance(fault);
    switch (fault.kind) {
    case FaultKind::RouterPartitioned:
    case FaultKind::RouterReset:
    case FaultKind::RouterRefused:
        m_partitioned.insert(fault.target);
        m_fleet.partition(m_partitioned, partitionName(fault.kind), 0, m_fleet.replicaCount());
        break;
    case FaultKind::RouterKill:
        beginDisturbance(fault.target);
        m_fleet.router(fault.target).signal(SIGKILL);
        break;
    case FaultKind::RouterTerm:
        beginDisturbance(fault.target);
        m_history.disturbances.back().isPlannedStop = m_options.withSlowCallers;
        m_fleet.router(fault.target).signal(SIGTERM);
        break;
    case FaultKind::RouterPause:
        beginDisturbance(fault.target, true);
        m_fleet.router(fault.target).signal(SIGSTOP);
        break;
    case FaultKind::FatalRequest:
        m_load->sendFatal(FatalInterval);
        break;
    case FaultKind::ReplicaSaysLeaving:
        setReplicaFaults(fault.target, R"({"leaving":1})");
        break;
    case FaultKind::ReplicaAsksForPause:
        setReplicaFaults(fault.target, R"({"pause_ms":1500})");
        break;
    case FaultKind::StoreDown:
        m_fleet.setStoreMode("down");
        break;
    case FaultKind::StoreRestored:
        m_fleet.setStoreMode("down");
        m_fleet.restoreStore();
        break;
    case FaultKind::StoreSlow:
        m_fleet.setStoreMode("slow", 300);
        break;
    case FaultKind::StoreLosesAnswers:
        m_fleet.setStoreMode("lose_answers");
        break;
    case FaultKind::StoreForgets:
        m_fleet.forgetHistory();
        break;
    case FaultKind::StorePathCut:
        m_fleet.setStoreProxyFaults(fault.target, R"({"refuse":true,"cut":true})");
        break;
    case FaultKind::StorePathSilent:
        m_fleet.setStoreProxyFaults(fault.target, R"({"silent":true})");
        break;
    case FaultKind::ReplicaKill:
        ++m_replicaOutages[fault.target];
        m_fleet.replica(fault.target).signal(SIGKILL);
        break;
    case FaultKind::ReplicaPause:
        ++m_replicaOutages[fault.target];
        interruptColdPeriods(fault.target, fault.length + BacklogTime);
        m_fleet.replica(fault.target).signal(SIGSTOP);
        break;
    case FaultKind::ReplicaFails:
        setReplicaFaults(fault.target,
                         R"({"fail":0.15,"refuse":0.15,"lose":0.15,"hang":0.05,"cut":0.15})");
        break;
    case FaultKind::ReplicaPathSilent:
        m_fleet.setReplicaProxyFaults(fault.target, R"({"silent":true})");
        break;
    case FaultKind::ReplicaPathDelay:
        m_fleet.setReplicaProxyFaults(fault.target, R"({"delay_ms":120})");
        break;
    case FaultKind::ReplicaDrain:
        m_fleet.registerReplica(fault.target, "draining");
        m_history.acts.push_back({.acknowledgedAt = m_loop.wallNow(),
                                  .replica = m_fleet.replicaId(fault.target),
                                  .controlStable = isControlStable()});
        break;
    case FaultKind::KeyTaken:
        revokeKey();
        break;
    case FaultKind::ConfigChange:
        m_extraRoute = !m_extraRoute;
        m_fleet.writeConfig({m_key}, m_extraRoute);
        break;
    case FaultKind::DomainEvacuated:
        evacuate(fault.target);
        break;
    case FaultKind::ReplicaChangesVersion:
        m_fleet.setVersion(fault.target, m_fleet.versionOf(fault.target) == "v1" ? "v2" : "v1");
        if (m_replicaOutages[fault.target] == 0)
            m_fleet.restartReplica(fault.target);
        break;
    case FaultKind::ReplicaTurnsCold:
        makeCold(fault);
        break;
    case FaultKind::Overload:
        beginOverload(fault);
        break;
    case FaultKind::ReplicasPause:
        pauseReplicas(fault);
        break;
    case FaultKind::ReplicaCopiesRefusals:
        setReplicaFaults(fault.target, RefusingReplica);
        m_fleet.setReplicaProxyFaults(fault.target, CopyRefusals);
        break;
    case FaultKind::RouterHup:
        changeSettings(fault.target);
        break;
    case FaultKind::IdleTimeoutChange:
        m_longIdleTimeout = !m_longIdleTimeout;
        m_fleet.setIdleTimeout(m_longIdleTimeout ? LongIdleTimeout : ShortIdleTimeout);
        m_fleet.writeConfig({m_key}, m_extraRoute);
        break;
    case FaultKind::HalfBodyCrowd:
        beginCrowd(fault.target);
        break;
    case FaultKind::ServiceFails:
        setServiceFaults(fault, std::string(fault.faults));
        break;
    case FaultKind::PathsStall:
        m_pathStalls.push_back(fault);
        applyPathStalls(fault);
        break;
    case FaultKind::FormerReplicaRegistered:
        m_fleet.registerFormerReplica(fault.target, formerReplicaId(fault.target));
        break;
    }
}

void SoakRun::noteReplicaDisturbance(const Fault &fault)
{
    const WallTime now = m_loop.wallNow();
    const auto length = std::chrono::ceil<std::chrono::milliseconds>(fault.length);
    ReplicaDisturbance it{.from = now, .until = now + length + DisturbanceMargin};
    if (isPartition(fault.kind)) {
        it.router = fault.target;
        m_history.replicaDisturbances.push_back(it);
    } else if (fault.kind == FaultKind::FatalRequest) {
        // They are sent on a route of the first service.
        for (std::size_t i = 0; i < m_options.replicas; ++i) {
            it.replica = m_fleet.replicaId(i);
            m_history.replicaDisturbances.push_back(it);
        }
    } else if (fault.kind == FaultKind::ServiceFails || fault.kind == FaultKind::PathsStall
               || (m_options.retryStorms && fault.kind == FaultKind::ReplicasPause)) {
        m_history.replicaDisturbances.push_back(it);
    } else if (disturbsReplica(fault.kind)) {
        it.replica = m_fleet.replicaId(fault.target);
        m_history.replicaDisturbances.push_back(it);
    }
}

/// Ends the replica that runs now, which may have replaced the one that noteReplicaDisturbance()
/// has recorded when the fault began.
void SoakRun::restartReplica(std::size_t i)
{
    const WallTime now = m_loop.wallNow();
    m_history.replicaDisturbances.push_back(
            {.replica = m_fleet.replicaId(i), .from = now, .until = now + DisturbanceMargin});
    replaceReplica(i);
}

/// Starts a replica in place of \a i. The faults that wait for \a i disturb the new one.
void SoakRun::replaceReplica(std::size_t i)
{
    const std::string before = m_fleet.replicaId(i);
    m_fleet.restartReplica(i);
    if (!m_pendingFaults.contains(i))
        return;
    const WallTime now = m_loop.wallNow();
    std::vector<ReplicaDisturbance> inherited;
    for (const ReplicaDisturbance &it : m_history.replicaDisturbances) {
        if (it.replica == before && it.until > now + DisturbanceMargin)
            inherited.push_back({.replica = m_fleet.replicaId(i), .from = now, .until = it.until});
    }
    m_history.replicaDisturbances.insert(m_history.replicaDisturbances.end(), inherited.begin(),
                                         inherited.end());
}

void SoakRun::pauseReplicas(const Fault &fault)
{
    for (std::size_t k = 0; k < fault.count; ++k) {
        const std::size_t i = (fault.target + k) % m_fleet.replicaCount();
        ++m_replicaOutages[i];
        interruptColdPeriods(i, fault.length + BacklogTime);
        m_fleet.replica(i).signal(SIGSTOP);
    }
}

void SoakRun::resumeReplicas(const Fault &fault)
{
    for (std::size_t k = 0; k < fault.count; ++k) {
        const std::size_t i = (fault.target + k) % m_fleet.replicaCount();
        m_fleet.replica(i).signal(SIGCONT);
        endReplicaOutage(i);
    }
}

void SoakRun::evacuate(std::size_t i)
{
    m_fleet.evacuate(m_fleet.domainOf(i));
    m_history.evacuations.push_back({.domain = m_fleet.domainOf(i),
                                     .acknowledgedAt = m_loop.wallNow(),
                                     .controlStable = isControlStable()});
}

void SoakRun::endEvacuation(std::size_t i)
{
    for (Evacuation &it : m_history.evacuations) {
        if (it.domain == m_fleet.domainOf(i))
            it.endedAt = std::min(it.endedAt, m_loop.wallNow());
    }
    m_fleet.endEvacuation(m_fleet.domainOf(i));
}

WallTime SoakRun::whenEntriesAreRead() const
{
    const Duration disturbedFor = std::max(m_disturbedUntil - m_loop.now(), Duration::zero());
    return m_loop.wallNow() + std::chrono::ceil<std::chrono::milliseconds>(disturbedFor)
            + ColdPropagationTime;
}

/// An entry that the routers have not read yet cannot be read, or is lost, during a fault of the
/// store.
void SoakRun::postponeUnreadColdPeriods()
{
    for (ColdPeriod &it : m_history.coldPeriods) {
        if (m_loop.wallNow() < it.from)
            it.from = std::max(it.from, whenEntriesAreRead());
    }
}

/// What was sent to a replica during a pause arrives all at once when it resumes.
void SoakRun::interruptColdPeriods(std::size_t replica, Duration length)
{
    const WallTime now = m_loop.wallNow();
    const WallTime resumed = now + std::chrono::ceil<std::chrono::milliseconds>(length);
    m_replicaBacklogUntil[replica] = std::max(m_replicaBacklogUntil[replica], resumed);
    std::vector<ColdPeriod> before;
    for (ColdPeriod &it : m_history.coldPeriods) {
        if (it.replica != m_fleet.replicaId(replica) || it.until <= now)
            continue;
        if (it.from < now) {
            before.push_back(it);
            before.back().until = now;
        }
        it.from = std::max(it.from, resumed);
    }
    m_history.coldPeriods.insert(m_history.coldPeriods.end(), before.begin(), before.end());
}

void SoakRun::makeCold(const Fault &fault)
{
    m_fleet.registerReplica(fault.target, "ready", fault.length);
    const WallTime now = m_loop.wallNow();
    const auto length = std::chrono::duration_cast<std::chrono::milliseconds>(fault.length);
    m_history.coldPeriods.push_back(
            {.replica = m_fleet.replicaId(fault.target),
             .from = std::max(whenEntriesAreRead(), m_replicaBacklogUntil[fault.target]),
             .until = now + length,
             .maxPerSecond = standin::EntryFleet::ColdPerSecond});
}

void SoakRun::beginOverload(const Fault &fault)
{
    const standin::EntryFleet::Capacity capacity;
    const double slots = static_cast<double>(m_fleet.replicaCount()) * capacity.slots;
    m_load->setOverload(fault.load * slots / toSeconds(capacity.serviceTime), fault.target);
    const Duration after = OverloadRecovery + OverloadComparison;
    m_history.overloads.push_back({.from = m_loop.wallNow(),
                                   .isAlone = isAlone(fault, m_plan, OverloadQuietTime, after)});
}

void SoakRun::endOverload()
{
    m_load->endOverload();
    m_history.overloads.back().until = m_loop.wallNow();
}

void SoakRun::revokeKey()
{
    const std::string old = std::exchange(m_key, fmt::format("key-{}", ++m_keys));
    m_fleet.writeConfig({m_key}, m_extraRoute);
    m_history.acts.push_back({.acknowledgedAt = m_loop.wallNow(), .key = old});
    // Callers continue with the old key for longer than requests with it may still run.
    m_loop.after(7s, [this, key = m_key] { m_load->setKey(key); });
}

void SoakRun::changeSettings(std::size_t router)
{
    m_fleet.changeSettings(router,
                           fmt::format("address_lifetime: {}s\n", 2 + ++m_settingsChanges % 2));
    m_fleet.router(router).signal(SIGHUP);
}

void SoakRun::beginCrowd(std::size_t router)
{
    const std::string head =
            fmt::format("POST /once/a HTTP/1.1\r\nHost: {}\r\nAuthorization: Bearer {}\r\n"
                        "X-Request-Id: crowd-{{n}}\r\nContent-Length: {}\r\n\r\n",
                        standin::EntryFleet::Host, m_key, 2 * CrowdPieces * CrowdPieceBytes);
    m_crowds[router] = std::make_unique<standin::Crowd>(
            standin::Crowd::Options{.address = m_fleet.callerAddress(router),
                                    .connections = CrowdConnections,
                                    .script = {.begin = head,
                                               .repeated = std::string(CrowdPieceBytes, 'x'),
                                               .repeats = CrowdPieces}});
}

void SoakRun::setReplicaFaults(std::size_t i, const std::string &faults)
{
    // A replica that is paused or not running cannot apply faults, and waiting for it here would
    // block the thread that ends its outage.
    if (m_replicaOutages[i] > 0 || !m_fleet.setReplicaFaults(i, faults))
        m_pendingFaults[i] = faults;
}

void SoakRun::setServiceFaults(const Fault &fault, const std::string &faults)
{
    for (std::size_t i = fault.target; i < fault.target + fault.count; ++i)
        setReplicaFaults(i, faults);
}

/// Stalls of the same path overlap, so it stalls until the last of them ends.
void SoakRun::applyPathStalls(const Fault &fault)
{
    for (std::size_t i = fault.target; i < fault.target + fault.count; ++i) {
        std::set<std::size_t> routers;
        for (const Fault &it : m_pathStalls) {
            for (std::size_t k = 0; k < it.routers && i >= it.target && i < it.target + it.count;
                 ++k)
                routers.insert((it.firstRouter + k) % m_options.routers);
        }
        m_fleet.stallPaths(routers, i);
    }
}

void SoakRun::endReplicaOutage(std::size_t i)
{
    if (--m_replicaOutages[i] > 0)
        return;
    if (const auto it = m_pendingFaults.extract(i))
        m_fleet.setReplicaFaults(i, it.mapped());
}

void SoakRun::restartRouter(std::size_t i)
{
    if (m_fleet.router(i).isRunning()) {
        m_loop.after(200ms, [this, i] { restartRouter(i); });
        return;
    }
    noteRouterExit(i);
    m_fleet.startRouter(i);
    endDisturbance(i);
}

void SoakRun::beginDisturbance(std::size_t router, bool isPause)
{
    m_history.disturbances.push_back(
            {.router = router, .from = m_loop.wallNow(), .isPause = isPause});
}

void SoakRun::endDisturbance(std::size_t router, bool onlyPauses)
{
    for (RouterDisturbance &it : m_history.disturbances) {
        // The end of a pause doesn't end a planned stop.
        if (it.router == router && it.until == WallTime::max() && !(onlyPauses && it.isPlannedStop))
            it.until = m_loop.wallNow();
    }
}

void SoakRun::restartExitedReplicas()
{
    for (std::size_t i = 0; i < m_fleet.replicaCount(); ++i) {
        if (m_replicaOutages[i] > 0 || !m_fleet.hasExited(i, ReplicaRestartDelay))
            continue;
        replaceReplica(i);
        if (const auto it = m_pendingFaults.extract(i))
            m_fleet.setReplicaFaults(i, it.mapped());
    }
}

/// \returns whether router \a i has ended and the run didn't cause it.
bool SoakRun::noteRouterExit(std::size_t i)
{
    const std::optional<int> status = m_fleet.router(i).unrequestedEnd();
    if (status)
        m_history.routerExits.push_back({.router = i, .at = m_loop.wallNow(), .status = *status});
    return status.has_value();
}

/// Also before a restart that is due after SIGTERM or SIGKILL: the signal didn't end the process.
void SoakRun::restartExitedRouters()
{
    for (std::size_t i = 0; i < m_options.routers; ++i) {
        if (!noteRouterExit(i))
            continue;
        m_fleet.startRouter(i);
        endDisturbance(i);
    }
}

void SoakRun::end(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::RouterPartitioned:
    case FaultKind::RouterReset:
    case FaultKind::RouterRefused:
        m_partitioned.erase(fault.target);
        m_fleet.partition(m_partitioned, partitionName(fault.kind), 0, m_fleet.replicaCount());
        break;
    case FaultKind::RouterKill:
    case FaultKind::RouterTerm:
        m_fleet.router(fault.target).signal(SIGCONT);
        restartRouter(fault.target);
        break;
    case FaultKind::RouterPause:
        m_fleet.router(fault.target).signal(SIGCONT);
        endDisturbance(fault.target, true);
        break;
    case FaultKind::FatalRequest:
        m_load->sendFatal(Duration::zero());
        break;
    case FaultKind::ReplicaAsksForPause:
        setReplicaFaults(fault.target, "{}");
        break;
    case FaultKind::StoreRestored:
        m_fleet.setStoreMode("up");
        m_loop.after(RewriteDelay, [this] { m_fleet.rewriteRows(); });
        break;
    case FaultKind::StoreDown:
    case FaultKind::StoreSlow:
    case FaultKind::StoreLosesAnswers:
        m_fleet.setStoreMode("up");
        break;
    case FaultKind::StorePathCut:
        m_fleet.setStoreProxyFaults(fault.target, R"({"clear":true})");
        break;
    case FaultKind::ReplicaKill:
        restartReplica(fault.target);
        endReplicaOutage(fault.target);
        break;
    case FaultKind::ReplicaDrain:
    case FaultKind::ReplicaSaysLeaving:
        restartReplica(fault.target);
        break;
    case FaultKind::ReplicaPause:
        m_fleet.replica(fault.target).signal(SIGCONT);
        endReplicaOutage(fault.target);
        break;
    case FaultKind::ReplicaFails:
        setReplicaFaults(fault.target, "{}");
        break;
    case FaultKind::ReplicaPathDelay:
        m_fleet.setReplicaProxyFaults(fault.target, R"({"clear":true})");
        break;
    case FaultKind::DomainEvacuated:
        endEvacuation(fault.target);
        break;
    case FaultKind::ReplicaTurnsCold:
        m_fleet.registerReplica(fault.target, "ready");
        break;
    case FaultKind::Overload:
        endOverload();
        break;
    case FaultKind::ReplicasPause:
        resumeReplicas(fault);
        break;
    case FaultKind::ReplicaCopiesRefusals:
        setReplicaFaults(fault.target, "{}");
        m_fleet.setReplicaProxyFaults(fault.target, CopyNoRefusals);
        break;
    case FaultKind::FormerReplicaRegistered:
        m_fleet.removeFormerReplica(formerReplicaId(fault.target));
        break;
    case FaultKind::HalfBodyCrowd:
        m_crowds.erase(fault.target);
        break;
    case FaultKind::ServiceFails:
        setServiceFaults(fault, "{}");
        break;
    case FaultKind::PathsStall:
        m_pathStalls.remove_if([&](const Fault &it) { return isSame(it, fault); });
        applyPathStalls(fault);
        break;
    case FaultKind::ReplicaChangesVersion:
    case FaultKind::RouterHup:
    case FaultKind::IdleTimeoutChange:
    case FaultKind::StoreForgets:
    case FaultKind::StorePathSilent:
    case FaultKind::ReplicaPathSilent:
    case FaultKind::KeyTaken:
    case FaultKind::ConfigChange:
        break;
    }
}

std::vector<std::string> SoakRun::probe()
{
    std::vector<std::string> out;
    for (std::size_t i = 0; i < m_options.routers; ++i) {
        int served = 0;
        for (int k = 0; k < Probes; ++k) {
            const Result<HttpAnswer> answer = standin::Fleet::fetch(
                    {.address = m_fleet.callerAddress(i),
                     .target = "/safe/a",
                     .headers = {{"Host", standin::EntryFleet::Host},
                                 {"X-Request-Id", fmt::format("probe-{}-{}", i, k)},
                                 {"Authorization", "Bearer " + m_key}},
                     .timeout = 3s});
            served += answer && answer.value().head.status == 200 ? 1 : 0;
        }
        if (served < Probes * 3 / 4)
            out.push_back(fmt::format("router {} serves {} of {} after all faults have ended", i,
                                      served, Probes));
    }
    return out;
}

void SoakRun::keepLogs() const
{
    if (m_options.keepFolder.empty())
        return;
    const std::filesystem::path to = unusedFolder(m_options.keepFolder, m_options.seed);
    std::error_code ec;
    std::filesystem::create_directories(to, ec);
    std::filesystem::copy(m_fleet.folder(), to, std::filesystem::copy_options::recursive, ec);
    if (ec)
        fmt::print(stderr, "logs of seed {} were not kept: {}\n", m_options.seed, ec.message());
    else
        fmt::print("  logs are in {}\n", to.string());
}

} // namespace catkinloft::soak
