#include "Net/HttpServer.h"

#include "Base/Log.h"
#include "Net/EventLoop.h"
#include "Net/TlsContext.h"
#include "Net/internal/ConnectionLimiter.h"
#include "Net/internal/Dispatch.h"
#include "Net/internal/Timeval.h"
#include "Net/internal/TlsStream.h"

#include <cstdlib>
#include <unordered_map>

#include <sys/socket.h>

#include <event2/buffer.h>
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

/// Sent without TLS to a connection over the limit before it is closed, as far as the socket
/// accepts the bytes at once.
constexpr std::string_view TooManyConnectionsAnswer =
        "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\n"
        "Content-Type: application/problem+json\r\nContent-Length: 53\r\n\r\n"
        R"({"reason":"too_many_connections","verdict":"not_run"})";

/// Bytes beyond the largest request that may be read before evhttp takes it.
constexpr std::size_t InputReserve = 64 * 1024;

/// Bytes that are discarded by one system call.
constexpr std::size_t DiscardedAtOnce = 1 << 20;

/// Discards what \a fd, which was shut down, has received; the kernel accepts nothing after that.
void discardReceived(int fd)
{
    // With MSG_TRUNC, TCP discards the bytes without a copy.
    while (recv(fd, nullptr, DiscardedAtOnce, MSG_DONTWAIT | MSG_TRUNC) > 0) { }
}

} // namespace

struct HttpServer::Private
{
    EventLoop &loop;
    Options options;
    Handler handler;
    evhttp *http = nullptr;
    evhttp_bound_socket *bound = nullptr;
    internal::ConnectionLimiter limiter;
    timeval idleTimeout = internal::toTimeval(options.limits.idleTimeout);
    /// Streams of connections by their input buffer. Those of closed connections are replaced when
    /// their buffer's address is used again.
    std::unordered_map<const evbuffer *, bufferevent *> streams = {};
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    static void onRequest(evhttp_request *request, void *arg)
    {
        auto *d = static_cast<Private *>(arg);
        const auto exchange = std::make_shared<HttpExchange>(request, d->idleTimeout);
        internal::dispatch("request", [&] { d->handler(exchange); });
    }

    bool usesTls() const { return options.tls && options.tls->hasCertificate(); }

    static bufferevent *newStream(event_base *base, void *arg)
    {
        auto *d = static_cast<Private *>(arg);
        bufferevent *out = d->usesTls() ? internal::newServerStream(base, *d->options.tls)
                                        : bufferevent_socket_new(base, -1, 0);
        // Without a stream evhttp would continue without TLS. This happens only if memory is
        // exhausted.
        if (!out)
            std::abort();
        evbuffer *input = bufferevent_get_input(out);
        d->streams[input] = out;
        evbuffer_add_cb(
                input,
                [](evbuffer *buf, const evbuffer_cb_info *info, void *server) {
                    if (info->n_added > 0)
                        static_cast<Private *>(server)->checkInput(buf);
                },
                d);
        evbuffer_add_cb(
                bufferevent_get_output(out),
                [](evbuffer *, const evbuffer_cb_info *, void *server) {
                    static_cast<Private *>(server)->loop.noteProgress();
                },
                d);
        // evhttp sets the descriptor right after this call and does not read before the next
        // iteration of the loop, so it cannot have freed the connection before the callback runs.
        d->loop.post([d, out, there = std::weak_ptr(d->alive)] {
            if (!there.expired())
                d->checkLimit(bufferevent_getfd(out));
        });
        return out;
    }

    /// Closes a connection whose next request can't end within the limits. evhttp has no limit for
    /// the line with the size of a chunk.
    void checkInput(const evbuffer *input)
    {
        loop.noteProgress();
        const std::size_t limit =
                options.limits.maxHeaderBytes + options.limits.maxBodyBytes + InputReserve;
        if (evbuffer_get_length(input) <= limit)
            return;
        const int fd = bufferevent_getfd(streams.at(input));
        shutdown(fd, SHUT_RDWR);
        discardReceived(fd);
    }

    void checkLimit(int fd)
    {
        if (limiter.admit(fd))
            return;
        // The answer promises that no request of this connection runs, but bytes that were received
        // before the shutdown could still be read.
        if (!usesTls())
            send(fd, TooManyConnectionsAnswer.data(), TooManyConnectionsAnswer.size(),
                 MSG_DONTWAIT | MSG_NOSIGNAL);
        // evhttp reads the end and frees the connection by its own rules.
        shutdown(fd, SHUT_RDWR);
        discardReceived(fd);
        if (options.onTooManyConnections)
            options.onTooManyConnections();
    }
};

HttpServer::HttpServer(EventLoop &loop, Options options, Handler handler)
    : m_d(std::make_unique<Private>(
            Private{.loop = loop,
                    .options = options,
                    .handler = std::move(handler),
                    .limiter = internal::ConnectionLimiter(loop, options.limits.maxConnections)}))
{
    m_d->http = evhttp_new(loop.base());
    const ListenerLimits &limits = m_d->options.limits;
    evhttp_set_max_headers_size(m_d->http, static_cast<ev_ssize_t>(limits.maxHeaderBytes));
    evhttp_set_max_body_size(m_d->http, static_cast<ev_ssize_t>(limits.maxBodyBytes));
    evhttp_set_timeout_tv(m_d->http, &m_d->idleTimeout);
    evhttp_set_allowed_methods(m_d->http, AllowedMethods);
    evhttp_set_default_content_type(m_d->http, nullptr);
    evhttp_set_bevcb(m_d->http, &Private::newStream, m_d.get());
    evhttp_set_gencb(m_d->http, &Private::onRequest, m_d.get());
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
    return Error{.detail = fmt::format("cannot listen on '{}'", m_d->options.address)};
}

void HttpServer::setIdleTimeout(Duration timeout)
{
    m_d->idleTimeout = internal::toTimeval(timeout);
    evhttp_set_timeout_tv(m_d->http, &m_d->idleTimeout);
}

void HttpServer::stopAccepting()
{
    if (m_d->bound)
        evhttp_del_accept_socket(m_d->http, std::exchange(m_d->bound, nullptr));
}

} // namespace catkinloft
