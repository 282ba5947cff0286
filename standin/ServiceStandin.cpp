#include "ServiceStandin.h"

#include "Base/Json.h"

#include <cstdlib>

namespace catkinloft::standin {

ServiceStandin::ServiceStandin(Options options)
    : m_options(std::move(options)), m_record(m_options.recordFile)
{ }

void ServiceStandin::handle(const HttpExchangePtr &exchange)
{
    if (exchange->path() == "/v1/executions") {
        Json::Value out;
        out["executions"] = m_executions;
        respondJson(*exchange, 200, out);
        return;
    }
    if (exchange->path() == "/v1/load") {
        Json::Value out;
        out["calls"] = m_calls;
        respondJson(*exchange, 200, out);
        return;
    }
    ++m_calls;
    if (m_options.refuseEvery > 0 && m_calls % m_options.refuseEvery == 0) {
        exchange->respond(503, {{"X-Request-Id", std::string(exchange->header("X-Request-Id"))}},
                          {});
        return;
    }
    execute(exchange);
}

void ServiceStandin::execute(const HttpExchangePtr &exchange)
{
    Json::Value record;
    record["request_id"] = std::string(exchange->header("X-Request-Id"));
    record["authorization"] = std::string(exchange->header("Authorization"));
    record["idempotency_key"] = std::string(exchange->header("Idempotency-Key"));
    record["method"] = exchange->method();
    record["path"] = exchange->path();
    record["body"] = std::string(exchange->body());
    if (m_options.recorded) {
        m_executions.append(record);
        m_record.add(record);
    }
    if (exchange->body() == FatalBody) {
        m_options.loop.after(m_options.serviceTime,
                             [held = exchange] { std::_Exit(EXIT_FAILURE); });
        return;
    }
    record["service"] = m_options.name;
    record["execution"] = m_calls;
    const HttpHeaders headers{{"Content-Type", "application/json"},
                              {"X-Request-Id", std::string(exchange->header("X-Request-Id"))}};
    if (m_options.serviceTime <= Duration::zero()) {
        exchange->respond(200, headers, printJson(record));
        return;
    }
    m_options.loop.after(m_options.serviceTime, [exchange, headers, record] {
        exchange->respond(200, headers, printJson(record));
    });
}

} // namespace catkinloft::standin
