#include "Net/EntryProcess.h"

#include "Base/Log.h"
#include "Control/ActiveConfig.h"
#include "Control/EvacuatedDomains.h"
#include "Control/FleetRegistration.h"
#include "Control/PromptDiscovery.h"
#include "Control/ReplicaRegistry.h"
#include "Control/StoreReadPlan.h"
#include "Control/StreamOriginStore.h"
#include "Decide/DrainPlan.h"
#include "Decide/RequestBuffers.h"
#include "Decide/SoftwareHistory.h"
#include "Decide/StreamOrigins.h"
#include "Net/BrittlePage.h"
#include "Net/ConnectionLog.h"
#include "Net/CrashEvidence.h"
#include "Net/CrashReporter.h"
#include "Net/EntryGateway.h"
#include "Net/EventLoop.h"
#include "Net/FleetTask.h"
#include "Net/HttpServer.h"
#include "Net/LogWriter.h"
#include "Net/PathProber.h"
#include "Net/QuarantinePage.h"
#include "Net/RelayClient.h"
#include "Net/RelayServer.h"
#include "Net/SettingsWatch.h"
#include "Net/StallMonitor.h"
#include "Net/StoreWatch.h"
#include "Net/StreamOriginTask.h"

#include <algorithm>
#include <csignal>
#include <limits>
#include <optional>
#include <set>
#include <string_view>

#include <fmt/format.h>
#include <sys/resource.h>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// Interval of checks whether to try to register, until registration is complete.
constexpr Duration RegistrationPoll = 200ms;

/// Shortest interval between reads of the registered routers. The list only finds routers from
/// which no heartbeat was received, so it is read rarely: a call costs as much as a small request.
constexpr Duration RegistrationInterval = 10s;

/// Shortest interval between reads by all routers together; the interval of one router is this
/// times the number of routers.
constexpr Duration RegistrationIntervalPerRouter = 500ms;

/// After a restore of the store, each router checks its registration at a random time within this
/// times the number of routers, so that the calls stay well below the limits of the store.
constexpr Duration RestoreSpreadPerRouter = 100ms;

/// Fraction of the stop timeout in which a draining process still accepts requests, from callers
/// that use an outdated address. Long streams need the rest of the time to finish.
constexpr double AcceptFraction = 0.35;

/// Part of the stop timeout that is reserved for the last answers and the end of the process.
constexpr Duration StopMargin = 300ms;
static_assert(2 * DrainPlan::LastAnswersTime < StopMargin, "the process would be killed meanwhile");

constexpr Duration DrainPoll = 50ms;

/// Interval of checks which engines are due for prompt discovery, until the discovery is finished.
constexpr Duration DiscoveryPoll = 50ms;

/// A router that started this much earlier than this one was not restarted together with it.
constexpr Duration OlderPeerMargin = 5s;

/// Prompt parts of one service that are sent to a router that has just started: about 240 KB, which
/// takes 0.2 seconds on a link of 10 Mbit/s. Nine replicas stay below the limit; 140 replicas share
/// it with 85 parts each.
constexpr std::size_t MaxAnnouncedPrompts = 12'000;

/// How long heartbeats announce a replica that has reported that it is leaving: a few rounds of a
/// large fleet. It ends earlier once the store has the entry of its successor.
constexpr Duration LeavingAnnounceTime = 10s;
constexpr std::size_t MaxAnnouncedLeaving = 8;

/// Delay after which a change of the requests that are held back is stored. Several records change
/// together.
constexpr Duration QuarantineStoreDelay = 100ms;

/// Records on requests that are held back in the store.
constexpr std::size_t MaxQuarantineRows = 64;

/// How long a crashed replica is excluded, unless its entry is removed earlier. An open connection
/// doesn't prove that it runs again, because a proxy may be listening at its address.
constexpr Duration CrashExclusionTime = 3s;

/// Time within which all routers report a crash that broke their requests: proxies in front of
/// replicas close connections up to 250 ms later, and the reports are checked for up to 250 ms.
/// What is reported later was sent after the crash, by a router that didn't know of it.
constexpr Duration CrashReportTime = 1s;

/// Path of the quarantine page at the metrics address.
constexpr std::string_view QuarantinePath = "/quarantine";

/// Path of the page about brittle services at the metrics address.
constexpr std::string_view StatusPath = "/status";

/// Most routers that are counted while heartbeats can't be verified. Limits the effect of forged
/// heartbeats.
constexpr std::size_t MaxUnverifiedRouters = 1000;

/// Bytes of all answers that are buffered at a time. The smallest entry VMs have 160 MB.
constexpr std::size_t MaxBufferedAnswers = std::size_t(32) * 1024 * 1024;

/// Body of a request to a listener that only answers questions; they have none.
constexpr std::size_t MaxQuestionBody = 1024;

/// Connections of callers that look up addresses. Each has one for a moment.
constexpr int MaxDirectoryConnections = 768;

/// Connections for readiness checks and metrics.
constexpr int MaxCheckConnections = 64;

/// Multiple of the configured header timeout after which an incomplete head is refused, and the
/// shortest such time: delays of links and of this process come on top of what the caller takes.
constexpr int HeaderTimeoutFactor = 2;
constexpr Duration MinHeaderTimeout = 10s;

