#include "PlatformStandin.h"

#include "Base/Json.h"

namespace catkinloft::standin {

PlatformStandin::PlatformStandin(Options options)
    : m_options(options), m_reads{.limit = options.readsPerSecond},
      m_writes{.limit = options.writesPerSecond}
{ }

PlatformStandin::Answer PlatformStandin::jsonAnswer(int status, const Json::Value &value)
{
    return {.status = status,
            .headers = {{"Content-Type", "application/json"}},
            .body = printJson(value) + "\n"};
}

void PlatformStandin::handle(const HttpExchangePtr &exchange)
{
    if (exchange->path() == "/v1/control") {
        control(exchange);
        return;
    }
    if (exchange->path() == "/v1/counters") {
        Json::Value out(Json::objectValue);
        for (const auto &[name, n] : m_counters)
            out[name] = static_cast<Json::UInt64>(n);
        respondJson(*exchange, 200, out);
        return;
    }
    if (isExempt(*exchange)) {
        const Answer it = answer(*exchange);
        exchange->respond(it.status, it.headers, it.body);
        return;
    }
    if (m_mode == Mode::Down) {
        ++m_counters["cut"];
        exchange->abort();
        return;
    }
    const bool write = isWrite(*exchange);
    ++m_counters[write ? "writes" : "reads"];
    if (isOverRate(write ? m_writes : m_reads)) {
        ++m_counters["limited"];
        exchange->respond(429, {{"Retry-After", "1"}}, {});
        return;
    }
    if (!defer(exchange))
        deliver(exchange, answer(*exchange));
}

void PlatformStandin::deliver(const HttpExchangePtr &exchange, const Answer &answer)
{
    if (m_mode == Mode::Down) {
        exchange->abort();
    } else if (m_mode == Mode::LoseAnswers) {
        ++m_counters["lost_answers"];
        exchange->abort();
    } else if (m_mode == Mode::Slow) {
        loop().after(m_delay, [exchange, answer] {
            exchange->respond(answer.status, answer.headers, answer.body);
        });
    } else {
        exchange->respond(answer.status, answer.headers, answer.body);
    }
}

bool PlatformStandin::isOverRate(Rate &rate) const
{
    const std::int64_t second = loop().wallNow().time_since_epoch().count() / 1000;
    if (rate.second != second)
        rate = {.limit = rate.limit, .second = second, .used = 0};
    rate.used += 1;
    return rate.used > rate.limit;
}

void PlatformStandin::control(const HttpExchangePtr &exchange)
{
    static const std::map<std::string, Mode> modes = {{"up", Mode::Up},
                                                      {"down", Mode::Down},
                                                      {"slow", Mode::Slow},
                                                      {"lose_answers", Mode::LoseAnswers}};
    const Json::Value request = bodyObject(*exchange);
    const auto mode = modes.find(request["mode"].isString() ? request["mode"].asString() : "");
    if (mode == modes.end()) {
        exchange->respond(400, {}, {});
        return;
    }
    m_mode = mode->second;
    if (request["delay_ms"].isInt())
        m_delay = std::chrono::milliseconds(request["delay_ms"].asInt());
    exchange->respond(204, {}, {});
}

} // namespace catkinloft::standin
