#include "Net/StoreWatch.h"

#include "Base/Log.h"
#include "Net/EventLoop.h"

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// How long one call waits for a change of the configuration. Its proof is as old as the call when
/// it returns, and nearly twice that before the next one does; keys need one within seconds. A call
/// a second and router costs 0.4% of a day's credit at nine routers.
constexpr Duration ConfigWait = 1s;

/// Between two reads of the replicas: a draining replica must get nothing after two seconds, of
/// which the slowest answer of a store in order takes a few milliseconds.
constexpr Duration ReplicasInterval = 800ms;

/// Pause after a failed call. The store answers other routers meanwhile; its rates are shared.
constexpr Duration FailurePause = 300ms;

/// Reads that are older have failed at least once, and a peer may know more.
constexpr Duration ConfigOverdue = 2500ms;
constexpr Duration ReplicasOverdue = 1800ms;
constexpr Duration OverdueCheck = 400ms;

} // namespace

StoreWatch::StoreWatch(Options options)
    : m_options(std::move(options)), m_configTimer(m_options.loop, [this] { watchConfig(); }),
      m_replicasTimer(m_options.loop, [this] { readReplicas(); }),
      m_overdueTimer(m_options.loop, [this] { checkOverdue(); })
{ }

void StoreWatch::start()
{
    watchConfig();
    readReplicas();
    m_overdueTimer.startRepeating(OverdueCheck);
}

void StoreWatch::watchConfig()
{
    const TimePoint began = m_options.loop.now();
    const auto done = [this, began](const Result<ConfigRead> &read) { configRead(read, began); };
    if (m_storeVersion == 0)
        m_options.store.readConfig(done);
    else
        m_options.store.watchConfig(m_storeVersion, ConfigWait, done);
}

void StoreWatch::configRead(const Result<ConfigRead> &read, TimePoint began)
{
    noteResult(m_configFailing, "config", read ? nullptr : &read.error());
    if (!read) {
        m_configTimer.start(FailurePause);
        return;
    }
    const ConfigRead &it = read.value();
    if (it.historyLost) {
        Log::warning("store_history_lost", {{"store_version", m_storeVersion}});
        m_storeVersion = 0;
        return watchConfig();
    }
    if (it.config)
        m_options.config.accept(it.config, began);
    else
        m_options.config.confirm(m_options.config.revision(), began);
    m_storeVersion = it.storeVersion;
    // Without a configuration there is nothing to watch yet but the table itself.
    if (m_options.config.config())
        watchConfig();
    else
        m_configTimer.start(FailurePause);
}

void StoreWatch::readReplicas()
{
    const TimePoint began = m_options.loop.now();
    m_options.store.readReplicas(
            [this, began](const Result<ReplicaSnapshot> &read) { replicasRead(read, began); });
}

void StoreWatch::replicasRead(const Result<ReplicaSnapshot> &read, TimePoint began)
{
    noteResult(m_replicasFailing, "replicas", read ? nullptr : &read.error());
    if (read)
        m_options.replicas.apply(read.value(), began);
    // Spread, so that routers that started together do not read together.
    const double spread = 0.9 + 0.2 * uniform(m_options.random);
    m_replicasTimer.start(read ? fromSeconds(toSeconds(ReplicasInterval) * spread) : FailurePause);
}

void StoreWatch::checkOverdue()
{
    if (m_options.config.proofAge() > ConfigOverdue || m_options.replicas.age() > ReplicasOverdue)
        m_options.askPeer();
}

void StoreWatch::noteResult(bool &failing, const char *what, const Error *error)
{
    m_options.metrics.count("catkinloft_store_calls_total",
                            Metrics::label("result", error ? "failed" : "ok"));
    if (error) {
        // An open connection may have gone silent while new ones work.
        m_options.store.dropConnections();
        if (!failing)
            Log::warning("store_lost", {{"reading", what}, {"detail", error->detail}});
    } else if (failing) {
        Log::info("store_regained", {{"reading", what}});
    }
    failing = error != nullptr;
}

void StoreWatch::takeConfigText(const std::string &text, TimePoint readBegan)
{
    const Result<RouteConfigPtr> config = m_options.store.decodeConfig(text);
    if (config)
        m_options.config.accept(config.value(), readBegan);
    else
        Log::warning("peer_config_malformed", {{"detail", config.error().detail}});
}

void StoreWatch::takeReplicasText(const std::string &text, TimePoint readBegan)
{
    const Result<ReplicaSnapshot> snapshot = m_options.store.decodeReplicas(text);
    if (snapshot)
        m_options.replicas.apply(snapshot.value(), readBegan);
    else
        Log::warning("peer_replicas_malformed", {{"detail", snapshot.error().detail}});
}

} // namespace catkinloft
