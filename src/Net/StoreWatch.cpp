#include "Net/StoreWatch.h"

#include "Base/Log.h"
#include "Net/EventLoop.h"

#include <algorithm>
#include <utility>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// How long one call waits for a change of the configuration, as a fraction of the time in which
/// changes have to be active. When a call returns, the freshness proof is as old as the call;
/// before the next call returns, it is twice as old.
constexpr double WatchTimeoutFraction = 0.2;

/// Age of the freshness proof, as a fraction of the same time, at which any router reads the store
/// itself: by then several answers of readers are missing. The rest of the time is left for the
/// read. The time is thus kept regardless of the readers.
constexpr double ConfigOverdueFraction = 0.8;

/// Interval between two reads of the replicas, as a fraction of the time in which a draining
/// replica must be known. The asks of the other routers take another 0.3 of it.
constexpr double ReplicasReadFraction = 0.25;

/// Age of the replica list, as a fraction of the time in which a draining replica must be known, at
/// which any router reads the store itself. The rest of the time is left for the read.
constexpr double ReplicasOverdueFraction = 0.85;
constexpr Duration CheckInterval = 200ms;

/// Interval between two refreshes of the replicas, for each router of the fleet: as long as that
/// between the calls of StoreReadPlan.
constexpr Duration RefreshIntervalPerRouter = 15ms;

} // namespace

StoreWatch::StoreWatch(Options options)
    : m_options(std::move(options)),
      m_configPlan({.clock = m_options.loop, .random = m_options.random}),
      m_replicasPlan({.clock = m_options.loop, .random = m_options.random}),
      m_replicasTimer(m_options.loop, [this] { readReplicas(); }),
      m_refreshTimer(m_options.loop, [this] { continueRefresh(); }),
      m_checkTimer(m_options.loop, [this] { check(); })
{ }

void StoreWatch::start()
{
    check();
    m_checkTimer.startRepeating(CheckInterval);
}

StoreReadPlan::State StoreWatch::configState() const
{
    return {.reader = m_options.isReader(),
            .overdue = m_options.config.proofAge()
                    > scaled(m_options.settings.configApplyTimeout, ConfigOverdueFraction),
            .routers = m_options.routers()};
}

StoreReadPlan::State StoreWatch::replicasState() const
{
    return {.reader = m_options.isReader(),
            .overdue = m_options.replicas.age()
                    > scaled(m_options.settings.replicaDrainTimeout, ReplicasOverdueFraction),
            .routers = m_options.routers()};
}

void StoreWatch::check()
{
    m_options.evacuated.expire();
    const StoreReadPlan::State config = configState();
    const StoreReadPlan::State replicas = replicasState();
    if (m_configPlan.isDue(config))
        watchConfig();
    else if (!config.reader && !config.overdue && !m_configPlan.isCalling())
        m_configPlan.rest();
    if (m_replicasPlan.isDue(replicas) && !m_replicasTimer.isPending())
        readReplicas();
    if (config.overdue || replicas.overdue)
        m_options.askPeer();
}

void StoreWatch::watchConfig()
{
    const TimePoint began = m_options.loop.now();
    m_configPlan.began();
    const auto done = [this, began](const Result<ConfigRead> &read) { configRead(read, began); };
    if (!m_watchedFrom)
        m_options.store.readConfig(done);
    else
        m_options.store.watchConfig(
                *m_watchedFrom,
                m_options.isReader()
                        ? scaled(m_options.settings.configApplyTimeout, WatchTimeoutFraction)
                        : Duration::zero(),
                done);
}

