#include "Net/Forwarder.h"

#include "Base/CrashHandler.h"
#include "Net/ClaimDriver.h"
#include "Net/EventLoop.h"
#include "Net/ForwardTask.h"
#include "Net/HttpClient.h"
#include "Net/Timer.h"
#include "Request/IdentifyFilter.h"

#include <map>
#include <set>

#include <fmt/format.h>

namespace catkinloft {

struct Forwarder::Private
{
    explicit Private(Options o);

    Dispatcher &pool(const RequestContext &request);
    static void updatePool(const std::string &key, Dispatcher &it, const InventoryPtr &inventory);
    void schedulePoll();
    std::shared_ptr<ForwardTask> makeTask(RequestPtr request, HttpExchangePtr exchange,
                                          Dispatcher *pool);
    void resume(const RequestPtr &request, const HttpExchangePtr &exchange);
    Result<std::pair<ResumeToken, std::string>> findStream(const RequestContext &request) const;

    Options options;
    RequestQuarantine quarantine;
    CrashWatch crashes;
    ClaimDriver claims;
    std::map<std::string, std::unique_ptr<Dispatcher>> pools;
    std::set<std::shared_ptr<ForwardTask>> tasks;
    std::size_t buffered = 0; ///< Bytes buffered for all callers.
    JobId nextJob = 1;
    Timer pollTimer;
};

Forwarder::Private::Private(Options o)
    : options(std::move(o)), quarantine({.clock = options.loop, .random = options.random}),
      crashes({.loop = options.loop,
               .metrics = options.metrics,
               .attemptCrashed =
                       [this](const CrashWatch::BrokenAttempt &it, TimePoint crashedAt) {
                           // The name of an upstream does not change with its process, so the time
                           // of the crash tells several crashes apart.
                           const auto ms =
                                   crashedAt.time_since_epoch() / std::chrono::milliseconds(1);
                           quarantine.replicaCrashed(it.suspects,
                                                     fmt::format("{}~{}", it.replica, ms),
                                                     it.software, crashedAt);
                       }}),
      claims({.loop = options.loop,
              .table = options.table,
              .objects = options.objects,
              .metrics = options.metrics,
              .random = options.random,
              .router = options.settings.name,
              .routers = [this] { return options.directory.routers().size(); }}),
      pollTimer(options.loop, [this] {
          for (const auto &it : pools)
              it.second->poll();
          schedulePoll();
      })
{
    options.directory.changed().connect([this] {
        for (const auto &it : pools)
            it.second->setRouters(options.directory.routers());
    });
    options.metrics.addCollector([this](Metrics &it) {
        it.set("catkinloft_buffered_bytes", static_cast<double>(buffered));
        it.set("catkinloft_requests_quarantined", static_cast<double>(quarantine.held().size()));
        it.set("catkinloft_requests_in_progress", static_cast<double>(tasks.size()));
    });
}

Dispatcher &Forwarder::Private::pool(const RequestContext &request)
{
    const bool chat = request.kind == RequestKind::Chat;
    const std::string key = (chat ? "model:" + request.model : "service:" + request.service);
    std::unique_ptr<Dispatcher> &it = pools[key];
    if (!it) {
        it = std::make_unique<Dispatcher>(
                Dispatcher::Options{.clock = options.loop,
                                    .random = options.random,
                                    .self = options.directory.self().name,
                                    .failureDomain = options.settings.failureDomain});
        it->setRouters(options.directory.routers());
        updatePool(key, *it, request.inventory);
    }
    return *it;
}

void Forwarder::Private::updatePool(const std::string &key, Dispatcher &it,
                                    const InventoryPtr &inventory)
{
    const std::string name = key.substr(key.find(':') + 1);
    if (key.starts_with("model:"))
        it.setEngines(inventory, name);
    else
        it.setReplicas(inventory, name);
}

void Forwarder::Private::schedulePoll()
{
    TimePoint next = TimePoint::max();
    for (const auto &it : pools)
        next = std::min(next, it.second->nextDeadline());
    if (next != TimePoint::max())
        pollTimer.start(std::max(next - options.loop.now(), Duration::zero()));
}

std::shared_ptr<ForwardTask>
Forwarder::Private::makeTask(RequestPtr request, HttpExchangePtr exchange, Dispatcher *pool)
{
    auto task = std::make_shared<ForwardTask>(
            ForwardTask::Options{.router = options,
                                 .claims = claims.manager(),
                                 .quarantine = quarantine,
                                 .crashes = crashes,
                                 .buffered = buffered,
                                 .pool = pool,
                                 .job = nextJob++,
                                 .request = std::move(request),
                                 .exchange = std::move(exchange),
                                 .closed = [this](const std::shared_ptr<ForwardTask> &it) {
                                     // Destroyed later: its own callbacks may be on the stack.
                                     options.loop.post([it] {});
                                     tasks.erase(it);
                                     CrashHandler::setRequestsInProgress(tasks.size());
                                     schedulePoll();
                                 }});
    tasks.insert(task);
    CrashHandler::setRequestsInProgress(tasks.size());
    return task;
}

Result<std::pair<ResumeToken, std::string>>
Forwarder::Private::findStream(const RequestContext &request) const
{
    Result<ResumeToken> token =
            ResumeToken::decode(request.header(headers::Resume), options.settings.refusalKeys);
    if (!token)
        return token.error();
    const bool own = token.value().workspace == request.workspace->name
            && token.value().requestId == request.id;
    for (const Engine &it : request.inventory->engines) {
        if (own && it.name == token.value().engine)
            return std::pair(std::move(token.value()), it.address);
    }
    // A token of another workspace gets the same answer, which must not reveal that the stream
    // exists.
    return Error{.reason = Reason::NotFound, .detail = "the stream does not exist"};
}

void Forwarder::Private::resume(const RequestPtr &request, const HttpExchangePtr &exchange)
{
    const auto found = findStream(*request);
    if (!found) {
        options.refuse(request, exchange, found.error());
        return;
    }
    makeTask(request, exchange, nullptr)->resume(found.value().first, found.value().second);
}

Forwarder::Forwarder(Options options) : m_d(std::make_unique<Private>(std::move(options))) { }

Forwarder::~Forwarder() = default;

void Forwarder::setInventory(const InventoryPtr &inventory)
{
    for (const auto &it : m_d->pools)
        Private::updatePool(it.first, *it.second, inventory);
    m_d->schedulePoll();
}

void Forwarder::forward(RequestPtr request, HttpExchangePtr exchange)
{
    if (request->kind == RequestKind::Resume) {
        m_d->resume(request, exchange);
        return;
    }
    Dispatcher &pool = m_d->pool(*request);
    m_d->makeTask(std::move(request), std::move(exchange), &pool)->start();
    m_d->schedulePoll();
}

void Forwarder::describe(StatusReport &report) const
{
    report.inProgress = inProgress();
    std::map<std::string, int> workspaces;
    for (const auto &[key, pool] : m_d->pools) {
        const Placement &placement = pool->placement();
        const std::string name = key.substr(key.find(':') + 1);
        for (std::size_t i = 0; i < placement.size(); ++i) {
            const auto state = placement.healthOf(i).state;
            report.upstreams.push_back({.name = placement.upstream(i).name,
                                        .pool = name,
                                        .work = placement.loadOf(i),
                                        .bound = placement.boundOf(i, 0),
                                        .leaving = placement.upstream(i).leaving,
                                        .ejected = state != HealthTracker::State::Healthy});
        }
        for (const auto &[workspace, n] : pool->inFlight())
            workspaces[workspace] += n;
    }
    for (const auto &[workspace, n] : workspaces)
        report.workspaces.push_back({.name = workspace, .inProgress = n});
}

std::size_t Forwarder::inProgress() const
{
    return m_d->tasks.size();
}

std::vector<std::string> Forwarder::unfinished() const
{
    std::vector<std::string> out;
    for (const auto &it : m_d->tasks)
        out.push_back(it->requestId());
    return out;
}

} // namespace catkinloft
