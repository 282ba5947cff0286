#include "Net/StoreWatch.h"

#include "Base/Log.h"
#include "Net/EventLoop.h"

#include <algorithm>
#include <utility>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// How long one call waits for a change of the configuration, as a part of the time in which
/// changes have to be in force. A proof is as old as the call when it returns, and twice that
/// before the next one does.
constexpr double WaitPart = 0.2;

/// A proof that is older than this part of it has missed several answers of readers, and is read
/// from the store: the rest is for the reading. It holds whatever the readers do.
constexpr double ConfigOverduePart = 0.8;

/// Between two reads of the replicas, as a part of the time in which a draining replica must be
/// known: the others' asking takes another three tenths of it.
constexpr double ReplicasPart = 0.25;

/// Pause after a failed call. All routers together try at most so often while the store is away,
/// since calls that are refused cost like others; those that read for others try more often.
constexpr Duration MinFailurePause = 300ms;
constexpr Duration FleetFailurePause = 15ms; ///< Between tries of the whole fleet.

/// Part of the time in which a draining replica must be known, after which the list is read from
/// the store: the rest is for the reading.
constexpr double ReplicasOverduePart = 0.85;
constexpr Duration CheckInterval = 200ms;

} // namespace

StoreWatch::StoreWatch(Options options)
    : m_options(std::move(options)), m_configTimer(m_options.loop, [this] { watchConfig(); }),
      m_replicasTimer(m_options.loop, [this] { readReplicas(); }),
      m_checkTimer(m_options.loop, [this] { check(); })
{ }

void StoreWatch::start()
{
    watchConfig();
    readReplicas();
    m_checkTimer.startRepeating(CheckInterval);
}

void StoreWatch::check()
{
    const bool configOverdue = m_options.config.proofAge()
            > scaled(m_options.settings.configApplyLimit, ConfigOverduePart);
    const bool replicasOverdue = m_options.replicas.age()
            > scaled(m_options.settings.replicaDrainLimit, ReplicasOverduePart);
    const bool reader = m_options.isReader();
    if (!m_readingConfig && (reader || configOverdue))
        watchConfig();
    if (!m_readingReplicas && (reader || replicasOverdue))
        readReplicas();
    if (configOverdue || replicasOverdue)
        m_options.askPeer();
}

Duration StoreWatch::silence() const
{
    return m_readingConfig ? m_options.loop.now() - m_answeredAt : Duration::zero();
}

Duration StoreWatch::failurePause() const
{
    const Duration shared = FleetFailurePause * m_options.routers();
    const Duration pause =
            m_options.isReader() ? MinFailurePause : std::max(MinFailurePause, shared);
    return scaled(pause, 0.75 + 0.5 * uniform(m_options.random));
}

void StoreWatch::watchConfig()
{
    const TimePoint began = m_options.loop.now();
    if (!std::exchange(m_readingConfig, true))
        m_answeredAt = began;
    const auto done = [this, began](const Result<ConfigRead> &read) { configRead(read, began); };
    if (m_storeVersion == 0)
        m_options.store.readConfig(done);
    else
        m_options.store.watchConfig(m_storeVersion,
                                    m_options.isReader()
                                            ? scaled(m_options.settings.configApplyLimit, WaitPart)
                                            : Duration::zero(),
                                    done);
}

void StoreWatch::configRead(const Result<ConfigRead> &read, TimePoint began)
{
    noteResult(m_configFailing, "config", read ? nullptr : &read.error());
    if (!read) {
        m_configTimer.start(failurePause());
        return;
    }
    m_answeredAt = std::max(m_answeredAt, began);
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
    m_readingConfig = false;
    if (!m_options.config.config()) {
        // Nothing has been written yet, so there is nothing to watch.
        m_readingConfig = true;
        m_configTimer.start(failurePause());
    } else if (m_options.isReader()) {
        watchConfig();
    }
}

void StoreWatch::readReplicas()
{
    m_readingReplicas = true;
    const TimePoint began = m_options.loop.now();
    m_options.store.readReplicas(
            [this, began](const Result<ReplicaSnapshot> &read) { replicasRead(read, began); });
}

void StoreWatch::replicasRead(const Result<ReplicaSnapshot> &read, TimePoint began)
{
    noteResult(m_replicasFailing, "replicas", read ? nullptr : &read.error());
    if (!read) {
        m_replicasTimer.start(failurePause());
        return;
    }
    m_options.replicas.apply(read.value(), began);
    m_readingReplicas = m_options.isReader();
    if (!m_readingReplicas)
        return;
    // Spread, so that routers that started together do not read together.
    const double spread = 0.9 + 0.2 * uniform(m_options.random);
    m_replicasTimer.start(scaled(m_options.settings.replicaDrainLimit, ReplicasPart * spread));
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
