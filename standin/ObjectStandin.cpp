#include "ObjectStandin.h"

namespace catkinloft::standin {

bool ObjectStandin::isWrite(const HttpExchange &exchange) const
{
    return exchange.method() != "GET";
}

PlatformStandin::Answer ObjectStandin::answer(const HttpExchange &exchange)
{
    if (exchange.method() == "PUT") {
        m_objects[exchange.path()] = exchange.body();
        return {.status = 204};
    }
    const auto it = m_objects.find(exchange.path());
    if (exchange.method() == "GET" && it != m_objects.end())
        return {.body = it->second};
    return jsonAnswer(404, Json::Value(Json::objectValue));
}

} // namespace catkinloft::standin
