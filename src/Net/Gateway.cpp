#include "Net/Gateway.h"

#include "Decide/Refusal.h"
#include "Net/EventLoop.h"
#include "Net/OperatorPages.h"
#include "Net/PeerTask.h"
#include "Request/AuthenticateFilter.h"
#include "Request/ChatRequest.h"
#include "Request/IdentifyFilter.h"
#include "Request/Problem.h"
#include "Request/RequestFraming.h"

#include <map>

namespace catkinloft {

namespace {

using Route = std::function<void(const HttpExchangePtr &)>;

} // namespace

struct Gateway::Private
{
    explicit Private(Options o);

    void addRoutes();
    void request(const HttpExchangePtr &exchange);
    void refuse(const RequestPtr &request, const HttpExchangePtr &exchange, const Error &error);
    void fail(const HttpExchangePtr &exchange, const Error &error);
    void describe(StatusReport &report) const;
    void explain(const HttpExchangePtr &exchange);
    Options options;
    FilterChain chain;
    Forwarder forwarder;
    OperatorPages pages;
    std::map<std::string, std::map<std::string, Route>> routes; ///< By path, then method.
    bool leaving = false;
    bool draining = false;
};

Gateway::Private::Private(Options o)
    : options(std::move(o)),
      forwarder({.loop = options.loop,
                 .client = options.client,
                 .metrics = options.metrics,
                 .settings = options.settings,
                 .directory = options.directory,
                 .table = options.table,
                 .objects = options.objects,
                 .random = options.random,
                 .refuse = [this](const RequestPtr &request, const HttpExchangePtr &exchange,
                                  const Error &error) { refuse(request, exchange, error); },
                 .served = options.served}),
      pages({.clock = options.loop,
             .settings = options.settings,
             .config = options.config,
             .propagator = options.peers.propagator(),
             .membership = options.peers.membership(),
             .directory = options.directory,
             .random = options.random,
             .describe = [this](StatusReport &report) { describe(report); },
             .fail = [this](const HttpExchangePtr &exchange,
                            const Error &error) { fail(exchange, error); }})
{
    chain.add("accept", [this](const RequestPtr &, const FilterChain::Next &next) {
        if (draining)
            next(Error{.reason = Reason::Draining,
                       .detail = "ask /v1/where on another address",
                       .retryAfter = std::chrono::seconds(1)});
        else
            next(outcome::success());
    });
    chain.add("authenticate", AuthenticateFilter([this] { return options.config.current(); }));
    chain.add("identify", IdentifyFilter(options.random));
    options.config.changed().connect(
            [this](const InventoryPtr &inventory) { forwarder.setInventory(inventory); });
    options.config.changed().connect(
            [this](const InventoryPtr &inventory) { options.directory.setEngines(inventory); });
    addRoutes();
}

void Gateway::Private::addRoutes()
{
    routes["/healthz"]["GET"] = [](const HttpExchangePtr &it) { it->respond(200, {}, "ok\n"); };
    routes["/readyz"]["GET"] = [this](const HttpExchangePtr &it) {
        const bool ready = options.config.current() && !leaving && !options.directory.isIsolated();
        it->respond(ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n");
    };
    routes["/metrics"]["GET"] = [this](const HttpExchangePtr &it) {
        it->respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, options.metrics.print());
    };
    routes["/v1/where"]["GET"] = [this](const HttpExchangePtr &it) { pages.where(it); };
    routes["/v1/status"]["GET"] = [this](const HttpExchangePtr &it) { pages.status(it); };
    routes["/v1/explain"]["GET"] = [this](const HttpExchangePtr &it) { explain(it); };
    routes["/status"]["GET"] = [this](const HttpExchangePtr &it) { pages.statusPage(it); };
    routes["/v1/config"]["GET"] = [this](const HttpExchangePtr &it) { pages.readConfig(it); };
    routes["/v1/history"]["GET"] = [this](const HttpExchangePtr &it) { pages.history(it); };
    routes["/v1/config"]["PUT"] = [this](const HttpExchangePtr &it) { pages.writeConfig(it); };
}

void Gateway::Private::request(const HttpExchangePtr &exchange)
{
    auto context = std::make_shared<RequestContext>();
    context->method = exchange->method();
    context->path = exchange->path();
    context->query = exchange->query();
    context->body = exchange->body();
    context->header = [it = exchange.get()](const char *name) { return it->header(name); };
    context->receivedAt = options.loop.now();
    const Result<void> framing =
            checkFraming(exchange->method(), exchange->target(), exchange->headers());
    if (!framing) {
        exchange->closeAfterAnswer();
        return refuse(context, exchange, framing.error());
    }
    chain.run(context, [this, context, exchange](Result<void> result) {
        if (result)
            forwarder.forward(context, exchange);
        else
            refuse(context, exchange, result.error());
    });
}

void Gateway::Private::refuse(const RequestPtr &request, const HttpExchangePtr &exchange,
                              const Error &error)
{
    options.metrics.refused(error.reason);
    const Refusal refusal{.error = error,
                          .revision = request->inventory ? request->inventory->revision : 0,
                          .router = options.settings.name,
                          .workspace = request->workspace ? request->workspace->name : "",
                          .requestId = request->id,
                          .at = options.loop.wallNow()};
    const std::string token = encodeRefusal(refusal, options.settings.refusalKeys);
    HttpHeaders out{{"Content-Type", "application/problem+json"},
                    {headers::RequestId, request->id},
                    {headers::Verdict, std::string(toString(error.verdict))}};
    if (const std::string after = Problem::retryAfter(error); !after.empty())
        out.emplace_back("Retry-After", after);
    exchange->respond(Problem::status(error), out, Problem::body(error, request->id, token));
}

void Gateway::Private::fail(const HttpExchangePtr &exchange, const Error &error)
{
    options.metrics.refused(error.reason);
    exchange->respond(Problem::status(error), {{"Content-Type", "application/problem+json"}},
                      Problem::body(error, {}, {}));
}

void Gateway::Private::describe(StatusReport &report) const
{
    forwarder.describe(report);
    for (const ReasonInfo &it : allReasons()) {
        const std::uint64_t n = options.metrics.counter("catkinloft_refusals_total",
                                                        Metrics::label("reason", it.reason));
        if (n > 0)
            report.refusals.push_back({.reason = std::string(it.code), .n = n});
    }
}

void Gateway::Private::explain(const HttpExchangePtr &exchange)
{
    const Result<Refusal> refusal =
            decodeRefusal(exchange->queryValue("token"), options.settings.refusalKeys);
    if (refusal)
        exchange->respond(200, {{"Content-Type", "text/plain"}}, explainRefusal(refusal.value()));
    else
        fail(exchange, refusal.error());
}

Gateway::Gateway(Options options) : m_d(std::make_unique<Private>(std::move(options))) { }

Gateway::~Gateway() = default;

void Gateway::handle(const HttpExchangePtr &exchange)
{
    if (m_d->leaving)
        exchange->closeAfterAnswer();
    const auto byMethod = m_d->routes.find(exchange->path());
    if (byMethod == m_d->routes.end()) {
        m_d->request(exchange);
        return;
    }
    const auto route = byMethod->second.find(exchange->method());
    if (route != byMethod->second.end())
        route->second(exchange);
    else
        m_d->fail(exchange,
                  {.reason = Reason::MethodNotAllowed,
                   .detail = "this path does not support " + exchange->method()});
}

std::vector<std::string> Gateway::unfinished() const
{
    return m_d->forwarder.unfinished();
}

void Gateway::leave()
{
    m_d->leaving = true;
}

void Gateway::drain()
{
    m_d->draining = true;
}

std::size_t Gateway::inProgress() const
{
    return m_d->forwarder.inProgress();
}

} // namespace catkinloft