/// Shortest idle timeout of caller connections. They are kept open for longer than the configured
/// idle timeout, so that the router doesn't close one while a request is on its way.
constexpr Duration MinIdleTimeout = 120s;

/// \returns the number of descriptors that the system lets this process open.
double maxDescriptors()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return std::numeric_limits<double>::infinity();
    return static_cast<double>(limit.rlim_cur);
}

} // namespace

struct EntryProcess::Private
{
    Private(const EntrySettings &s, std::string settingsFile, EntryAdapter a);

    void listenAll();
    void connectSignals();
    void keepRegistered();
    void refreshRegistration();
    void applyConfig(const RouteConfigPtr &config);
    void applySettings(const EntrySettings &next);
    ReplicaStatusUpdate ownStatusUpdate() const;
    void announceIfReader();
    void notePrompts(const PromptsByReplica &prompts);
    void receiveHeartbeat(const RouterHeartbeat &heartbeat);
    void receiveUnverifiedHeartbeat(const RouterHeartbeat &heartbeat);
    int knownRouters();
    void registrationEnded(bool answered);
    void storeAnswered(TimePoint at);
    std::vector<RelayPeer> relayPeers(const std::string &service);
    const ReplicaRecord *findRelayTarget(std::string_view incarnation) const;
    void recordCrash(const CrashWatch::BrokenAttempt &attempt, TimePoint at, bool isConfirmed);
    void noteToldCrash(const std::string &router, const CrashUpdate::Crash &crash);
    void reportToldCrash(const CrashUpdate::Crash &crash);
    StreamOriginReport streamOriginReport(const StreamOriginQuestion &question) const;
    void streamBegan(const StreamOrigin &origin, const StreamOriginQuestion &question);
    std::vector<StreamOrigin> takeStreamOrigins();
    void pollStreamOriginStore();
    void updateSoftware();
    void adoptSoftware(const std::vector<SoftwareHistory::Row> &rows, bool isFirstStart);
    void storeSoftware();
    void adoptQuarantine(const std::vector<QuarantineRow> &rows);
    void storeQuarantine();
    void discoverPrompts();
    void handlePromptList(const ReplicaRecord &engine, std::span<const PromptPart> prompts);
    bool isReady() const;
    bool isRefusing() const { return loop.now() >= drainPlan.options().refuseFrom; }
    void collectRetryBudget(const ServicePool &pool, Metrics &to);
    void answerMetrics(const HttpExchangePtr &exchange);
    void drain();
    void checkDrained();
    void flush();
    void stop();
    std::unique_ptr<HttpServer> makeServer(const std::string &address, ListenerLimits limits,
                                           HttpServer::Handler handler);

    EntrySettings settings;
    EntryAdapter adapter;
    EventLoop loop;
    LogWriter log{{.loop = loop}};
    Metrics metrics;
    StallMonitor stalls{loop, metrics};
    CrashReporter crashReporter{{.clock = loop,
                                 .metrics = metrics,
                                 .source = settings.name,
                                 .unwritten = &log.unwritten()}};
    RequestBuffers requestBuffers{loop, settings.requestMemory()};
    std::vector<HttpServer *> listeners; ///< Those of the servers and of the fleet.
    ConnectionLog connectionLog{{.clock = loop, .metrics = metrics, .buffers = requestBuffers}};
    HttpClient client{loop, nullptr, settings.sourceIp, MaxBufferedAnswers};
    RandomSource random = systemRandom();
    std::unique_ptr<FleetStore> store;
    std::unique_ptr<TableService> table;
    ActiveConfig config{loop};
    EvacuatedDomains evacuated{{.clock = loop, .rewriteTime = settings.replicaReregistrationTime}};
    ReplicaRegistry replicas;
    std::shared_ptr<const RouteTable> routes;
    ServicePools pools;
    EntryFilters filters;
    RequestQuarantine quarantine;
    CrashWatch crashes;
    SoftwareHistory software{loop};
    std::set<std::string> registeredSoftware; ///< Of the replicas of all services.
    StreamOrigins streamOrigins;
    FleetTask fleet;
    StreamOriginStore streamOriginStore;
    StreamOriginTask streamOriginTask;
    RelayClient relay;
    RelayServer relayServer;
    PathProber prober;
    CrashEvidence evidence;
    StoreWatch watch;
    FleetRegistration registration;
    StoreReadPlan registrationPlan;
    std::set<std::string> unverified; ///< Senders of heartbeats that couldn't be verified.
    EntryDirectory directory;
    EntryGateway gateway;
    SettingsWatch settingsWatch;
    std::vector<std::unique_ptr<HttpServer>> servers;
    HttpServer *callers = nullptr;
    PromptDiscovery discovery;
    Timer discoveryTimer;
    Timer quarantineTimer;
    Timer streamOriginTimer;
    Timer registrationTimer;
    Timer drainTimer;
    DrainPlan drainPlan;
    std::size_t cutOff = 0; ///< Requests in progress at the end of the stop timeout.
    bool draining = false;
};

