#include "Net/internal/HttpConnection.h"

#include "Base/YamlSection.h"
#include "Net/EventLoop.h"
#include "Net/internal/Dispatch.h"
#include "Net/internal/ForeignAnswerFilter.h"
#include "Net/internal/SocketBytes.h"
#include "Net/internal/TlsStream.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <optional>
#include <strings.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

namespace catkinloft::internal {

namespace {

constexpr std::size_t MaxAnswerHeaderBytes = 64 * 1024;

/// Longest heads of one answer together: the final one, interim ones, and what is read with them.
constexpr std::size_t MaxHeadBytes = 2 * MaxAnswerHeaderBytes;

/// Longest line with the size of a chunk and its extensions, for which evhttp has no limit.
constexpr std::size_t MaxChunkLineBytes = 16 * 1024;

/// Requests that a connection remembers as failed. After more it isn't used again.
constexpr std::size_t MaxFailedIds = 64;

constexpr int Continue = 100;

std::optional<evhttp_cmd_type> commandOf(std::string_view method)
{
    if (method == "GET")
        return EVHTTP_REQ_GET;
    if (method == "POST")
        return EVHTTP_REQ_POST;
    if (method == "PUT")
        return EVHTTP_REQ_PUT;
    if (method == "DELETE")
        return EVHTTP_REQ_DELETE;
    if (method == "PATCH")
        return EVHTTP_REQ_PATCH;
    if (method == "HEAD")
        return EVHTTP_REQ_HEAD;
    if (method == "OPTIONS")
        return EVHTTP_REQ_OPTIONS;
    return std::nullopt;
}

/// \returns whether a receiver expects a body after \a method, so that its absence is stated too.
bool expectsBody(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

bool isFraming(const std::string &header)
{
    return strcasecmp(header.c_str(), "Content-Length") == 0
            || strcasecmp(header.c_str(), "Transfer-Encoding") == 0;
}

HttpHead headOf(evhttp_request *request)
{
    HttpHead head{.status = evhttp_request_get_response_code(request)};
    const evkeyvalq *all = evhttp_request_get_input_headers(request);
    for (const evkeyval *it = all->tqh_first; it; it = it->next.tqe_next)
        head.headers.emplace_back(it->key, it->value);
    return head;
}

std::optional<std::size_t> contentLength(const HttpHead &head)
{
    const std::string_view text = head.header("Content-Length");
    std::size_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (text.empty() || ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return n;
}

/// \returns whether lengths are stated that differ. evhttp reads the body by the first of them.
bool hasConflictingLengths(const HttpHead &head)
{
    const std::string_view first = head.header("Content-Length");
    return std::any_of(head.headers.begin(), head.headers.end(), [&](const HttpHeader &it) {
        return strcasecmp(it.first.c_str(), "Content-Length") == 0 && it.second != first;
    });
}

/// \returns the `timeout` parameter of the Keep-Alive header, if there is one.
std::optional<Duration> keepAliveOf(const HttpHead &head)
{
    constexpr std::string_view Parameter = "timeout=";
    std::string_view text = head.header("Keep-Alive");
    const std::size_t at = text.find(Parameter);
    if (at == std::string_view::npos)
        return std::nullopt;
    text.remove_prefix(at + Parameter.size());
    int seconds = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (ec != std::errc() || seconds < 0)
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

bool isInterim(int status)
{
    return status >= 100 && status < 200;
}

bool hasNoBody(int status)
{
    return status == 204 || status == 304 || isInterim(status);
}

std::uint64_t nextNumber()
{
    static std::atomic<std::uint64_t> last = 0;
    return ++last;
}

} // namespace

std::unique_ptr<HttpConnection> HttpConnection::open(EventLoop &loop, const std::string &address)
{
    return std::unique_ptr<HttpConnection>(new HttpConnection(loop, address, nullptr));
}

std::unique_ptr<HttpConnection>
HttpConnection::openSecure(EventLoop &loop, const std::string &address, const TlsContext *tls)
{
    const auto endpoint = parseEndpoint(address);
    bufferevent *stream =
            tls && endpoint ? newClientStream(loop.base(), *tls, endpoint->host) : nullptr;
    std::unique_ptr<HttpConnection> out(new HttpConnection(loop, address, stream));
    out->m_noSession = !stream;
    return out;
}

HttpConnection::HttpConnection(EventLoop &loop, const std::string &address, bufferevent *stream)
    : m_loop(loop), m_number(nextNumber())
{
    const Endpoint endpoint = parseEndpoint(address).value_or(Endpoint{"0.0.0.0", 0});
    m_connection = evhttp_connection_base_bufferevent_new(loop.base(), nullptr, stream,
                                                          endpoint.host.c_str(), endpoint.port);
    evhttp_connection_set_max_headers_size(m_connection, MaxAnswerHeaderBytes);
    // HttpClient applies the timeouts of the call; the default of evhttp would end long streams.
    evhttp_connection_set_timeout(m_connection, 24 * 3600);
    evhttp_connection_set_closecb(
            m_connection,
            [](evhttp_connection *, void *arg) {
                auto *self = static_cast<HttpConnection *>(arg);
                self->m_reusable = false;
                self->m_isClosedUnread = self->isRequestUnread();
            },
            this);
    evbuffer *out = bufferevent_get_output(evhttp_connection_get_bufferevent(m_connection));
    evbuffer_add_cb(
            out,
            [](evbuffer *, const evbuffer_cb_info *info, void *arg) {
                auto *self = static_cast<HttpConnection *>(arg);
                self->m_bytesSent += info->n_deleted;
                self->m_loop.noteProgress();
            },
            this);
    evbuffer_add_cb(
            bufferevent_get_input(evhttp_connection_get_bufferevent(m_connection)),
            [](evbuffer *, const evbuffer_cb_info *info, void *arg) {
                if (info->n_added == 0)
                    return;
                auto *self = static_cast<HttpConnection *>(arg);
                self->m_loop.noteProgress();
                self->handle([&] { self->onInput(info->n_added); });
            },
            this);
}

HttpConnection::~HttpConnection()
{
    detach();
    if (m_request)
        evhttp_cancel_request(m_request);
    evhttp_connection_set_closecb(m_connection, nullptr, nullptr);
    evhttp_connection_free(m_connection);
}

void HttpConnection::setSourceIp(const std::string &ip)
{
    evhttp_connection_set_local_address(m_connection, ip.c_str());
}

void HttpConnection::start(const HttpCall &call, AnswerBuffers::Share &share, HttpCallEvents events)
{
    m_events = std::move(events);
    m_endGuard = std::make_shared<bool>(true);
    m_bytesSent = 0;
    m_bytesReceived = 0;
    m_headBytes = 0;
    m_statusLine = {};
    m_hasHead = false;
    m_isInterim = false;
    m_heldBytes = 0;
    m_answerBytes = 0;
    m_status = 0;
    m_forwardsStream = call.forwardsStream;
    m_share = &share;
    m_delimited = false;
    m_headOnly = call.method == "HEAD";
    m_answerId = call.answerId;
    m_isIdentified = false;
    m_foreign.reset();
    if (!m_isFirstRequest && !m_answerId.second.empty())
        m_foreign = std::make_unique<ForeignAnswerFilter>(
                ForeignAnswerFilter::Options{.header = m_answerId.first,
                                             .id = m_answerId.second,
                                             .headId = m_headId,
                                             .maxBytes = call.maxBodyBytes});
    m_isFirstRequest = false;
    if (m_headOnly)
        m_headId = m_answerId.second;
    m_acceptsUnframed = call.acceptsUnframed;
    m_isClosedUnread = false;
    m_length.reset();
    m_errorCode = -1;
    evhttp_connection_set_max_body_size(m_connection, static_cast<ev_ssize_t>(call.maxBodyBytes));
    if (m_noSession) {
        // Never falls back to a connection without TLS.
        m_reusable = false;
        fail(Reason::UpstreamUnreachable, "no certificates to verify the upstream with");
        return;
    }
    const std::optional<evhttp_cmd_type> command = commandOf(call.method);
    if (!command) {
        m_reusable = false;
        fail(Reason::Internal, "the method of the request is not known");
        return;
    }
    m_request = evhttp_request_new(
            [](evhttp_request *request, void *arg) {
                auto *self = static_cast<HttpConnection *>(arg);
                self->m_request = nullptr;
                self->handle([&] { self->onDone(request); });
            },
            this);
    evhttp_request_set_header_cb(m_request, [](evhttp_request *request, void *arg) {
        auto *self = static_cast<HttpConnection *>(arg);
        self->handle([&] { self->onHead(request); });
        return 0;
    });
    evhttp_request_set_chunked_cb(m_request, [](evhttp_request *request, void *arg) {
        auto *self = static_cast<HttpConnection *>(arg);
        self->handle([&] { self->onData(evhttp_request_get_input_buffer(request)); });
    });
    evhttp_request_set_error_cb(m_request, [](evhttp_request_error error, void *arg) {
        static_cast<HttpConnection *>(arg)->m_errorCode = error;
    });
    evkeyvalq *out = evhttp_request_get_output_headers(m_request);
    // The length is that of the bytes that are sent. evhttp states it only for some methods, and
    // takes over any that is given.
    for (const auto &[name, value] : call.headers) {
        if (!isFraming(name))
            evhttp_add_header(out, name.c_str(), value.c_str());
    }
    if (!call.body.empty() || expectsBody(call.method))
        evhttp_add_header(out, "Content-Length", std::to_string(call.body.size()).c_str());
    if (!evhttp_find_header(out, "Host"))
        evhttp_add_header(out, "Host", call.address.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(m_request), call.body.data(), call.body.size());
    // When evhttp can't send a request, it frees it after some failures but not if no socket can be
    // bound, contrary to its documentation. It must not free it before that is known.
    evhttp_request *request = m_request;
    evhttp_request_own(request);
    const bool isSent =
            evhttp_make_request(m_connection, request, *command, call.target.c_str()) == 0;
    if (isSent && m_request) {
        request->flags &= ~EVHTTP_USER_OWNED;
        return;
    }
    evhttp_request_free(request);
    if (isSent)
        return; // The request has failed and onDone() was called.
    m_request = nullptr;
    m_reusable = false;
    fail(Reason::UpstreamUnreachable, "no socket could be created for the connection");
}

bool HttpConnection::isReusable() const
{
    bufferevent *bev = evhttp_connection_get_bufferevent(m_connection);
    return m_reusable && !m_request && evbuffer_get_length(bufferevent_get_input(bev)) == 0;
}

bool HttpConnection::hasReceivedBytes() const
{
    return m_answerBytes > 0 || (m_foreign && m_foreign->holdsHead());
}

bool HttpConnection::hasFailed(std::string_view id) const
{
    if (id.empty())
        return !m_failedIds.empty();
    return std::find(m_failedIds.begin(), m_failedIds.end(), id) != m_failedIds.end();
}

void HttpConnection::detach()
{
    m_events = {};
    m_share = nullptr;
    m_endGuard.reset();
}

void HttpConnection::setReading(bool enabled)
{
    bufferevent *bev = evhttp_connection_get_bufferevent(m_connection);
    if (enabled)
        bufferevent_enable(bev, EV_READ);
    else
        bufferevent_disable(bev, EV_READ);
}

/// Runs the code of a callback of evhttp. If that fails, the call can't go on: a part of its answer
/// would be missing.
template<typename Handle>
void HttpConnection::handle(const Handle &it) noexcept
{
    if (!dispatch("answer", it))
        dispatch("answer", [this] { failInvalid("handling the answer failed"); });
}

/// Removes what isn't for the request in progress from the \a n new bytes, before evhttp reads
/// them.
void HttpConnection::onInput(std::size_t n)
{
    if (m_isFiltering)
        return;
    evbuffer *input = bufferevent_get_input(evhttp_connection_get_bufferevent(m_connection));
    if (m_request && m_foreign) {
        if (!isReadable(input))
            return;
        n = evbuffer_get_length(input);
    }
    onArrived(n);
}

/// \returns whether the input is that of the own answer.
bool HttpConnection::isReadable(evbuffer *input)
{
    m_isFiltering = true;
    const bool out = m_foreign->filter(input);
    m_isFiltering = false;
    if (m_foreign->discarded() > 0)
        m_reusable = false;
    if (out)
        m_foreign.reset();
    else if (m_events.onEnd && (m_foreign->hasFailed() || !m_share->resize(m_foreign->heldBytes())))
        failInvalid("the answer to another request is malformed or too long");
    return out;
}

/// Checks the limits and the status before evhttp has read the \a n new bytes.
void HttpConnection::onArrived(std::size_t n)
{
    if (!m_request || !m_events.onEnd)
        return;
    std::string_view problem = exceededLimit(n);
    if (problem.empty() && !checkStatusLine(n))
        problem = "the status of the answer is not a number from 100 to 599";
    if (problem.empty())
        return;
    failInvalid(std::string(problem));
}

/// \returns whether the status lines in the last \a n bytes of the input, as far as they have
/// arrived, state statuses.
bool HttpConnection::checkStatusLine(std::size_t n)
{
    if (m_statusLine.isDone())
        return true;
    evbuffer *input = bufferevent_get_input(evhttp_connection_get_bufferevent(m_connection));
    evbuffer_ptr begin;
    if (evbuffer_ptr_set(input, &begin, evbuffer_get_length(input) - n, EVBUFFER_PTR_SET) != 0)
        return false;
    std::string bytes(n, '\0');
    evbuffer_copyout_from(input, &begin, bytes.data(), n);
    return m_statusLine.feed(bytes);
}

/// \returns which limit the answer exceeds with \a n new bytes, empty if none; only those that
/// evhttp doesn't have.
std::string_view HttpConnection::exceededLimit(std::size_t n)
{
    bufferevent *bev = evhttp_connection_get_bufferevent(m_connection);
    const std::size_t unread = evbuffer_get_length(bufferevent_get_input(bev));
    m_answerBytes += n;
    // evhttp reads an answer that comes early only when the whole request was sent.
    const bool isSending = evbuffer_get_length(bufferevent_get_output(bev)) > 0;
    if (!m_hasHead && !isSending) {
        m_headBytes += n;
        if (m_headBytes > MaxHeadBytes)
            return "the heads of the answer are longer than the limit";
    } else if (m_hasHead && m_request->chunked && m_request->ntoread < 0
               && unread > MaxChunkLineBytes + n) {
        return "the size line of a chunk is longer than the limit";
    }
    if (!countBuffered())
        return "the answer is longer than the memory that is left for answers";
    return {};
}

bool HttpConnection::countBuffered()
{
    bufferevent *bev = evhttp_connection_get_bufferevent(m_connection);
    const std::size_t unread = evbuffer_get_length(bufferevent_get_input(bev));
    const bool isForwarded = m_forwardsStream && m_hasHead && !m_length && m_status / 100 == 2;
    return m_share->resize(isForwarded ? unread + m_heldBytes : m_answerBytes);
}

bool HttpConnection::hold(std::size_t n)
{
    m_heldBytes = n;
    return !m_share || countBuffered();
}

void HttpConnection::onHead(evhttp_request *request)
{
    if (!m_events.onEnd)
        return; // The call has failed; evhttp reads what had arrived before.
    HttpHead head = headOf(request);
    // evhttp goes on reading after 100 only, and takes any other interim answer for the final one.
    // The fields of its interim head would count as those of the final one.
    if (head.status == Continue)
        return evhttp_clear_headers(evhttp_request_get_input_headers(request));
    m_isInterim = isInterim(head.status);
    if (m_isInterim)
        return;
    m_hasHead = true;
    m_status = head.status;
    const std::string_view id = head.header(m_answerId.first);
    m_isIdentified = !id.empty() && id == m_answerId.second;
    if (hasConflictingLengths(head)) {
        m_reusable = false;
        return fail(Reason::UpstreamInvalid, "the answer states two lengths");
    }
    // Without a body, the length is that of the answer to another method or condition.
    if (!m_headOnly && !hasNoBody(head.status))
        m_length = contentLength(head);
    m_delimited = m_headOnly || hasNoBody(head.status) || m_length
            || !head.header("Transfer-Encoding").empty();
    head.isUnframed = !m_delimited;
    if (!head.header("Connection").empty()
        && strcasecmp(std::string(head.header("Connection")).c_str(), "close") == 0)
        m_reusable = false;
    m_keepAlive = keepAliveOf(head).value_or(m_keepAlive);
    if (m_events.onHead)
        m_events.onHead(head);
}

void HttpConnection::onData(evbuffer *body)
{
    const std::size_t n = evbuffer_get_length(body);
    m_bytesReceived += n;
    if (m_events.onEnd && m_events.onData && n > 0)
        m_events.onData({reinterpret_cast<const char *>(evbuffer_pullup(body, -1)), n});
}

void HttpConnection::onDone(evhttp_request *request)
{
    if (!m_events.onEnd)
        return; // The call has failed before.
    if (const std::string refusal = handshakeFailure(); !refusal.empty()) {
        m_reusable = false;
        fail(Reason::UpstreamUnreachable, refusal);
    } else if (!request || m_errorCode >= 0) {
        m_reusable = false;
        if (m_errorCode == EVREQ_HTTP_DATA_TOO_LONG)
            fail(Reason::UpstreamInvalid, "the answer is longer than the limit");
        else if (m_errorCode == EVREQ_HTTP_INVALID_HEADER)
            fail(Reason::UpstreamInvalid, "the head of the answer is malformed");
        else
            fail(Reason::UpstreamBroken, "the connection broke");
    } else if (evhttp_request_get_response_code(request) == 0) {
        m_reusable = false;
        fail(Reason::UpstreamUnreachable, "the connection was not established");
    } else {
        succeed(request);
    }
}

void HttpConnection::succeed(evhttp_request *request)
{
    if (m_isInterim) {
        m_reusable = false;
        return fail(Reason::UpstreamInvalid, "the answer begins with an interim answer");
    }
    onData(evhttp_request_get_input_buffer(request));
    if (!m_delimited)
        m_reusable = false; // The end of the connection ended the answer.
    noteFailure();
    if (!m_delimited && !m_acceptsUnframed) {
        fail(Reason::UpstreamBroken, "the answer has neither a length nor chunks");
    } else if (!m_delimited && m_status / 100 == 2 && isRequestUnread()) {
        fail(Reason::UpstreamBroken,
             "the answer without a length ended before the request was sent");
    } else if (m_length && m_bytesReceived != *m_length) {
        m_reusable = false;
        fail(Reason::UpstreamBroken, "the length of the answer differs from its Content-Length");
    } else {
        end(outcome::success());
    }
}

/// \returns whether the other system has not received all of the request, or has reset the
/// connection after its end. The end of an answer without a length can't be told from an abort
/// then. All that it had received is acknowledged by the segment with which it ended the
/// connection.
bool HttpConnection::isRequestUnread() const
{
    const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(m_connection));
    if (fd < 0)
        return m_isClosedUnread;
    int error = 0;
    socklen_t size = sizeof error;
    return unacknowledgedBytes(fd) > 0
            || (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error != 0);
}

/// Without an id nothing tells a late copy of a failure from the answer to the next request.
void HttpConnection::noteFailure()
{
    if (m_status / 100 == 2)
        return;
    if (m_isIdentified)
        m_failedIds.push_back(m_answerId.second);
    if (!m_isIdentified || m_failedIds.size() > MaxFailedIds)
        m_reusable = false;
}

std::string HttpConnection::handshakeFailure() const
{
    return m_bytesSent == 0 ? tlsHandshakeError(evhttp_connection_get_bufferevent(m_connection))
                            : "";
}

void HttpConnection::fail(Reason reason, std::string detail)
{
    end(Error{
            .reason = reason, .verdict = verdict(), .detail = std::move(detail), .retryAfter = {}});
}

/// Reads no more of an answer that can't be used.
void HttpConnection::failInvalid(std::string detail)
{
    m_reusable = false;
    setReading(false);
    fail(Reason::UpstreamInvalid, std::move(detail));
}

void HttpConnection::end(Result<void> result)
{
    const auto onEnd = std::exchange(m_events.onEnd, nullptr);
    // The receiver may start the next request on this connection or return it to the pool, so onEnd
    // is called outside of evhttp's stack.
    m_loop.post([onEnd, guard = std::weak_ptr(m_endGuard), result = std::move(result)]() mutable {
        if (onEnd && !guard.expired())
            onEnd(std::move(result));
    });
}

} // namespace catkinloft::internal
