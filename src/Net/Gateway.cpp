#include "Net/Gateway.h"

#include "Base/Hash.h"
#include "Base/Log.h"
#include "Decide/Refusal.h"
#include "Net/EventLoop.h"
#include "Request/AuthenticateFilter.h"
#include "Request/ChatRequest.h"
#include "Request/IdentifyFilter.h"
#include "Request/Problem.h"

#include <charconv>
#include <map>
#include <optional>

#include <fmt/format.h>

namespace catkinloft {

namespace {

const HttpHeaders JsonType = {{"Content-Type", "application/json"}};

using Route = std::function<void(const HttpExchangePtr &)>;

} // namespace

struct Gateway::Private
{
    explicit Private(Options o);

    void addRoutes();
    void request(const HttpExchangePtr &exchange);
    void refuse(const RequestPtr &request, const HttpExchangePtr &exchange, const Error &error);
    void fail(const HttpExchangePtr &exchange, const Error &error);
    void where(const HttpExchangePtr &exchange);
    void status(const HttpExchangePtr &exchange);
    void explain(const HttpExchangePtr &exchange);
    void readConfig(const HttpExchangePtr &exchange);
    void writeConfig(const HttpExchangePtr &exchange);
    std::optional<std::string> operatorOf(const HttpExchangePtr &exchange);

    std::uint64_t revision() const
    {
        return options.config.current() ? options.config.current()->revision : 0;
    }

    Options options;
    FilterChain chain;
    Forwarder forwarder;
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
                                  const Error &error) { refuse(request, exchange, error); }})
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
    addRoutes();
}

void Gateway::Private::addRoutes()
{
    routes["/healthz"]["GET"] = [](const HttpExchangePtr &it) { it->respond(200, {}, "ok\n"); };
    routes["/readyz"]["GET"] = [this](const HttpExchangePtr &it) {
        const bool ready = options.config.current() && !leaving;
        it->respond(ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n");
    };
    routes["/metrics"]["GET"] = [this](const HttpExchangePtr &it) {
        it->respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, options.metrics.print());
    };
    routes["/v1/where"]["GET"] = [this](const HttpExchangePtr &it) { where(it); };
    routes["/v1/status"]["GET"] = [this](const HttpExchangePtr &it) { status(it); };
    routes["/v1/explain"]["GET"] = [this](const HttpExchangePtr &it) { explain(it); };
    routes["/v1/config"]["GET"] = [this](const HttpExchangePtr &it) { readConfig(it); };
    routes["/v1/config"]["PUT"] = [this](const HttpExchangePtr &it) { writeConfig(it); };
}

void Gateway::Private::request(const HttpExchangePtr &exchange)
{
    auto context = std::make_shared<RequestContext>();
    context->method = exchange->method();
    context->path = exchange->path();
    context->query = exchange->query();
    context->body = exchange->body();
    context->header = [it = exchange.get()](const char *name) { return it->header(name); };
    context->arrived = options.loop.now();
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
    exchange->respond(reasonInfo(error.reason).status, out,
                      Problem::body(error, request->id, token));
}

void Gateway::Private::fail(const HttpExchangePtr &exchange, const Error &error)
{
    options.metrics.refused(error.reason);
    exchange->respond(reasonInfo(error.reason).status,
                      {{"Content-Type", "application/problem+json"}}, Problem::body(error, {}, {}));
}

void Gateway::Private::where(const HttpExchangePtr &exchange)
{
    const InventoryPtr inventory = options.config.current();
    if (!inventory) {
        fail(exchange, {.reason = Reason::NotReady, .detail = "no configuration yet"});
        return;
    }
    const std::string chat = exchange->queryValue("chat");
    const std::string workspace = exchange->queryValue("workspace");
    const std::uint64_t key = chat.empty() && workspace.empty()
            ? options.random()
            : hashCombine(hash64(workspace), hash64(chat));
    const RouterView &router = options.directory.routerFor(key);
    exchange->respond(200, JsonType,
                      fmt::format("{{\"address\":\"{}\",\"router\":{},\"lifetime_ms\":{}}}\n",
                                  router.callerAddress, jsonQuoted(router.name),
                                  inventory->rules.addressLifetime.count() / 1'000'000));
}

void Gateway::Private::status(const HttpExchangePtr &exchange)
{
    if (!operatorOf(exchange)) {
        fail(exchange, {.reason = Reason::OperatorOnly, .detail = "an operator's key is needed"});
        return;
    }
    std::string list;
    for (const RouterView &it : options.directory.routers()) {
        list += fmt::format(R"({}{{"name":{},"address":{},"failure_domain":{},"leaving":{}}})",
                            list.empty() ? "" : ",", jsonQuoted(it.name),
                            jsonQuoted(it.callerAddress), jsonQuoted(it.failureDomain), it.leaving);
    }
    exchange->respond(200, JsonType,
                      fmt::format(R"({{"router":{},"revision":{},"in_progress":{},"routers":[{}]}})"
                                  "\n",
                                  jsonQuoted(options.settings.name), revision(),
                                  forwarder.inProgress(), list));
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

std::optional<std::string> Gateway::Private::operatorOf(const HttpExchangePtr &exchange)
{
    const InventoryPtr inventory = options.config.current();
    const std::string_view key = AuthenticateFilter::bearerKey(exchange->header("Authorization"));
    if (key.empty())
        return std::nullopt;
    const std::string hash = sha256Hex(key);
    if (!inventory) {
        // Without a configuration there are no operators; the settings name who sets the first.
        const bool known = constantTimeEqual(hash, options.settings.bootstrapKeySha256);
        return known ? std::optional<std::string>("bootstrap") : std::nullopt;
    }
    const Operator *found = inventory->operatorByKey(hash);
    return found ? std::optional(found->name) : std::nullopt;
}

void Gateway::Private::readConfig(const HttpExchangePtr &exchange)
{
    if (!operatorOf(exchange)) {
        fail(exchange, {.reason = Reason::OperatorOnly, .detail = "an operator's key is needed"});
        return;
    }
    exchange->respond(
            200,
            {{"Content-Type", "application/yaml"}, {"ETag", fmt::format("\"{}\"", revision())}},
            options.config.text());
}

void Gateway::Private::writeConfig(const HttpExchangePtr &exchange)
{
    const auto author = operatorOf(exchange);
    if (!author) {
        fail(exchange, {.reason = Reason::OperatorOnly, .detail = "an operator's key is needed"});
        return;
    }
    std::string_view base = exchange->header("If-Match");
    if (base.size() > 1 && base.front() == '"')
        base = base.substr(1, base.size() - 2);
    std::uint64_t revision = 0;
    const auto [end, ec] = std::from_chars(base.data(), base.data() + base.size(), revision);
    if (ec != std::errc() || end != base.data() + base.size()) {
        fail(exchange,
             {.reason = Reason::MalformedRequest,
              .detail = "expected If-Match with the revision that was changed"});
        return;
    }
    options.config.propose({.text = std::string(exchange->body()),
                            .base = revision,
                            .changeId = std::string(exchange->header(headers::IdempotencyKey)),
                            .author = *author},
                           [this, exchange](Result<std::uint64_t> result) {
                               if (!result) {
                                   fail(exchange, result.error());
                                   return;
                               }
                               exchange->respond(
                                       200, JsonType,
                                       fmt::format("{{\"revision\":{}}}\n", result.value()));
                           });
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
                   .detail = "this path is not for " + exchange->method()});
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