EntryProcess::Private::Private(const EntrySettings &s, std::string settingsFile, EntryAdapter a)
    : settings(s), adapter(std::move(a)), store(adapter.makeStore(client, settings.storeAddress)),
      table(adapter.makeTable(client, settings.storeAddress)),
      replicas({.clock = loop, .reregistrationTime = settings.replicaReregistrationTime}),
      pools(loop, random, settings,
            {.routers = [this] { return fleet.view().sharingRouters(); },
             .isColdSender = [this](std::string_view replica,
                                    std::size_t n) { return fleet.view().isChosenFor(replica, n); },
             .pathChecksDue = [this] { prober.wake(); },
             .followsOthers = true}),
      filters({.routes = [this] { return routes; },
               .proofAge = [this] { return config.proofAge(); },
               .proofLimit = settings.maxKeyProofAge,
               .requiresProof = settings.requiresKeyProof}),
      quarantine({.clock = loop,
                  .random = random,
                  .routers = [this] { return fleet.view().sharingRouters(); },
                  .announceNow = [this] { fleet.announceCrashes(); },
                  .heldChanged = [this] { quarantineTimer.start(QuarantineStoreDelay); }}),
      crashes({.loop = loop,
               .metrics = metrics,
               .sourceIp = settings.sourceIp,
               .confirm =
                       [this](const std::string &id, std::function<void(CrashWatch::Finding)> done,
                              std::function<void()> unreached) {
                           evidence.confirm(id, std::move(done), std::move(unreached));
                       },
               .identify =
                       [this](const CrashWatch::BrokenAttempt &it,
                              std::function<void(std::optional<bool>)> done) {
                           prober.identify({.id = it.replicaId,
                                            .service = it.service,
                                            .address = it.address},
                                           std::move(done));
                       },
               .attemptCrashed = [this](const CrashWatch::BrokenAttempt &it,
                                        TimePoint crashedAt) { recordCrash(it, crashedAt, true); },
               .attemptLost = [this](const CrashWatch::BrokenAttempt &it,
                                     TimePoint refusedAt) { recordCrash(it, refusedAt, false); },
               .replicaCrashed =
                       [this](const std::string &it) {
                           pools.noteCrashed(it, CrashExclusionTime);
                       }}),
      streamOrigins({.clock = loop, .announceNow = [this] { fleet.announceStreamOrigins(); }}),
      fleet({.loop = loop,
             .client = client,
             .metrics = metrics,
             .settings = settings,
             .config = config,
             .evacuated = evacuated,
             .replicas = replicas,
             .isReady = [this] { return isReady(); },
             .makeServer =
                     [this](const std::string &address, ListenerLimits limits,
                            HttpServer::Handler handler) {
                         return makeServer(address, limits, std::move(handler));
                     },
             .storeFailing = [this] { return watch.isFailing(); },
             .storeUnansweredFor = [this] { return watch.unansweredFor(); },
             .ownStatusUpdate = [this] { return ownStatusUpdate(); },
             .unreachableServices = [this] { return pools.unreachableServices(); },
             .brittleServices = [this] { return pools.brittleServices(); },
             .takeCrashUpdates = [this] { return quarantine.takeUpdates(); },
             .takeFirstCrashes = [this] { return quarantine.takeFirstCrashes(); },
             .takeStreamOrigins = [this] { return takeStreamOrigins(); },
             .onStreamOrigins =
                     [this](std::span<const StreamOrigin> it) { streamOrigins.merge(it); },
             .onHeartbeat = [this](const RouterHeartbeat &it) { receiveHeartbeat(it); },
             .onUnverifiedHeartbeat =
                     [this](const RouterHeartbeat &it) { receiveUnverifiedHeartbeat(it); },
             .onConfigText = [this](const std::string &text,
                                    TimePoint began) { watch.applyConfigText(text, began); },
             .prompts = [this] { return pools.prompts(MaxAnnouncedPrompts); },
             .onPrompts = [this](const PromptsByReplica &it) { notePrompts(it); },
             .onRelay = [this](const HttpExchangePtr &it) { relayServer.handle(it); },
             .onStreamOriginQuestion =
                     [this](const HttpExchangePtr &it) { streamOriginTask.handle(it); }}),
      streamOriginStore(
              {.table = *table,
               .clock = loop,
               .router = settings.name,
               .incarnation = fleet.incarnation(),
               .writesPerSecond = settings.storeWritesPerSecond,
               .routers = [this] { return knownRouters(); },
               .isReader = [this] { return fleet.isReader(); },
               .onRead = [this](std::span<const StreamOrigin> it) { streamOrigins.merge(it); }}),
      streamOriginTask(
              {.clock = loop,
               .metrics = metrics,
               .fetch =
                       [this](HttpCall call, std::function<void(Result<HttpAnswer>)> done) {
                           client.fetch(std::move(call), std::move(done));
                       },
               .ownReport =
                       [this](const StreamOriginQuestion &it) { return streamOriginReport(it); },
               .keepers = [this](std::string_view stream,
                                 std::size_t n) { return fleet.view().holdersOf(stream, n); },
               .readStored =
                       [this](std::function<void()> done) {
                           streamOriginStore.read(std::move(done));
                       },
               .refreshList = [this] { watch.refreshReplicas(); },
               .pollAfter =
                       [this](Duration delay) {
                           loop.after(delay, [this] { streamOriginTask.poll(); });
                       },
               .sign = [this](std::string_view it) { return fleet.sign(it); },
               .verify = [this](std::string_view signature,
                                std::string_view text) { return fleet.verify(signature, text); }}),
      relay({.loop = loop,
             .client = client,
             .random = random,
             .failureDomain = settings.failureDomain,
             .peers = [this](const std::string &it) { return relayPeers(it); },
             .sign = [this](std::string_view it) { return fleet.sign(it); },
             .brokenElsewhere =
                     [this](const std::string &id, Duration brokenFor) {
                         crashes.brokenElsewhere(id, loop.now() - brokenFor);
                     }}),
      relayServer(
              {.loop = loop,
               .client = client,
               .metrics = metrics,
               .crashes = crashes,
               .sourceIp = settings.sourceIp,
               .requestIdHeader = adapter.codec.requestIdHeader,
               .maxBacklog = settings.maxStreamBuffer,
               .verify = [this](std::string_view signature,
                                std::string_view text) { return fleet.verify(signature, text); },
               .findReplica = [this](std::string_view it) { return findRelayTarget(it); },
               .isPathLost =
                       [this](const ReplicaRecord &it) {
                           return pools.of(it.service).paths.isBroken(it.incarnation());
                       },
               .checkPaths =
                       [this](const ReplicaRecord &it, std::function<void(bool)> done) {
                           evidence.checkPaths(it.incarnation(), std::move(done));
                       },
               .hasCrashedBefore =
                       [this](const ReplicaRecord &it) {
                           const std::optional<TimePoint> at =
                                   quarantine.crashedAt(it.incarnation());
                           const PathMonitor &paths = pools.of(it.service).paths;
                           return at && loop.now() - *at > CrashReportTime
                                   && paths.provenAt(it.incarnation()) <= *at;
                       },
               .sinceReceived =
                       [this](const ReplicaRecord &it) {
                           return pools.of(it.service).silence.sinceReceived(it.incarnation());
                       },
               .pathFailed =
                       [this](const ReplicaRecord &it) {
                           pools.of(it.service).pathLost(it.incarnation());
                       },
               .isProofFresh = [this] { return filters.isProofFresh(); },
               .isLeaving = [this] { return isRefusing(); }}),
      prober({.loop = loop,
              .client = client,
              .pools = pools,
              .sourceIp = settings.sourceIp,
              .probeHeaders = adapter.codec.pathProbeHeaders(),
              .identityHeaders = adapter.codec.identityProbeHeaders,
              .isFromReplica = adapter.codec.isFromReplica,
              .checkReceived =
                      [this](const std::string &service, const std::string &id, Duration within,
                             std::function<void(bool)> done) {
                          relay.checkReceived(service, id, within, std::move(done));
                      }}),
      evidence({.clock = loop,
                .pools = pools,
                .random = random,
                .connect =
                        [this](const ReplicaRecord &it, std::function<void(bool)> done) {
                            prober.connect(it, std::move(done));
                        },
                .hasRouters = [this](const std::string &it) { return !relayPeers(it).empty(); },
                .askRouters =
                        [this](const std::string &service, const std::string &id,
                               std::function<void(RelayClient::PathState)> done) {
                            relay.checkPath(service, id, std::move(done));
                        }}),
      watch({.loop = loop,
             .store = *store,
             .config = config,
             .evacuated = evacuated,
             .replicas = replicas,
             .metrics = metrics,
             .random = random,
             .askPeer = [this] { fleet.fetchFromPeer(); },
             .isReader = [this] { return fleet.isReader(); },
             .routers = [this] { return knownRouters(); },
             .settings = settings,
             .answered = [this] { storeAnswered(loop.now()); }}),
      registration({.table = *table,
                    .random = random,
                    .self = {.name = settings.name,
                             .callerAddress = settings.callerAddress,
                             .peerAddress = settings.peerAddress,
                             .processorShare = settings.processorShare},
                    .onKey = [this](const SharedKey &key) { fleet.setKey(key); },
                    .onRouters =
                            [this](const std::vector<RegisteredRouter> &it) {
                                fleet.view().setRegistered(it);
                                discovery.setRouters(it);
                                discoverPrompts();
                            },
                    .onSoftware = [this](const std::vector<SoftwareHistory::Row> &rows,
                                         bool isFirstStart) { adoptSoftware(rows, isFirstStart); },
                    .onQuarantine =
                            [this](const std::vector<QuarantineRow> &it) { adoptQuarantine(it); },
                    .onEnd = [this](bool answered) { registrationEnded(answered); }}),
      registrationPlan({.clock = loop, .random = random}),
      directory({.settings = settings,
                 .fleet = fleet.view(),
                 .isReady = [this] { return isReady(); },
                 .isLeaving = [this] { return draining; },
                 .random = random}),
      gateway({.loop = loop,
               .client = client,
               .metrics = metrics,
               .settings = settings,
               .codec = adapter.codec,
               .filters = filters,
               .pools = pools,
               .quarantine = quarantine,
               .crashes = crashes,
               .random = random,
               .sharingRouters = [this] { return knownRouters(); },
               .isShuttingDown = [this] { return isRefusing(); },
               .stopsAt = [this] { return drainPlan.options().breakOffAt; },
               .promptSent =
                       [this](const std::string &replica, std::span<const PromptPart> prompt) {
                           if (settings.mechanisms.promptAnnouncements)
                               fleet.notePrompt(replica, prompt);
                       },
               .replicaLeaving =
                       [this](const std::string &it) {
                           replicas.markLeaving(it, ReplicaRegistry::LeavingSource::Answer);
                       },
               .replicaLeavingAt =
                       [this](const std::string &address, const std::string &id) {
                           replicas.markLeavingAt(address, id);
                       },
               .replicaEjected = [this] { fleet.announceEjection(); },
               .findStreamOrigin =
                       [this](const StreamOriginQuestion &question, StreamOriginTask::Found found) {
                           streamOriginTask.find(question, std::move(found));
                       },
               .streamBegan =
                       [this](const StreamOrigin &origin, const StreamOriginQuestion &question) {
                           streamBegan(origin, question);
                       },
               .relay = &relay,
               .proofAge = [this] { return config.proofAge(); }}),
      settingsWatch({.loop = loop,
                     .file = std::move(settingsFile),
                     .onChange = [this](const EntrySettings &it) { applySettings(it); }}),
      discovery({.clock = loop,
                 .self = settings.peerAddress,
                 .maxAnnouncedParts = MaxAnnouncedPrompts}),
      discoveryTimer(loop, [this] { discoverPrompts(); }),
      quarantineTimer(loop, [this] { storeQuarantine(); }),
      streamOriginTimer(loop, [this] { pollStreamOriginStore(); }),
      registrationTimer(loop, [this] { keepRegistered(); }),
      drainTimer(loop, [this] { checkDrained(); })
{
    metrics.addCollector([this](Metrics &it) {
        it.set("catkinloft_requests_suspected", static_cast<double>(quarantine.size()));
        it.set("catkinloft_stream_origins", static_cast<double>(streamOrigins.size()));
        it.set("catkinloft_replica_paths_lost", static_cast<double>(pools.lostPaths()));
        it.set("catkinloft_answer_buffer_bytes", static_cast<double>(client.bufferedBytes()));
        it.set("catkinloft_request_memory_bytes", static_cast<double>(requestBuffers.used()));
        it.set("catkinloft_request_memory_limit_bytes",
               static_cast<double>(requestBuffers.limit()));
        it.set("catkinloft_replica_lists_ignored", static_cast<double>(replicas.ignoredLists()));
        it.set("catkinloft_requests_quarantined", static_cast<double>(quarantine.held().size()));
        pools.forEach([&](ServicePool &pool) {
            pool.admission.collect(it);
            collectRetryBudget(pool, it);
        });
    });
    config.changed().connect([this](const RouteConfigPtr &it) { applyConfig(it); });
    evacuated.changed().connect([this] {
        pools.setEvacuated(evacuated.domains());
        announceIfReader();
    });
    replicas.restored().connect([this] { refreshRegistration(); });
    replicas.changed().connect([this] {
        pools.setReplicas(replicas.replicas());
        updateSoftware();
        announceIfReader();
        discoverPrompts();
    });
    replicas.confirmed().connect([this] { streamOriginTask.listRead(); });
}

