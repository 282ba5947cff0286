#include "Net/HttpServer.h"

#include "Base/Log.h"
#include "Decide/RequestBuffers.h"
#include "Net/EventLoop.h"
#include "Net/Timer.h"
#include "Net/TlsContext.h"
#include "Net/internal/Dispatch.h"
#include "Net/internal/LingeringClose.h"
#include "Net/internal/ListenerConnection.h"
#include "Net/internal/SocketBytes.h"
#include "Net/internal/Timeval.h"
#include "Net/internal/TlsStream.h"

#include <algorithm>
#include <cerrno>
#include <functional>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>

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

/// Sent to a connection over the limit, unless it uses TLS.
constexpr std::string_view TooManyConnectionsAnswer =
        "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\n"
        "Content-Type: application/problem+json\r\nContent-Length: 53\r\n\r\n"
        R"({"reason":"too_many_connections","verdict":"not_run"})";

/// Interval of checks for heads that take too long.
constexpr Duration HeadCheckInterval = std::chrono::milliseconds(250);

/// Time without accepting connections after a failure. The listening socket stays readable, so that
/// the event loop would spin otherwise.
constexpr Duration AcceptPause = std::chrono::milliseconds(100);

/// \returns what to call when a listener can't accept. evhttp passes itself to the callback.
std::unordered_map<const void *, std::function<void()>> &listeners()
{
    static thread_local std::unordered_map<const void *, std::function<void()>> all;
    return all;
}

std::string_view endReason(internal::ListenerConnection::End it)
{
    switch (it) {
    case internal::ListenerConnection::End::Memory:
        return "request_memory";
    case internal::ListenerConnection::End::HeaderTimeout:
        return "header_timeout";
    case internal::ListenerConnection::End::Rejected:
        return "rejected";
    }
    return {};
}

} // namespace

struct HttpServer::Private
{
    using Connection = internal::ListenerConnection;
    using StreamPtr = std::unique_ptr<bufferevent, decltype(&bufferevent_free)>;

    Private(EventLoop &l, Options o, Handler h)
        : loop(l), options(std::move(o)), handler(std::move(h))
    { }

    EventLoop &loop;
    Options options;
    Handler handler;
    evhttp *http = nullptr;
    evhttp_bound_socket *bound = nullptr;
    bool isClosing = false; ///< The listener is being destroyed.
    RequestBuffers ownBuffers{loop};
    internal::LingeringClose lingering{loop};
    timeval idleTimeout = internal::toTimeval(options.limits.idleTimeout);
    Connection::Context context{
            .loop = loop,
            .buffers = options.buffers ? *options.buffers : ownBuffers,
            .limits = {.headerBytes = options.limits.maxHeaderBytes,
                       .bodyBytes = options.limits.maxBodyBytes},
            .idleTimeout = idleTimeout,
            .requestIdHeader = options.requestIdHeader,
            .lingering = lingering,
            .onClosed = [this](const evbuffer *input) { connectionClosed(input); },
            .onEnded =
                    [this](Connection::End reason) {
                        if (options.onConnectionEnded)
                            options.onConnectionEnded(endReason(reason));
                    },
            .onAnswerCut =
                    [this](AnswerCut reason, const UnsentAnswer &it) {
                        if (options.onAnswerCut && !isClosing)
                            options.onAnswerCut(reason, it);
                    },
            .onHeadBegun =
                    [this] {
                        if (!headTimer.isPending())
                            startHeadTimer();
                    }};
    std::unordered_map<const evbuffer *, std::shared_ptr<Connection>> connections = {};
    /// Those of the connections that count towards the limit, the others being refused.
    std::unordered_set<const evbuffer *> admitted = {};
    Timer headTimer{loop, [this] { checkHeads(); }};
    TimePoint headCheckDue = {};
    Timer acceptTimer{loop, [this] { setAccepting(true); }};

    static void onRequest(evhttp_request *request, void *arg)
    {
        bool isTaken = false;
        internal::dispatch("request", [&] {
            auto *d = static_cast<Private *>(arg);
            bufferevent *stream =
                    evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
            const auto it = d->connections.find(bufferevent_get_input(stream));
            if (it == d->connections.end())
                return;
            const auto exchange = std::make_shared<HttpExchange>(request, *it->second);
            isTaken = true;
            d->handler(exchange);
        });
        if (!isTaken)
            evhttp_send_error(request, HTTP_INTERNAL, nullptr);
    }

    bool usesTls() const { return options.tls && options.tls->hasCertificate(); }

    static bufferevent *newStream(event_base *base, void *arg)
    {
        bufferevent *out = nullptr;
        internal::dispatch("accept", [&] { out = static_cast<Private *>(arg)->openStream(base); });
        return out;
    }

