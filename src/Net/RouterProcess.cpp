#include "Net/RouterProcess.h"

#include "Base/Log.h"
#include "Net/EventLoop.h"
#include "Net/Gateway.h"
#include "Net/HttpClient.h"
#include "Net/HttpServer.h"
#include "Net/PlatformAdapters.h"
#include "Net/Timer.h"

#include <csignal>

namespace catkinloft {

namespace {

/// How often the platform is asked for changes.
constexpr Duration PlatformPoll = std::chrono::seconds(1);

/// How often a draining process looks whether it is done.
constexpr Duration DrainPoll = std::chrono::milliseconds(50);

} // namespace

struct RouterProcess::Private
{
    explicit Private(std::shared_ptr<const Settings> s)
        : settings(std::move(s)), table(makeHttpTableService(client, settings->platform)),
          objects(makeHttpObjectStore(client, settings->platform)),
          vms(makeHttpVmList(client, settings->platform)),
          config({.table = *table, .objects = *objects}),
          directory({.name = settings->name,
                     .callerAddress = settings->callerAddress,
                     .peerAddress = settings->peerAddress,
                     .failureDomain = settings->failureDomain}),
          gateway({.loop = loop,
                   .client = client,
                   .metrics = metrics,
                   .settings = *settings,
                   .config = config,
                   .directory = directory,
                   .table = *table,
                   .objects = *objects,
                   .random = systemRandom()}),
          server(loop, {.address = settings->callerAddress, .limits = settings->limits},
                 [this](const HttpExchangePtr &it) { gateway.handle(it); }),
          poll(loop, [this] { readPlatform(); }), drainPoll(loop, [this] { checkDrained(); })
    { }

    void readPlatform()
    {
        config.refresh();
        vms->read([this](Result<std::vector<VmEntry>> list) {
            if (list)
                directory.setVms(list.value());
        });
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
        gateway.leave();
        refuseFrom = loop.now() + settings->drainGrace;
        drainDeadline = refuseFrom + settings->drainTimeout;
        drainPoll.startRepeating(DrainPoll);
    }

    void checkDrained()
    {
        if (loop.now() < refuseFrom)
            return;
        gateway.drain();
        const std::vector<std::string> left = gateway.unfinished();
        if (!left.empty() && loop.now() < drainDeadline)
            return;
        for (const std::string &it : left)
            Log::warning("cut_off", {{"request_id", it}});
        Log::info("stopped", {{"cut_off", left.size()}});
        loop.stop();
    }

    std::shared_ptr<const Settings> settings;
    EventLoop loop;
    Metrics metrics;
    HttpClient client{loop};
    std::unique_ptr<TableService> table;
    std::unique_ptr<ObjectStore> objects;
    std::unique_ptr<VmList> vms;
    ConfigKeeper config;
    RouterDirectory directory;
    Gateway gateway;
    HttpServer server;
    Timer poll;
    Timer drainPoll;
    TimePoint refuseFrom; ///< Callers may hold older address answers until then.
    TimePoint drainDeadline;
    bool draining = false;
};

RouterProcess::RouterProcess(std::shared_ptr<const Settings> settings)
    : m_d(std::make_unique<Private>(std::move(settings)))
{ }

RouterProcess::~RouterProcess() = default;

int RouterProcess::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    if (const Result<void> result = m_d->server.listen(); !result) {
        Log::error("listen_failed", {{"detail", result.error().detail}});
        return 1;
    }
    m_d->loop.onSignal(SIGTERM, [this] { m_d->drain(); });
    m_d->loop.onSignal(SIGINT, [this] { m_d->drain(); });
    m_d->readPlatform();
    m_d->poll.startRepeating(PlatformPoll);
    Log::info("started", {{"caller_address", m_d->settings->callerAddress}});
    m_d->loop.run();
    return 0;
}

} // namespace catkinloft