void EntryProcess::Private::applyConfig(const RouteConfigPtr &it)
{
    routes = std::make_shared<RouteTable>(it);
    pools.setServices(*it);
    announceIfReader();
    discoverPrompts();
    callers->setIdleTimeout(std::max(MinIdleTimeout, 2 * it->idleTimeout));
    callers->setHeaderTimeout(std::max(MinHeaderTimeout, HeaderTimeoutFactor * it->headerTimeout));
}

void EntryProcess::Private::applySettings(const EntrySettings &next)
{
    const EntrySettings::UpdateResult adjusted = settings.updateFrom(next);
    filters.setProofRules(settings.maxKeyProofAge, settings.requiresKeyProof);
    pools.applySettings();
    fleet.applySettings();
    Log::info("settings_reloaded",
              {{"changed", fmt::format("{}", fmt::join(adjusted.changed, " "))},
               {"needs_restart", fmt::format("{}", fmt::join(adjusted.needsRestart, " "))}});
}

ReplicaStatusUpdate EntryProcess::Private::ownStatusUpdate() const
{
    ReplicaStatusUpdate out = pools.ownStatusUpdate();
    out.leaving = replicas.recentlyLeaving(LeavingAnnounceTime, MaxAnnouncedLeaving);
    return out;
}

void EntryProcess::Private::announceIfReader()
{
    // Routers that received the change from a reader need not announce it again.
    if (fleet.isReader())
        fleet.announceToAll();
}