    /// \returns nullptr only if memory is exhausted. evhttp would go on with a stream of its own,
    /// whose requests onRequest() refuses.
    bufferevent *openStream(event_base *base)
    {
        StreamPtr out(usesTls() ? internal::newServerStream(base, *options.tls) : nullptr,
                      &bufferevent_free);
        // A connection that can't use TLS gets a plain stream, and is closed before it is read.
        const bool isRefused = usesTls() && !out;
        if (!out)
            out.reset(bufferevent_socket_new(base, -1, 0));
        if (!out)
            return nullptr;
        const auto connection = std::make_shared<Connection>(context, out.get());
        const evbuffer *input = bufferevent_get_input(out.get());
        connections.insert_or_assign(input, connection);
        // evhttp sets the descriptor right after this call and does not read before the next
        // iteration of the loop, so it cannot have freed the connection before the callback runs.
        loop.post([this, connection, input, isRefused, there = std::weak_ptr(alive)] {
            if (there.expired())
                return;
            connection->opened();
            isRefused ? refuseStream(connection->fd()) : checkLimit(input, *connection);
        });
        return out.release();
    }

    void connectionClosed(const evbuffer *input)
    {
        admitted.erase(input);
        connections.erase(input);
    }

    void refuseStream(int fd)
    {
        // evhttp reads the end and frees the connection by its own rules.
        shutdown(fd, SHUT_RDWR);
        internal::discardReceived(fd);
        errno = EPROTO;
        if (options.onAcceptFailed)
            options.onAcceptFailed();
    }

    void startHeadTimer()
    {
        headCheckDue = loop.now() + HeadCheckInterval;
        headTimer.start(HeadCheckInterval);
    }

    void checkHeads()
    {
        // After a stall of this process, the rest of a head may be waiting in its socket. It is
        // read before the next check.
        const TimePoint now = loop.now();
        const bool isLate = now - headCheckDue >= HeadCheckInterval;
        while (!isLate && !context.heads.empty()
               && now - context.heads.front()->headSince() >= options.limits.headerTimeout)
            context.heads.front()->end(Connection::End::HeaderTimeout);
        if (!context.heads.empty())
            startHeadTimer();
    }

    void setAccepting(bool isAccepting)
    {
        if (!bound)
            return;
        evconnlistener *listener = evhttp_bound_socket_get_listener(bound);
        isAccepting ? evconnlistener_enable(listener) : evconnlistener_disable(listener);
    }

    void acceptFailed()
    {
        setAccepting(false);
        acceptTimer.start(AcceptPause);
        if (options.onAcceptFailed)
            options.onAcceptFailed();
    }

    void checkLimit(const evbuffer *input, Connection &connection)
    {
        if (admitted.size() < static_cast<std::size_t>(options.limits.maxConnections)) {
            admitted.insert(input);
            return;
        }
        // Without a handshake, there is nothing that a caller with TLS could read.
        connection.refuse(usesTls() ? std::string_view() : TooManyConnectionsAnswer);
        if (options.onTooManyConnections)
            options.onTooManyConnections();
    }

    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

HttpServer::HttpServer(EventLoop &loop, Options options, Handler handler)
    : m_d(std::make_unique<Private>(loop, std::move(options), std::move(handler)))
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
    listeners().erase(m_d->http);
    m_d->isClosing = true;
    evhttp_free(m_d->http);
}

Result<void> HttpServer::listen()
{
    const auto endpoint = parseEndpoint(m_d->options.address);
    if (endpoint) {
        m_d->bound =
                evhttp_bind_socket_with_handle(m_d->http, endpoint->host.c_str(), endpoint->port);
    }
    if (m_d->bound) {
        evconnlistener_set_error_cb(
                evhttp_bound_socket_get_listener(m_d->bound), [](evconnlistener *, void *http) {
                    if (const auto it = listeners().find(http); it != listeners().end())
                        internal::dispatch("accept_failed", it->second);
                });
        listeners()[m_d->http] = [d = m_d.get()] { d->acceptFailed(); };
        return outcome::success();
    }
    return Error{.detail = fmt::format("cannot listen on '{}'", m_d->options.address)};
}

void HttpServer::setIdleTimeout(Duration timeout)
{
    m_d->idleTimeout = internal::toTimeval(timeout);
    evhttp_set_timeout_tv(m_d->http, &m_d->idleTimeout);
}

void HttpServer::setHeaderTimeout(Duration timeout)
{
    m_d->options.limits.headerTimeout = timeout;
}

const std::string &HttpServer::address() const
{
    return m_d->options.address;
}

std::vector<UnsentAnswer> HttpServer::unsentAnswers() const
{
    std::vector<UnsentAnswer> out;
    for (const auto &it : m_d->connections) {
        if (std::optional<UnsentAnswer> unsent = it.second->unsentAnswer())
            out.push_back(std::move(*unsent));
    }
    return out;
}

std::size_t HttpServer::pendingAnswers() const
{
    const auto out = static_cast<std::size_t>(
            std::count_if(m_d->connections.begin(), m_d->connections.end(),
                          [](const auto &it) { return it.second->isAnswerPending(); }));
    return out + m_d->lingering.pendingAnswers();
}

void HttpServer::closeIdle()
{
    for (const auto &it : m_d->connections)
        it.second->closeIfIdle();
}

void HttpServer::stopAccepting()
{
    if (m_d->bound)
        evhttp_del_accept_socket(m_d->http, std::exchange(m_d->bound, nullptr));
}

} // namespace catkinloft
