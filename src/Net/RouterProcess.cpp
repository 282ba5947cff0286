#include "Net/RouterProcess.h"

#include "Base/Log.h"
#include "Decide/DrainPlan.h"
#include "Decide/RequestBuffers.h"
#include "Net/ConnectionLog.h"
#include "Net/CrashReporter.h"
#include "Net/EngineTask.h"
#include "Net/EventLoop.h"
#include "Net/Gateway.h"
#include "Net/HttpClient.h"
#include "Net/HttpServer.h"
#include "Net/PeerTask.h"
#include "Net/PlatformAdapters.h"
#include "Net/StallMonitor.h"
#include "Net/Timer.h"
#include "Net/TlsTask.h"
#include "Request/IdentifyFilter.h"

#include <algorithm>
#include <csignal>

#include <unistd.h>

namespace catkinloft {

namespace {

/// Shortest interval between reads of the platform's configuration and VM list.
constexpr Duration PlatformPoll = std::chrono::seconds(1);

/// Limit on polls per second of the whole fleet, at two reads each. The interval between polls
/// grows with the number of routers. Without the limit 890 routers would use 1,780 of the 2,000
/// reads per second that the table service allows, all at the same time after an outage. Between
/// polls, changes are received from peers.
constexpr double FleetPollsPerSecond = 50;

/// Interval of updates of this router's own load and of the check whether it is isolated.
constexpr Duration SelfCheckInterval = std::chrono::milliseconds(500);

/// A router that has received nothing from the store or any other router for this long is isolated:
/// it may have missed an accepted change, and reports that. Longer than a restart of the store and
/// than several probes.
constexpr Duration IsolationTimeout = std::chrono::seconds(10);

/// A reported load that is older than this is ignored.
constexpr Duration LoadLifetime = std::chrono::seconds(5);

/// Interval of checks whether a draining process has finished its requests.
constexpr Duration DrainPoll = std::chrono::milliseconds(50);

} // namespace

struct RouterProcess::Private
{
    explicit Private(std::shared_ptr<const Settings> s)
        : settings(std::move(s)),
          tls({.loop = loop, .metrics = metrics, .settings = settings->tls}),
          table(makeHttpTableService(client, settings->platform)),
          objects(makeHttpObjectStore(client, settings->platform)),
          vms(makeHttpVmList(client, settings->platform)),
          config({.table = *table,
                  .objects = *objects,
                  .clock = loop,
                  .random = systemRandom(),
                  .after = [this](Duration delay,
                                  std::function<void()> it) { loop.after(delay, std::move(it)); }}),
          peers({.loop = loop,
                 .client = client,
                 .metrics = metrics,
                 .settings = *settings,
                 .config = config,
                 .random = systemRandom(),
                 .connectionLog = connectionLog,
                 .requestBuffers = &requestBuffers}),
          directory({.name = settings->name,
                     .callerAddress = settings->callerAddress,
                     .peerAddress = settings->peerAddress,
                     .failureDomain = settings->failureDomain}),
          engines({.loop = loop,
                   .client = client,
                   .metrics = metrics,
                   .table = *table,
                   .config = config,
                   .directory = directory,
                   .governor = peers.governor(),
                   .random = systemRandom(),
                   .weightStore = settings->platform.weightStore,
                   .secure = tls.context().verifiesUpstreams()}),
          gateway({.loop = loop,
                   .client = client,
                   .metrics = metrics,
                   .settings = *settings,
                   .config = config,
                   .peers = peers,
                   .directory = directory,
                   .table = *table,
                   .objects = *objects,
                   .random = systemRandom(),
                   .served =
                           [this](const RequestContext &request, std::string_view engine) {
                               engines.tracker().recordServed(engine, request.chat, request.chatKey,
                                                              request.work);
                           }}),
          server(loop,
                 connectionLog.observed({.address = settings->callerAddress,
                                         .limits = settings->limits,
                                         .requestIdHeader = headers::RequestId,
                                         .buffers = &requestBuffers,
                                         .tls = &tls.context()}),
                 [this](const HttpExchangePtr &it) { gateway.handle(it); }),
          poll(loop, [this] { readPlatform(); }), selfCheck(loop, [this] { checkSelf(); }),
          drainPoll(loop, [this] { checkDrained(); })
    {
        metrics.addCollector([this](Metrics &it) {
            it.set("catkinloft_request_memory_bytes", static_cast<double>(requestBuffers.used()));
        });
        peers.membership().changed().connect([this](const Member &) { updateDirectory(); });
    }

    void readPlatform()
    {
        config.refresh();
        vms->read([this](Result<std::vector<VmEntry>> list) {
            if (list)
                peers.membership().setVms(list.value());
        });
        const double n = static_cast<double>(peers.membership().liveCount() + 1);
        const Duration pause = std::max(PlatformPoll, fromSeconds(n / FleetPollsPerSecond));
        poll.start(scaled(pause, 0.5 + uniform(random)));
    }