void EntryProcess::Private::notePrompts(const PromptsByReplica &prompts)
{
    for (const auto &[replica, parts] : prompts)
        pools.notePrompts(replica, parts);
}

void EntryProcess::Private::receiveHeartbeat(const RouterHeartbeat &heartbeat)
{
    pools.applyStatusUpdate(heartbeat.name, heartbeat.replicas, loop.now());
    pools.noteBrittle(heartbeat.name, heartbeat.brittle);
    for (const std::string &it : heartbeat.replicas.leaving)
        replicas.markLeaving(it, ReplicaRegistry::LeavingSource::Router);
    for (const CrashUpdate &update : heartbeat.crashes) {
        for (const CrashUpdate::Crash &it : update.replicaCrashes)
            noteToldCrash(heartbeat.name, it);
        quarantine.merge({&update, 1});
        for (const CrashUpdate::Crash &it : update.replicaCrashes)
            reportToldCrash(it);
    }
    notePrompts(heartbeat.prompts);
    for (const std::string &it : heartbeat.discovered)
        discovery.discovered(it);
    if (heartbeat.incarnation + static_cast<std::uint64_t>(OlderPeerMargin / 1ms)
        < fleet.incarnation())
        discovery.peerStateReceived();
}

void EntryProcess::Private::recordCrash(const CrashWatch::BrokenAttempt &attempt, TimePoint at,
                                        bool isConfirmed)
{
    quarantine.replicaCrashed(attempt.suspects,
                              {.replica = attempt.replica,
                               .software = attempt.software,
                               .at = at,
                               .sentAt = attempt.sentAt,
                               .provenAt = attempt.provenAt,
                               .isConfirmed = isConfirmed});
}

