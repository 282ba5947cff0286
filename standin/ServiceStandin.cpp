#include "ServiceStandin.h"

namespace catkinloft::standin {

ServiceStandin::ServiceStandin(Options options) : m_options(std::move(options)) { }

void ServiceStandin::handle(const HttpExchangePtr &exchange)
{
    if (exchange->path() == "/v1/executions") {
        Json::Value out;
        out["executions"] = m_executions;
        respondJson(*exchange, 200, out);
        return;
    }
    Json::Value record;
    record["request_id"] = std::string(exchange->header("X-Request-Id"));
    record["idempotency_key"] = std::string(exchange->header("Idempotency-Key"));
    record["method"] = exchange->method();
    record["path"] = exchange->path();
    m_executions.append(record);
    record["service"] = m_options.name;
    record["execution"] = m_executions.size();
    const HttpHeaders headers{{"Content-Type", "application/json"},
                              {"X-Request-Id", std::string(exchange->header("X-Request-Id"))}};
    m_options.loop.after(m_options.serviceTime, [exchange, headers, record] {
        exchange->respond(200, headers, Json::writeString(Json::StreamWriterBuilder(), record));
    });
}

} // namespace catkinloft::standin
