#include "VmListStandin.h"

namespace catkinloft::standin {

VmListStandin::VmListStandin(EventLoop &loop, Duration lag) : m_loop(loop), m_lag(lag)
{
    m_visible["vms"] = Json::Value(Json::arrayValue);
}

void VmListStandin::handle(const HttpExchangePtr &exchange)
{
    if (exchange->path() != "/v1/vms") {
        respondNotFound(*exchange);
    } else if (exchange->method() == "PUT") {
        m_loop.after(m_lag, [this, next = bodyObject(*exchange)] { m_visible = next; });
        exchange->respond(204, {}, {});
    } else {
        respondJson(*exchange, 200, m_visible);
    }
}

} // namespace catkinloft::standin