void EntryProcess::Private::noteToldCrash(const std::string &router,
                                          const CrashUpdate::Crash &crash)
{
    // A replica to which other routers have lost their paths may be reached from here.
    if (crash.age >= CrashExclusionTime || !crash.isConfirmed)
        return;
    const std::string replica(RequestQuarantine::incarnationOf(crash.replica));
    // Heartbeats repeat a crash in the record of each request that it broke.
    if (!quarantine.knowsCrash(crash.replica))
        Log::info("replica_crash_told",
                  {{"replica", replica}, {"router", router}, {"age_ms", crash.age / 1ms}});
    pools.noteCrashed(replica, CrashExclusionTime - crash.age);
}

void EntryProcess::Private::reportToldCrash(const CrashUpdate::Crash &crash)
{
    if (crash.isConfirmed)
        crashes.crashTold(std::string(RequestQuarantine::incarnationOf(crash.replica)),
                          loop.now() - crash.age);
}

std::vector<RelayPeer> EntryProcess::Private::relayPeers(const std::string &service)
{
    std::vector<RelayPeer> out;
    for (const FleetView::Peer *it : fleet.view().live()) {
        const RouterHeartbeat &peer = it->heartbeat;
        const std::vector<std::string> &lost = peer.unreachableServices;
        if (peer.relays && peer.ready && !peer.leaving
            && std::find(lost.begin(), lost.end(), service) == lost.end())
            out.push_back({.name = peer.name,
                           .address = peer.peerAddress,
                           .failureDomain = peer.failureDomain,
                           .processorShare = peer.processorShare});
    }
    return out;
}

const ReplicaRecord *EntryProcess::Private::findRelayTarget(std::string_view incarnation) const
{
    const ReplicaRecord *out = pools.findReplica(incarnation);
    const bool isAllowed =
            out && !out->draining && !evacuated.domains().contains(out->failureDomain);
    return isAllowed ? out : nullptr;
}

StreamOriginReport
EntryProcess::Private::streamOriginReport(const StreamOriginQuestion &question) const
{
    StreamOriginReport out{.observedFor = software.observedFor(),
                           .listAge = replicas.age(),
                           .rememberedFor = streamOrigins.rememberedFor()};
    if (!question.stream.empty())
        out.software = streamOrigins.find(question.stream);
    for (const std::string &it : question.services)
        out.candidates.merge(software.seen(it, question.window));
    return out;
}

void EntryProcess::Private::streamBegan(const StreamOrigin &origin,
                                        const StreamOriginQuestion &question)
{
    StreamOriginReport own = streamOriginReport(question);
    own.software.reset();
    // Another router may need to read the list again for the proof.
    const bool isProvable =
            proveOrigin({.reports = {&own, 1}, .window = question.window, .isListRead = true})
                    .has_value();
    streamOrigins.begin(origin, !isProvable && settings.mechanisms.streamOriginAnnouncements);
}

std::vector<StreamOrigin> EntryProcess::Private::takeStreamOrigins()
{
    std::vector<StreamOrigin> out = streamOrigins.takeAnnouncements();
    streamOriginStore.add(out);
    pollStreamOriginStore();
    return out;
}

void EntryProcess::Private::pollStreamOriginStore()
{
    streamOriginStore.poll();
    if (const TimePoint next = streamOriginStore.nextDeadline(); next != TimePoint::max())
        streamOriginTimer.start(std::max(Duration::zero(), next - loop.now()));
}

void EntryProcess::Private::updateSoftware()
{
    software.update(replicas.replicas());
    std::set<std::string> names;
    for (const ReplicaRecord &it : replicas.replicas())
        names.insert(it.software());
    const std::set<std::string> before = std::exchange(registeredSoftware, names);
    const bool isNew = !std::includes(before.begin(), before.end(), names.begin(), names.end());
    if (isNew && settings.mechanisms.streamOriginAnnouncements)
        streamOrigins.announceAll();
    storeSoftware();
}

void EntryProcess::Private::adoptSoftware(const std::vector<SoftwareHistory::Row> &rows,
                                          bool isFirstStart)
{
    if (isFirstStart)
        software.setComplete();
    else if (!rows.empty())
        software.adopt(rows);
}

/// The routers that read the store for the others write what they have seen.
void EntryProcess::Private::storeSoftware()
{
    if (software.isComplete() && replicas.age() != Duration::max() && fleet.isReader())
        registration.writeSoftware(software.rows());
}

