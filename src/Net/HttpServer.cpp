#include "Net/HttpServer.h"

#include "Base/Log.h"
#include "Net/EventLoop.h"
#include "Net/TlsContext.h"
#include "Net/internal/Timeval.h"
#include "Net/internal/TlsStream.h"

#include <cstdlib>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <fmt/format.h>

namespace catkinloft {

namespace {

constexpr evhttp_cmd_type operator|(evhttp_cmd_type a, evhttp_cmd_type b)
{
    return static_cast<evhttp_cmd_type>(static_cast<unsigned>(a) | static_cast<unsigned>(b));
}

constexpr evhttp_cmd_type AllowedMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT
        | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS;

} // namespace

struct HttpServer::Private
{
    EventLoop &loop;
    Options options;
    Handler handler;
    evhttp *http = nullptr;
    evhttp_bound_socket *bound = nullptr;

    static void onRequest(evhttp_request *request, void *arg)
    {
        auto *d = static_cast<Private *>(arg);
        d->handler(std::make_shared<HttpExchange>(request));
    }

    static bufferevent *newTlsStream(event_base *base, void *arg)
    {
        bufferevent *out =
                internal::newServerStream(base, *static_cast<Private *>(arg)->options.tls);
        // evhttp would go on in the clear without a stream; that takes no memory left at all.
        if (!out)
            std::abort();
        return out;
    }
};

HttpServer::HttpServer(EventLoop &loop, Options options, Handler handler)
    : m_d(std::make_unique<Private>(Private{loop, std::move(options), std::move(handler)}))
{
    m_d->http = evhttp_new(loop.base());
    const ListenerLimits &limits = m_d->options.limits;
    evhttp_set_max_headers_size(m_d->http, static_cast<ev_ssize_t>(limits.maxHeaderBytes));
    evhttp_set_max_body_size(m_d->http, static_cast<ev_ssize_t>(limits.maxBodyBytes));
    const timeval tv = internal::toTimeval(limits.idleTimeout);
    evhttp_set_timeout_tv(m_d->http, &tv);
    evhttp_set_allowed_methods(m_d->http, AllowedMethods);
    evhttp_set_default_content_type(m_d->http, nullptr);
    evhttp_set_gencb(m_d->http, &Private::onRequest, m_d.get());
    if (m_d->options.tls && m_d->options.tls->hasCertificate())
        evhttp_set_bevcb(m_d->http, &Private::newTlsStream, m_d.get());
}

HttpServer::~HttpServer()
{
    evhttp_free(m_d->http);
}

Result<void> HttpServer::listen()
{
    const auto endpoint = parseEndpoint(m_d->options.address);
    if (endpoint) {
        m_d->bound =
                evhttp_bind_socket_with_handle(m_d->http, endpoint->host.c_str(), endpoint->port);
    }
    if (m_d->bound)
        return outcome::success();
    return Error{.detail = fmt::format("can not listen on '{}'", m_d->options.address)};
}

void HttpServer::stopAccepting()
{
    if (m_d->bound)
        evhttp_del_accept_socket(m_d->http, std::exchange(m_d->bound, nullptr));
}

} // namespace catkinloft
