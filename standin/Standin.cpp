#include "Standin.h"

#include "Base/Json.h"

namespace catkinloft::standin {

Json::Value bodyObject(const HttpExchange &exchange)
{
    const Result<Json::Value> parsed = parseJsonObject(exchange.body());
    return parsed ? parsed.value() : Json::Value(Json::objectValue);
}

void respondJson(HttpExchange &exchange, int status, const Json::Value &value)
{
    exchange.respond(status, {{"Content-Type", "application/json"}}, printJson(value) + "\n");
}

void respondNotFound(HttpExchange &exchange)
{
    respondJson(exchange, 404, Json::Value(Json::objectValue));
}

} // namespace catkinloft::standin