void EntryProcess::Private::adoptQuarantine(const std::vector<QuarantineRow> &rows)
{
    const WallTime now = loop.wallNow();
    std::vector<CrashUpdate> records;
    records.reserve(rows.size());
    for (const QuarantineRow &it : rows)
        records.push_back(it.toUpdate(now));
    quarantine.merge(records);
    if (!records.empty())
        Log::info("quarantine_adopted",
                  {{"records", records.size()}, {"held", quarantine.held().size()}});
}

void EntryProcess::Private::storeQuarantine()
{
    if (!fleet.isReader())
        return;
    const WallTime now = loop.wallNow();
    std::vector<QuarantineRow> rows;
    for (const CrashUpdate &it : quarantine.heldRecords(MaxQuarantineRows))
        rows.push_back(QuarantineRow::of(it, now));
    registration.writeQuarantine(rows);
}

void EntryProcess::Private::receiveUnverifiedHeartbeat(const RouterHeartbeat &heartbeat)
{
    if (unverified.size() < MaxUnverifiedRouters)
        unverified.insert(heartbeat.name);
    if (heartbeat.proofAge != Duration::max())
        storeAnswered(loop.now() - heartbeat.proofAge);
}

int EntryProcess::Private::knownRouters()
{
    return std::max(fleet.view().sharingRouters(), static_cast<int>(unverified.size()) + 1);
}

void EntryProcess::Private::storeAnswered(TimePoint at)
{
    watch.answeredElsewhere(at);
    registrationPlan.answeredElsewhere(at);
}

void EntryProcess::Private::discoverPrompts()
{
    if (!settings.mechanisms.promptDiscovery)
        return;
    for (const ReplicaRecord &it : discovery.due(pools.engines())) {
        adapter.listPrompts(client, it.address,
                            [this, it](const Result<std::vector<PromptPart>> &r) {
                                if (r)
                                    return handlePromptList(it, r.value());
                                Log::info("prompts_not_listed",
                                          {{"replica", it.id}, {"detail", r.error().detail}});
                            });
    }
    if (discovery.isFinished())
        discoveryTimer.stop();
}

void EntryProcess::Private::handlePromptList(const ReplicaRecord &engine,
                                             std::span<const PromptPart> prompts)
{
    std::vector<std::uint64_t> parts;
    parts.reserve(prompts.size());
    for (const PromptPart &it : prompts)
        parts.push_back(it.id);
    const std::string incarnation = engine.incarnation();
    discovery.discovered(incarnation);
    pools.notePrompts(incarnation, parts);
    const std::vector<std::uint64_t> announced =
            discovery.partsToAnnounce(prompts, pools.engines().size());
    fleet.announceDiscovered(incarnation, announced, discovery.receiversFor(incarnation));
    Log::info("prompts_listed",
              {{"replica", engine.id}, {"parts", parts.size()}, {"told", announced.size()}});
}

bool EntryProcess::Private::isReady() const
{
    return !draining && routes && filters.isProofFresh() && replicas.age() != Duration::max();
}

void EntryProcess::Private::keepRegistered()
{
    if (registrationPlan.isDue({.overdue = true, .routers = knownRouters()})) {
        registrationPlan.began();
        registration.refresh();
    }
    const Duration interval = std::max<Duration>(
            RegistrationInterval, RegistrationIntervalPerRouter * fleet.view().sharingRouters());
    registrationTimer.start(registration.isComplete() ? interval : RegistrationPoll);
}

/// A restored store may lack the row of this router and the key of the heartbeats.
void EntryProcess::Private::refreshRegistration()
{
    metrics.count("catkinloft_store_restores_total");
    const Duration spread = RestoreSpreadPerRouter * knownRouters();
    registrationTimer.start(scaled(spread, uniform(random)));
}

void EntryProcess::Private::registrationEnded(bool answered)
{
    if (!answered)
        return registrationPlan.failed();
    registrationPlan.answered();
    unverified.clear();
    storeAnswered(loop.now());
    storeSoftware();
    storeQuarantine();
}

std::unique_ptr<HttpServer> EntryProcess::Private::makeServer(const std::string &address,
                                                              ListenerLimits limits,
                                                              HttpServer::Handler handler)
{
    auto out = std::make_unique<HttpServer>(
            loop,
            connectionLog.observed({.address = address,
                                    .limits = limits,
                                    .requestIdHeader = adapter.codec.requestIdHeader,
                                    .buffers = &requestBuffers}),
            std::move(handler));
    listeners.push_back(out.get());
    return out;
}

void EntryProcess::Private::listenAll()
{
    const ListenerLimits limits{.maxHeaderBytes = settings.maxHeaderBytes,
                                .maxBodyBytes = settings.maxBodyBytes,
                                .maxConnections = settings.callerConnections(maxDescriptors()),
                                .idleTimeout = MinIdleTimeout};
    const auto questions = [&](int maxConnections) {
        return ListenerLimits{.maxHeaderBytes = settings.maxHeaderBytes,
                              .maxBodyBytes = MaxQuestionBody,
                              .maxConnections = std::min(maxConnections, settings.maxConnections),
                              .idleTimeout = MinIdleTimeout};
    };
    servers.push_back(makeServer(settings.callerAddress, limits,
                                 [this](const HttpExchangePtr &it) { gateway.handle(it); }));
    callers = servers.front().get();
    if (!settings.readinessAddress.empty())
        servers.push_back(makeServer(
                settings.readinessAddress, questions(MaxCheckConnections),
                [this](const HttpExchangePtr &it) { adapter.answerReadiness(it, isReady()); }));
    if (!settings.directoryAddress.empty())
        servers.push_back(makeServer(
                settings.directoryAddress, questions(MaxDirectoryConnections),
                [this](const HttpExchangePtr &it) { adapter.answerDirectory(it, directory); }));
    if (!settings.metricsAddress.empty())
        servers.push_back(makeServer(settings.metricsAddress, questions(MaxCheckConnections),
                                     [this](const HttpExchangePtr &it) { answerMetrics(it); }));
}