    void updateDirectory()
    {
        std::vector<RouterView> routers{directory.self()};
        routers.front().load = static_cast<double>(gateway.inProgress());
        for (const auto &[name, it] : peers.membership().members()) {
            // A suspected router gets no callers and owns no engines until it has refuted the
            // suspicion.
            if (it.state != MemberState::Alive && it.state != MemberState::Leaving)
                continue;
            const bool isFresh = it.loadReceivedWithin(LoadLifetime, loop.now());
            routers.push_back({.name = it.name,
                               .callerAddress = it.callerAddress,
                               .peerAddress = it.peerAddress,
                               .failureDomain = it.failureDomain,
                               .leaving = it.state == MemberState::Leaving,
                               .load = isFresh ? it.load : -1.0});
        }
        directory.setRouters(std::move(routers));
    }

    void checkSelf()
    {
        peers.membership().setLoad(static_cast<std::uint32_t>(gateway.inProgress()));
        updateDirectory();
        const TimePoint lastContactAt =
                std::max({started, config.lastConfirmed(), peers.membership().lastReceivedAt()});
        const bool isolated = loop.now() - lastContactAt > IsolationTimeout;
        if (isolated != directory.isIsolated())
            Log::warning(isolated ? "isolated" : "connected_again",
                         {{"revision", config.digest().revision}});
        directory.setIsolated(isolated);
        metrics.set("catkinloft_isolated", isolated ? 1 : 0);
        metrics.set("catkinloft_config_revision", static_cast<double>(config.digest().revision));
        metrics.set("catkinloft_config_store_age_seconds",
                    toSeconds(loop.now() - std::max(started, config.lastConfirmed())));
    }

    void drain()
    {
        if (draining) {
            loop.stop();
            return;
        }
        draining = true;
        Log::info("draining", {{"in_progress", gateway.inProgress()}});
        directory.setLeaving();
        peers.leave();
        gateway.leave();
        const TimePoint refuseFrom = loop.now() + settings->drainGrace;
        drainPlan = DrainPlan(
                {.refuseFrom = refuseFrom, .breakOffAt = refuseFrom + settings->drainTimeout});
        drainPoll.startRepeating(DrainPoll);
    }

    void checkDrained()
    {
        const std::vector<std::string> left = gateway.unfinished();
        const DrainPlan::Step step = drainPlan.next(
                loop.now(), {.requests = left.size(), .answers = server.pendingAnswers()});
        if (step == DrainPlan::Step::Accept)
            return;
        gateway.drain();
        if (step == DrainPlan::Step::Flush) {
            server.stopAccepting();
            server.closeIdle();
        } else if (step == DrainPlan::Step::BreakOff) {
            for (const std::string &it : left)
                Log::warning("cut_off", {{"request_id", it}});
            cutOff = left.size();
        } else if (step == DrainPlan::Step::End) {
            for (const UnsentAnswer &it : server.unsentAnswers())
                connectionLog.answerCut(server.address(), AnswerCut::Stopped, it);
            Log::info("stopped", {{"cut_off", cutOff}});
            loop.stop();
        }
    }

    std::shared_ptr<const Settings> settings;
    EventLoop loop;
    Metrics metrics;
    StallMonitor stalls{loop, metrics};
    CrashReporter crashReporter{
            {.clock = loop, .metrics = metrics, .source = settings->name, .fd = STDERR_FILENO}};
    TlsTask tls;
    RequestBuffers requestBuffers{loop, settings->maxRequestMemory};
    ConnectionLog connectionLog{{.clock = loop, .metrics = metrics, .buffers = requestBuffers}};
    HttpClient client{loop, &tls.context()};
    std::unique_ptr<TableService> table;
    std::unique_ptr<ObjectStore> objects;
    std::unique_ptr<VmList> vms;
    ConfigManager config;
    PeerTask peers;
    RouterDirectory directory;
    EngineTask engines;
    Gateway gateway;
    HttpServer server;
    RandomSource random = systemRandom();
    TimePoint started = loop.now();
    Timer poll;
    Timer selfCheck;
    Timer drainPoll;
    DrainPlan drainPlan;
    std::size_t cutOff = 0; ///< Requests in progress at the end of the drain timeout.
    bool draining = false;
};

RouterProcess::RouterProcess(std::shared_ptr<const Settings> settings)
    : m_d(std::make_unique<Private>(std::move(settings)))
{ }

RouterProcess::~RouterProcess() = default;

int RouterProcess::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    m_d->crashReporter.install();
    if (!m_d->tls.start())
        return 1;
    if (const Result<void> result = m_d->server.listen(); !result) {
        Log::error("listen_failed", {{"detail", result.error().detail}});
        return 1;
    }
    if (const Result<void> result = m_d->peers.start(); !result) {
        Log::error("listen_failed", {{"detail", result.error().detail}});
        return 1;
    }
    m_d->loop.onSignal(SIGTERM, [this] { m_d->drain(); });
    m_d->loop.onSignal(SIGINT, [this] { m_d->drain(); });
    m_d->engines.start();
    m_d->readPlatform();
    m_d->selfCheck.startRepeating(SelfCheckInterval);
    Log::info("started", {{"caller_address", m_d->settings->callerAddress}});
    m_d->loop.run();
    return 0;
}

} // namespace catkinloft
