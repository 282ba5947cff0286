#include "EngineStandin.h"

#include <charconv>

#include <fmt/format.h>

namespace catkinloft::standin {

namespace {

/// Time after the last token in which a stream can still be resumed.
constexpr Duration StreamLifetime = std::chrono::seconds(30);

constexpr std::string_view StreamPrefix = "/v1/streams/";
constexpr std::string_view KvPrefix = "kv1:";

int parseNumber(std::string_view text, int fallback)
{
    int out = fallback;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

} // namespace

EngineStandin::EngineStandin(Options options)
    : m_options(std::move(options)), m_cache({.clock = m_options.loop,
                                              .capacity = m_options.cacheTokens,
                                              .eventLag = m_options.eventLag}),
      m_orders(m_options.checksFencing, m_options.model), m_record(m_options.recordFile)
{
    addRoutes();
}

void EngineStandin::addRoutes()
{
    m_routes["/v1/chat/completions"] = [this](const HttpExchangePtr &it) { complete(it); };
    m_routes["/v1/load"] = [this](const HttpExchangePtr &it) { respondJson(*it, 200, load()); };
    m_routes["/v1/cache-events"] = [this](const HttpExchangePtr &it) {
        const int after = parseNumber(it->queryValue("after"), 0);
        respondJson(*it, 200, m_cache.events(static_cast<std::uint64_t>(after)));
    };
    m_routes["/v1/orders"] = [this](const HttpExchangePtr &it) {
        if (it->method() == "POST") {
            m_orders.order(it);
            return;
        }
        Json::Value out;
        out["orders"] = m_orders.history();
        respondJson(*it, 200, out);
    };
    m_routes["/v1/state"] = [this](const HttpExchangePtr &it) {
        respondJson(*it, 200, m_orders.state());
    };
    m_routes["/v1/kv/export"] = [this](const HttpExchangePtr &it) { exportKv(it); };
    m_routes["/v1/kv/import"] = [this](const HttpExchangePtr &it) { importKv(it); };
    m_routes["/v1/executions"] = [this](const HttpExchangePtr &it) {
        Json::Value out;
        out["executions"] = m_executions;
        respondJson(*it, 200, out);
    };
}

void EngineStandin::handle(const HttpExchangePtr &exchange)
{
    const auto route = m_routes.find(exchange->path());
    if (route != m_routes.end())
        route->second(exchange);
    else if (exchange->path().starts_with(StreamPrefix))
        stream(exchange);
    else
        respondNotFound(*exchange);
}

void EngineStandin::complete(const HttpExchangePtr &exchange)
{
    const std::optional<EngineRequest> request = EngineRequest::parse(*exchange);
    if (!request) {
        Json::Value out;
        out["error"] = "the body is not a chat request";
        respondJson(*exchange, 400, out);
        return;
    }
    const auto it = std::make_shared<Generation>(*request, exchange);
    if (!request->id.empty())
        m_streams[request->id] = it;
    m_waiting.emplace(request->priority, it);
    startNext();
}

void EngineStandin::stream(const HttpExchangePtr &exchange)
{
    const auto found = m_streams.find(exchange->path().substr(StreamPrefix.size()));
    const bool cancels = exchange->method() == "DELETE";
    if (found == m_streams.end() || (!cancels && !found->second->request().streamed)) {
        respondNotFound(*exchange);
    } else if (cancels) {
        found->second->cancel();
        exchange->respond(204, {}, {});
    } else {
        found->second->resume(exchange, parseNumber(exchange->header("Last-Event-ID"), -1));
    }
}

void EngineStandin::exportKv(const HttpExchangePtr &exchange)
{
    const Json::Value request = bodyObject(*exchange);
    const double tokens =
            request["chat"].isString() ? m_cache.tokensOf(request["chat"].asString()) : 0;
    if (tokens <= 0) {
        respondNotFound(*exchange);
        return;
    }
    Json::Value out;
    out["blob"] = fmt::format("{}{}", KvPrefix, static_cast<int>(tokens));
    respondJson(*exchange, 200, out);
}

void EngineStandin::importKv(const HttpExchangePtr &exchange)
{
    const Json::Value request = bodyObject(*exchange);
    const std::string blob = request["blob"].isString() ? request["blob"].asString() : "";
    const bool known = blob.starts_with(KvPrefix) && request["chat"].isString();
    const int tokens = known ? parseNumber(std::string_view(blob).substr(KvPrefix.size()), 0) : 0;
    if (tokens > 0)
        m_cache.use(request["chat"].asString(), tokens);
    Json::Value out;
    out["imported"] = tokens > 0;
    respondJson(*exchange, tokens > 0 ? 200 : 400, out);
}

void EngineStandin::startNext()
{
    while (m_running < m_options.slots && !m_waiting.empty()) {
        const GenerationPtr it = m_waiting.extract(m_waiting.begin()).mapped();
        const EngineRequest &request = it->request();
        ++m_running;
        m_runningTokens += request.promptTokens + request.outputTokens;
        it->cachedTokens = m_cache.use(request.chat, request.promptTokens);
        Json::Value record;
        record["request_id"] = request.id;
        record["echo"] = request.echo;
        record["by"] = m_options.name;
        record["work"] = request.promptTokens - it->cachedTokens + request.outputTokens;
        record["chat"] = request.chat;
        record["prompt_tokens"] = request.promptTokens;
        record["cached_tokens"] = it->cachedTokens;
        m_executions.append(record);
        m_record.add(record);
        const double prefill = (request.promptTokens - it->cachedTokens) / m_options.prefillRate;
        m_options.loop.after(fromSeconds(prefill), [this, it] { nextToken(it); });
    }
}

Duration EngineStandin::tokenTime() const
{
    const double share = static_cast<double>(m_running) / m_options.slots;
    return scaled(m_options.tokenTime, 1 + m_options.batchSlowdown * share);
}

void EngineStandin::nextToken(const GenerationPtr &it)
{
    if (it->produce())
        m_options.loop.after(tokenTime(), [this, it] { nextToken(it); });
    else
        finish(it);
}

void EngineStandin::finish(const GenerationPtr &it)
{
    it->complete();
    --m_running;
    m_runningTokens -= it->request().promptTokens + it->request().outputTokens;
    scheduleStreamExpiry(it);
    startNext();
}

void EngineStandin::scheduleStreamExpiry(const GenerationPtr &it)
{
    m_options.loop.after(StreamLifetime, [this, it] {
        const auto found = m_streams.find(it->request().id);
        if (found != m_streams.end() && found->second == it)
            m_streams.erase(found);
    });
}

const Json::Value &EngineStandin::load()
{
    const TimePoint now = m_options.loop.now();
    if (m_load.isNull() || now - m_loadAt >= m_options.loadLag) {
        m_loadAt = now;
        m_load["running"] = m_running;
        m_load["waiting"] = static_cast<int>(m_waiting.size());
        m_load["tokens"] = m_runningTokens;
        m_load["as_of_ms"] =
                static_cast<Json::Int64>(m_options.loop.wallNow().time_since_epoch().count());
    }
    return m_load;
}

} // namespace catkinloft::standin