void EntryProcess::Private::collectRetryBudget(const ServicePool &pool, Metrics &to)
{
    const FleetRetryBudget::Usage usage = pool.retryBudget.usage(knownRouters());
    const std::string label = Metrics::label("service", pool.admission.options().service);
    to.set("catkinloft_retry_budget_requests", usage.requests, label);
    to.set("catkinloft_retry_budget_retries", usage.retries, label);
    to.set("catkinloft_retry_budget_limit", usage.limit, label);
    to.set("catkinloft_retry_budget_available", std::max(0.0, usage.available), label);
}

void EntryProcess::Private::answerMetrics(const HttpExchangePtr &exchange)
{
    if (exchange->path() == QuarantinePath)
        return exchange->respond(200, {{"Content-Type", "application/json"}},
                                 quarantinePage(quarantine.held()));
    if (exchange->path() == StatusPath) {
        std::vector<std::shared_ptr<RejectionLimit>> limits;
        pools.forEach([&limits](ServicePool &it) { limits.push_back(it.rejections); });
        return exchange->respond(200, {{"Content-Type", "application/json"}},
                                 brittlePage(settings.name, limits));
    }
    exchange->respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.print());
}

void EntryProcess::Private::connectSignals()
{
    loop.onSignal(SIGTERM, [this] { drain(); });
    loop.onSignal(SIGINT, [this] { drain(); });
    loop.onSignal(SIGHUP, [this] { settingsWatch.check(); });
}

void EntryProcess::Private::drain()
{
    if (draining)
        return;
    draining = true;
    Log::info("draining", {{"in_progress", gateway.inProgress()}});
    fleet.leave();
    registration.leave();
    gateway.leave();
    drainPlan = DrainPlan({.refuseFrom = loop.now() + scaled(settings.stopTimeout, AcceptFraction),
                           .breakOffAt = loop.now() + settings.stopTimeout - StopMargin});
    drainTimer.startRepeating(DrainPoll);
}

void EntryProcess::Private::checkDrained()
{
    const std::vector<std::string> left = gateway.unfinished();
    std::size_t answers = 0;
    for (const HttpServer *it : listeners)
        answers += it->pendingAnswers();
    switch (drainPlan.next(
            loop.now(), {.requests = left.size() + relayServer.inProgress(), .answers = answers})) {
    case DrainPlan::Step::Accept:
    case DrainPlan::Step::Finish:
        return;
    case DrainPlan::Step::Flush:
        return flush();
    case DrainPlan::Step::BreakOff:
        for (const std::string &it : left)
            Log::warning("cut_off", {{"request_id", it}});
        cutOff = left.size();
        return gateway.stop();
    case DrainPlan::Step::End:
        return stop();
    }
}

/// No further request can begin, so that the answers in progress are the last ones.
void EntryProcess::Private::flush()
{
    for (HttpServer *it : listeners) {
        it->stopAccepting();
        it->closeIdle();
    }
}

void EntryProcess::Private::stop()
{
    for (const HttpServer *listener : listeners) {
        for (const UnsentAnswer &it : listener->unsentAnswers())
            connectionLog.answerCut(listener->address(), AnswerCut::Stopped, it);
    }
    Log::info("stopped", {{"cut_off", cutOff}, {"relays_cut_off", relayServer.inProgress()}});
    drainTimer.stop();
    loop.stop();
}

EntryProcess::EntryProcess(const EntrySettings &settings, std::string settingsFile,
                           EntryAdapter adapter)
    : m_d(std::make_unique<Private>(settings, std::move(settingsFile), std::move(adapter)))
{ }

EntryProcess::~EntryProcess() = default;

int EntryProcess::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    Log::setSource(m_d->settings.name);
    Log::setSink([this](LogLevel level, std::string_view line) { m_d->log.write(level, line); });
    m_d->crashReporter.install();
    m_d->listenAll();
    for (const auto &it : m_d->servers) {
        if (const Result<void> result = it->listen(); !result) {
            Log::error("listen_failed", {{"detail", result.error().detail}});
            Log::setSink({});
            return 1;
        }
    }
    if (const Result<void> result = m_d->fleet.start(); !result) {
        Log::error("listen_failed", {{"detail", result.error().detail}});
        Log::setSink({});
        return 1;
    }
    m_d->connectSignals();
    m_d->watch.start();
    m_d->settingsWatch.start();
    m_d->discoveryTimer.startRepeating(DiscoveryPoll);
    m_d->keepRegistered();
    Log::info("started",
              {{"caller_address", m_d->settings.callerAddress},
               {"store", m_d->settings.storeAddress}});
    m_d->loop.run();
    Log::setSink({});
    return 0;
}

} // namespace catkinloft
