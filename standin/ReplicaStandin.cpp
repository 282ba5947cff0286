#include "ReplicaStandin.h"

#include "Base/Hash.h"

#include <algorithm>
#include <cstdlib>

#include <fmt/format.h>

namespace catkinloft::standin {

using namespace std::chrono_literals;

namespace {

std::string toString(std::string_view view)
{
    return std::string(view);
}

bool hasFatalPart(const HttpExchange &exchange)
{
    const std::string_view prompt = exchange.header("X-Prompt-Prefix");
    return prompt.substr(0, prompt.rfind(',')).find(FatalPart) != std::string_view::npos
            && prompt.find(',') != std::string_view::npos;
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

std::string ReplicaStandin::eventText(int n, const std::string &version)
{
    return fmt::format("id: {}\ndata: piece {}{}{}\n\n", n, n, version.empty() ? "" : " ", version);
}

double ReplicaStandin::faultValue(const char *name) const
{
    const auto it = m_faults.find(name);
    return it == m_faults.end() ? 0 : it->second;
}

bool ReplicaStandin::shouldInject(const char *fault)
{
    return m_faults.contains(fault) && uniform(m_random) < faultValue(fault);
}

HttpHeaders ReplicaStandin::withStateHeaders(HttpHeaders headers) const
{
    if (faultValue("leaving") > 0)
        headers.emplace_back("Server-Leaving", "1");
    if (const double n = faultValue("brittle"); n > 0)
        headers.emplace_back("Server-Brittle", fmt::format("{:.0f}", n));
    return headers;
}

void ReplicaStandin::refuse(const HttpExchangePtr &exchange, const std::string &retryAfter)
{
    record(*exchange, Arrival::Refused);
    HttpHeaders headers{{"X-Request-Id", toString(exchange->header("X-Request-Id"))},
                        {"X-Not-Executed", "1"}};
    if (!retryAfter.empty())
        headers.emplace_back("Retry-After", retryAfter);
    if (slots() > 0)
        headers.emplace_back("X-Server-Load", loadReport());
    exchange->respond(503, withStateHeaders(headers), {});
}

void ReplicaStandin::refuseMisdirected(const HttpExchangePtr &exchange)
{
    HttpHeaders headers{{"X-Instance-Id", m_options.id}};
    // The probes of the routers have none.
    if (const std::string id = toString(exchange->header("X-Request-Id")); !id.empty()) {
        headers.emplace_back("X-Request-Id", id);
        record(*exchange, Arrival::Misdirected);
    }
    exchange->respond(421, withStateHeaders(headers), {});
}

void ReplicaStandin::handle(const HttpExchangePtr &exchange)
{
    if (exchange->path() == "/v1/control")
        return control(exchange);
    const std::string targetId = toString(exchange->header("X-Target-Instance"));
    if (!targetId.empty() && targetId != m_options.id)
        return refuseMisdirected(exchange);
    if (exchange->path() == "/health")
        return exchange->respond(200, {{"X-Instance-Id", m_options.id}}, {});
    if (const double ms = faultValue("pause_ms"); ms > 0)
        return refuse(exchange, fmt::format("{:.3f}", ms / 1000));
    if (shouldInject("refuse"))
        return refuse(exchange, {});
    if (!hasRoom())
        return rejectForLackOfRoom(exchange);
    record(*exchange, Arrival::Executed);
    if (exchange->body() == FatalBody || hasFatalPart(*exchange) || exceedsColdRateLimit())
        return crash(exchange);
    if (shouldInject("hang")) {
        // The callback holds the exchange open until the caller closes the connection.
        exchange->onClosed([held = exchange] {});
        return;
    }
    if (shouldInject("lose"))
        return exchange->abort();
    if (slots() > 0 && m_running >= slots())
        m_waiting.push_back(exchange);
    else
        execute(exchange);
}

int ReplicaStandin::slots() const
{
    const int set = static_cast<int>(faultValue("slots"));
    return set > 0 ? set : m_options.slots;
}

int ReplicaStandin::queueLength() const
{
    const bool isShort = faultValue("brittle") > 0
            && m_options.loop.now() - m_brittleSince
                    >= fromSeconds(faultValue("brittle_after_ms") / 1000);
    const char *name = isShort ? "brittle_queue" : "queue";
    return m_faults.contains(name) ? static_cast<int>(faultValue(name)) : m_options.queue;
}

bool ReplicaStandin::hasRoom()
{
    std::erase_if(m_waiting, [](const HttpExchangePtr &it) { return !it->isOpen(); });
    return slots() <= 0 || m_running < slots()
            || static_cast<int>(m_waiting.size()) < queueLength();
}

void ReplicaStandin::rejectForLackOfRoom(const HttpExchangePtr &exchange)
{
    refuse(exchange, {});
    const TimePoint now = m_options.loop.now();
    m_rejections.push_back(now);
    while (now - m_rejections.front() >= 1s)
        m_rejections.pop_front();
    const double limit = faultValue("brittle");
    if (limit > 0 && static_cast<double>(m_rejections.size()) > limit)
        std::_Exit(EXIT_FAILURE);
}

std::string ReplicaStandin::loadReport() const
{
    if (slots() <= 0)
        return fmt::format("1,0,8,{}", pacePercent());
    return fmt::format("{},{},{},{}", m_running, m_waiting.size(), slots(), pacePercent());
}

void ReplicaStandin::execute(const HttpExchangePtr &exchange)
{
    ++m_running;
    if (!exchange->queryValue("events").empty())
        startStream(exchange);
    else
        answerCall(exchange);
}

void ReplicaStandin::releaseSlot()
{
    --m_running;
    while (!m_waiting.empty()) {
        const HttpExchangePtr next = m_waiting.front();
        m_waiting.pop_front();
        if (next->isOpen())
            return execute(next);
    }
}

void ReplicaStandin::crash(const HttpExchangePtr &exchange)
{
    if (!exchange->queryValue("events").empty())
        exchange->beginStream(200, headersOf(*exchange, {}));
    // The exchange is kept alive because destroying it would send an answer.
    m_options.loop.after(m_options.serviceTime, [held = exchange] { std::_Exit(EXIT_FAILURE); });
}

bool ReplicaStandin::exceedsColdRateLimit()
{
    const double rateLimit = faultValue("cold_per_s");
    const TimePoint now = m_options.loop.now();
    m_arrivals.push_back(now);
    while (now - m_arrivals.front() > std::chrono::seconds(1))
        m_arrivals.pop_front();
    return rateLimit > 0 && static_cast<double>(m_arrivals.size()) > 2 * rateLimit;
}

void ReplicaStandin::control(const HttpExchangePtr &exchange)
{
    if (faultValue("brittle") <= 0)
        m_brittleSince = m_options.loop.now();
    // A replica that is leaving stays so.
    std::erase_if(m_faults, [](const auto &it) { return it.first != "leaving"; });
    const Json::Value request = bodyObject(*exchange);
    for (const std::string &name : request.getMemberNames())
        m_faults[name] = request[name].asDouble();
    exchange->respond(204, {}, {});
}

void ReplicaStandin::record(const HttpExchange &exchange, Arrival arrival)
{
    Json::Value out(Json::objectValue);
    out["turned_away"] = arrival != Arrival::Executed;
    out["misdirected"] = arrival == Arrival::Misdirected;
    out["pause_ms"] = arrival == Arrival::Refused ? faultValue("pause_ms") : 0;
    out["id"] = toString(exchange.header("X-Request-Id"));
    out["replica"] = m_options.id;
    out["method"] = exchange.method();
    out["path"] = exchange.path();
    out["body"] = toString(exchange.body());
    out["workspace"] = toString(exchange.header("X-Tenant"));
    out["priority"] = toString(exchange.header("X-Request-Priority"));
    out["key_seen"] = !exchange.header("Authorization").empty();
    out["resumed"] = !exchange.header("Last-Event-Id").empty();
    out["at_ms"] = static_cast<Json::Int64>(m_options.loop.wallNow().time_since_epoch().count());
    m_record.add(out);
}

HttpHeaders ReplicaStandin::headersOf(const HttpExchange &exchange, const std::string &body) const
{
    const std::string id = toString(exchange.header("X-Request-Id"));
    return withStateHeaders({{"X-Request-Id", id},
                             {"X-Response-Signature", signatureOf(id, body)},
                             {"X-Server-Load", loadReport()},
                             {"Keep-Alive", "timeout=5"}});
}

/// The machine of a replica is shared and changes its pace several times a second.
int ReplicaStandin::pacePercent() const
{
    constexpr int Usual = 100;
    constexpr int Slow = 250;
    const auto period = m_options.loop.wallNow().time_since_epoch() / 600ms;
    return hash64(fmt::format("{} {}", m_options.id, period)) % 6 == 0 ? Slow : Usual;
}

void ReplicaStandin::answerCall(const HttpExchangePtr &exchange)
{
    std::string body =
            fmt::format("{} answered by {}", exchange->header("X-Request-Id"), m_options.id);
    body.resize(std::max(body.size(), std::size_t(exchange->queryNumber("bytes"))), '.');
    const int status = shouldInject("fail") ? 500 : 200;
    const auto work = static_cast<double>(exchange->queryNumber("work_ms"));
    const double ms = work > 0 ? work : faultValue("call_ms");
    const Duration time = ms > 0 ? fromSeconds(ms / 1000) : m_options.serviceTime;
    m_options.loop.after(time, [this, exchange, status, body] {
        exchange->respond(status, headersOf(*exchange, body), body);
        releaseSlot();
    });
}

void ReplicaStandin::startStream(const HttpExchangePtr &exchange)
{
    const std::string last = toString(exchange->header("Last-Event-Id"));
    auto stream = std::make_shared<Stream>();
    stream->exchange = exchange;
    stream->last = std::atoi(exchange->queryValue("events").c_str());
    stream->next = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
    const int gap = std::atoi(exchange->queryValue("gap_ms").c_str());
    stream->interval = gap > 0 ? std::chrono::milliseconds(gap) : m_options.eventInterval;
    if (shouldInject("cut"))
        stream->cutAt = stream->next + 1;
    HttpHeaders headers = headersOf(*exchange, {});
    headers.emplace_back("Content-Type", "text/event-stream");
    exchange->beginStream(200, headers);
    continueStream(stream);
}

void ReplicaStandin::continueStream(const std::shared_ptr<Stream> &stream)
{
    if (!stream->exchange->isOpen())
        return releaseSlot();
    if (stream->next > stream->last) {
        stream->exchange->end();
        return releaseSlot();
    }
    const std::string event = eventText(stream->next, m_options.version);
    if (stream->next == stream->cutAt) {
        stream->exchange->write(event.substr(0, event.size() / 2));
        m_options.loop.after(stream->interval, [this, stream] {
            stream->exchange->abort();
            releaseSlot();
        });
        return;
    }
    stream->exchange->write(event);
    ++stream->next;
    m_options.loop.after(stream->interval, [this, stream] { continueStream(stream); });
}

} // namespace catkinloft::standin
