#include "ReplicaStandin.h"

#include "Base/Hash.h"

#include <cstdlib>

#include <fmt/format.h>

namespace catkinloft::standin {

namespace {

std::string textOf(std::string_view view)
{
    return std::string(view);
}

} // namespace

ReplicaStandin::ReplicaStandin(Options options)
    : m_options(std::move(options)), m_record(m_options.recordFile),
      m_random(seededRandom(hash64(m_options.id)))
{ }

std::string ReplicaStandin::signatureOf(const std::string &id, const std::string &body)
{
    return fmt::format("{:x}", hash64(id + body));
}

double ReplicaStandin::setting(const char *name) const
{
    const auto it = m_faults.find(name);
    return it == m_faults.end() ? 0 : it->second;
}

bool ReplicaStandin::happens(const char *fault)
{
    return m_faults.contains(fault) && uniform(m_random) < setting(fault);
}

HttpHeaders ReplicaStandin::withState(HttpHeaders headers) const
{
    if (setting("leaving") > 0)
        headers.emplace_back("Server-Leaving", "1");
    return headers;
}

void ReplicaStandin::turnAway(const HttpExchangePtr &exchange, const std::string &retryAfter)
{
    record(*exchange, true);
    HttpHeaders headers{{"X-Request-Id", textOf(exchange->header("X-Request-Id"))},
                        {"X-Not-Executed", "1"}};
    if (!retryAfter.empty())
        headers.emplace_back("Retry-After", retryAfter);
    exchange->respond(503, withState(headers), {});
}

void ReplicaStandin::handle(const HttpExchangePtr &exchange)
{
    if (exchange->path() == "/v1/control")
        return control(exchange);
    const std::string meant = textOf(exchange->header("X-Target-Instance"));
    if (!meant.empty() && meant != m_options.id)
        return exchange->respond(421, withState({{"X-Instance-Id", m_options.id}}), {});
    if (const double ms = setting("pause_ms"); ms > 0)
        return turnAway(exchange, fmt::format("{:.3f}", ms / 1000));
    if (happens("refuse"))
        return turnAway(exchange, {});
    record(*exchange);
    if (exchange->body() == FatalBody || isAboveColdPace())
        return endProcess(exchange);
    if (happens("hang")) {
        // The callback holds the exchange open until the caller closes the connection.
        exchange->onClosed([held = exchange] {});
        return;
    }
    if (happens("lose"))
        return exchange->abort();
    if (!exchange->queryValue("events").empty())
        startStream(exchange);
    else
        answerCall(exchange);
}

void ReplicaStandin::endProcess(const HttpExchangePtr &exchange)
{
    if (!exchange->queryValue("events").empty())
        exchange->beginStream(200, headersOf(*exchange, {}));
    // The exchange is kept alive because destroying it would send an answer.
    m_options.loop.after(m_options.serviceTime, [held = exchange] { std::_Exit(EXIT_FAILURE); });
}

bool ReplicaStandin::isAboveColdPace()
{
    const double pace = setting("cold_per_s");
    const TimePoint now = m_options.loop.now();
    m_arrivals.push_back(now);
    while (now - m_arrivals.front() > std::chrono::seconds(1))
        m_arrivals.pop_front();
    return pace > 0 && static_cast<double>(m_arrivals.size()) > 2 * pace;
}

void ReplicaStandin::control(const HttpExchangePtr &exchange)
{
    // A replica that is leaving stays so.
    std::erase_if(m_faults, [](const auto &it) { return it.first != "leaving"; });
    const Json::Value request = bodyObject(*exchange);
    for (const std::string &name : request.getMemberNames())
        m_faults[name] = request[name].asDouble();
    exchange->respond(204, {}, {});
}

void ReplicaStandin::record(const HttpExchange &exchange, bool turnedAway)
{
    Json::Value out(Json::objectValue);
    out["turned_away"] = turnedAway;
    out["pause_ms"] = turnedAway ? setting("pause_ms") : 0;
    out["id"] = textOf(exchange.header("X-Request-Id"));
    out["replica"] = m_options.id;
    out["method"] = exchange.method();
    out["path"] = exchange.path();
    out["body"] = textOf(exchange.body());
    out["workspace"] = textOf(exchange.header("X-Tenant"));
    out["key_seen"] = !exchange.header("Authorization").empty();
    out["resumed"] = !exchange.header("Last-Event-Id").empty();
    out["at_ms"] = static_cast<Json::Int64>(m_options.loop.wallNow().time_since_epoch().count());
    m_record.add(out);
}

HttpHeaders ReplicaStandin::headersOf(const HttpExchange &exchange, const std::string &body) const
{
    const std::string id = textOf(exchange.header("X-Request-Id"));
    return withState({{"X-Request-Id", id},
                      {"X-Response-Signature", signatureOf(id, body)},
                      {"X-Server-Load", "1,0,8"},
                      {"Keep-Alive", "timeout=5"}});
}

void ReplicaStandin::answerCall(const HttpExchangePtr &exchange)
{
    const std::string body =
            fmt::format("{} answered by {}", exchange->header("X-Request-Id"), m_options.id);
    const int status = happens("fail") ? 500 : 200;
    m_options.loop.after(m_options.serviceTime,
                         [exchange, status, body, headers = headersOf(*exchange, body)] {
                             exchange->respond(status, headers, body);
                         });
}

void ReplicaStandin::startStream(const HttpExchangePtr &exchange)
{
    const std::string last = textOf(exchange->header("Last-Event-Id"));
    auto stream = std::make_shared<Stream>();
    stream->exchange = exchange;
    stream->last = std::atoi(exchange->queryValue("events").c_str());
    stream->next = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
    if (happens("cut"))
        stream->cutAt = stream->next + 1;
    HttpHeaders headers = headersOf(*exchange, {});
    headers.emplace_back("Content-Type", "text/event-stream");
    exchange->beginStream(200, headers);
    continueStream(stream);
}

void ReplicaStandin::continueStream(const std::shared_ptr<Stream> &stream)
{
    if (!stream->exchange->isOpen())
        return;
    if (stream->next > stream->last) {
        stream->exchange->end();
        return;
    }
    const std::string event = fmt::format("id: {}\ndata: piece {}\n\n", stream->next, stream->next);
    if (stream->next == stream->cutAt) {
        stream->exchange->write(event.substr(0, event.size() / 2));
        m_options.loop.after(m_options.eventInterval, [stream] { stream->exchange->abort(); });
        return;
    }
    stream->exchange->write(event);
    ++stream->next;
    m_options.loop.after(m_options.eventInterval, [this, stream] { continueStream(stream); });
}

} // namespace catkinloft::standin
