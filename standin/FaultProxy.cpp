#include "FaultProxy.h"

#include "SocketAddress.h"

#include <stdexcept>

#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>

namespace catkinloft::standin {

FaultProxy::FaultProxy(Options options)
    : m_options(std::move(options)), m_udp({.loop = m_options.loop,
                                            .faults = m_faults,
                                            .listen = m_options.listen,
                                            .target = m_options.target})
{
    const sockaddr_in address = socketAddress(m_options.listen);
    m_listener = evconnlistener_new_bind(
            m_options.loop.base(),
            [](evconnlistener *, int fd, sockaddr *, int, void *arg) {
                static_cast<FaultProxy *>(arg)->accepted(fd);
            },
            this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, -1,
            reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (!m_listener)
        throw std::runtime_error("cannot listen on TCP address " + m_options.listen);
}

FaultProxy::~FaultProxy()
{
    m_links.clear();
    evconnlistener_free(m_listener);
}

void FaultProxy::accepted(int fd)
{
    ++m_accepted;
    if (m_faults.refuse) {
        evutil_closesocket(fd);
        return;
    }
    m_links.push_back(std::make_unique<TcpLink>(
            TcpLink::Options{.loop = m_options.loop,
                             .faults = m_faults,
                             .target = m_options.target,
                             .closed =
                                     [this](TcpLink *gone) {
                                         m_links.remove_if(
                                                 [&](const auto &it) { return it.get() == gone; });
                                     }},
            fd));
}

void FaultProxy::handle(const HttpExchangePtr &exchange)
{
    if (exchange->path() != "/v1/faults") {
        respondNotFound(*exchange);
        return;
    }
    if (exchange->method() == "POST") {
        const Json::Value request = bodyObject(*exchange);
        set(request);
        applyToOpenLinks(request);
    }
    Json::Value out;
    out["open"] = static_cast<Json::UInt64>(m_links.size());
    out["accepted"] = m_accepted;
    out["lose_answers"] = m_faults.loseAnswers;
    respondJson(*exchange, 200, out);
}

void FaultProxy::set(const Json::Value &request)
{
    if (request["clear"].isBool() && request["clear"].asBool())
        m_faults = {};
    if (request["delay_ms"].isInt())
        m_faults.delay = std::chrono::milliseconds(request["delay_ms"].asInt());
    if (request["drop"].isNumeric())
        m_faults.drop = request["drop"].asDouble();
    if (request["refuse"].isBool())
        m_faults.refuse = request["refuse"].asBool();
    if (request["lose_answers"].isInt())
        m_faults.loseAnswers = request["lose_answers"].asInt();
    if (request["throttle"].isUInt())
        m_faults.throttle = request["throttle"].asUInt();
}

void FaultProxy::applyToOpenLinks(const Json::Value &request)
{
    const bool silent = request["silent"].isBool() && request["silent"].asBool();
    const bool cut = request["cut"].isBool() && request["cut"].asBool();
    for (const auto &it : m_links) {
        if (silent)
            it->blackhole();
        if (cut)
            it->cut();
    }
}

} // namespace catkinloft::standin
