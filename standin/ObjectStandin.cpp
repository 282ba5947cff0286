#include "ObjectStandin.h"

namespace catkinloft::standin {

void ObjectStandin::handle(const HttpExchangePtr &exchange)
{
    if (exchange->method() == "PUT") {
        m_objects[exchange->path()] = exchange->body();
        exchange->respond(204, {}, {});
        return;
    }
    const auto it = m_objects.find(exchange->path());
    if (exchange->method() == "GET" && it != m_objects.end())
        exchange->respond(200, {}, it->second);
    else
        respondNotFound(*exchange);
}

} // namespace catkinloft::standin