void StoreWatch::configRead(const Result<ConfigRead> &read, TimePoint began)
{
    // Only a watch depends on the history of the store.
    static const Error unexpected{.detail = "the store reports lost history to a complete read"};
    const Error *error = read ? nullptr : &read.error();
    if (read && read.value().historyLost && !m_watchedFrom)
        error = &unexpected;
    noteResult(m_configPlan, "config", error);
    if (error)
        return;
    const ConfigRead &it = read.value();
    if (it.historyLost) {
        Log::warning("store_history_lost",
                     {{"era", m_watchedFrom->era}, {"store_version", m_watchedFrom->version}});
        m_watchedFrom.reset();
        return watchConfig();
    }
    // Evacuations first, because the freshness proof of the configuration covers them too.
    applyEvacuations(it);
    if (it.config || it.isComplete)
        m_storedRevision = it.config ? it.config->revision : 0;
    if (it.config)
        m_options.config.accept(it.config, began);
    else
        // A restored store may hold an older revision, which proves nothing about the active one.
        m_options.config.confirm(m_storedRevision, began);
    m_watchedFrom = it.position;
    if (!m_options.config.config())
        m_configPlan.answeredEmpty(); // No configuration has been written yet that can be watched.
    else if (m_options.isReader())
        watchConfig();
}

void StoreWatch::applyEvacuations(const ConfigRead &read)
{
    if (!read.isComplete)
        return m_options.evacuated.change(read.evacuations, read.position);
    EvacuatedDomains::State state{.position = read.position};
    for (const DomainEvacuation &it : read.evacuations)
        state.domains.insert(it.domain);
    m_options.evacuated.accept(state);
}

void StoreWatch::answeredElsewhere(TimePoint at)
{
    m_configPlan.answeredElsewhere(at);
    m_replicasPlan.answeredElsewhere(at);
}

void StoreWatch::refreshReplicas()
{
    if (m_isRefreshDue || m_refreshTimer.isPending())
        return;
    const TimePoint now = m_options.loop.now();
    m_refreshTimer.start(m_nextRefreshAt > now ? m_nextRefreshAt - now : Duration::zero());
}

void StoreWatch::continueRefresh()
{
    m_isRefreshDue = m_replicasPlan.isCalling();
    if (m_isRefreshDue || !m_replicasPlan.isDue({.overdue = true, .routers = m_options.routers()}))
        return;
    m_nextRefreshAt = m_options.loop.now() + RefreshIntervalPerRouter * m_options.routers();
    readReplicas();
}

void StoreWatch::readReplicas()
{
    const TimePoint began = m_options.loop.now();
    m_replicasPlan.began();
    m_options.store.readReplicas(
            [this, began](const Result<ReplicaSnapshot> &read) { replicasRead(read, began); });
}

void StoreWatch::replicasRead(const Result<ReplicaSnapshot> &read, TimePoint began)
{
    noteResult(m_replicasPlan, "replicas", read ? nullptr : &read.error());
    if (m_isRefreshDue)
        continueRefresh();
    if (!read)
        return;
    m_options.replicas.apply(read.value(), began);
    if (!m_options.isReader())
        return;
    // Jitter keeps routers that started at the same time from reading at the same time.
    const double jitter = 0.9 + 0.2 * uniform(m_options.random);
    m_replicasTimer.start(
            scaled(m_options.settings.replicaDrainTimeout, ReplicasReadFraction * jitter));
}

void StoreWatch::noteResult(StoreReadPlan &plan, const char *what, const Error *error)
{
    m_options.metrics.count("catkinloft_store_calls_total",
                            Metrics::label("result", error ? "failed" : "ok"));
    const bool failing = plan.isFailing();
    if (!error) {
        plan.answered();
        m_options.answered();
        if (failing)
            Log::info("store_regained", {{"reading", what}});
        return;
    }
    plan.failed();
    // An open connection may be dead while new connections succeed.
    m_options.store.dropConnections();
    if (!failing)
        Log::warning("store_lost", {{"reading", what}, {"detail", error->detail}});
}

void StoreWatch::applyConfigText(const std::string &text, TimePoint readStartedAt)
{
    const Result<RouteConfigPtr> config = m_options.store.decodeConfig(text);
    if (config)
        m_options.config.accept(config.value(), readStartedAt);
    else
        Log::warning("peer_config_malformed", {{"detail", config.error().detail}});
}

} // namespace catkinloft
