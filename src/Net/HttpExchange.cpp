#include "Net/HttpExchange.h"

#include "Net/internal/Dispatch.h"
#include "Net/internal/ListenerConnection.h"

#include <charconv>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>

namespace catkinloft {

namespace {

std::string_view methodName(evhttp_cmd_type type)
{
    switch (type) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_TRACE:
        return "TRACE";
    case EVHTTP_REQ_CONNECT:
        return "CONNECT";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    }
    return "UNKNOWN";
}

} // namespace

HttpExchange::HttpExchange(evhttp_request *request, internal::ListenerConnection &connection)
    : m_request(request), m_connection(&connection),
      m_method(methodName(evhttp_request_get_command(request))),
      m_target(evhttp_request_get_uri(request))
{
    const std::string_view target = m_target;
    const std::size_t mark = target.find('?');
    m_path = target.substr(0, mark);
    if (mark != std::string_view::npos)
        m_query = target.substr(mark + 1);
    watchConnection();
}

HttpExchange::~HttpExchange()
{
    // A request without an answer would keep its connection open forever. A stream is never
    // destroyed here: it keeps itself alive until it is ended or its connection is closed.
    respond(500, {}, {});
}

void HttpExchange::watchConnection()
{
    m_connection->handedOver(*this);
    m_connection->observeStream();
    // evhttp stops reading while it waits for the answer and would not detect that the caller
    // leaves.
    bufferevent *bev = evhttp_connection_get_bufferevent(evhttp_request_get_connection(m_request));
    bufferevent_setwatermark(bev, EV_READ, 0, internal::ListenerConnection::MaxReadAhead);
    // The caller does not have to send anything while it waits, so there is no read timeout.
    bufferevent_set_timeouts(bev, nullptr, nullptr);
    bufferevent_enable(bev, EV_READ);
    evhttp_request_set_on_complete_cb(m_request, &HttpExchange::answerSent, m_connection);
}

/// Sets the connection up for the next request. What watchConnection() set stays in force until the
/// answer was sent: a caller that doesn't read it could otherwise fill the memory with what it
/// sends.
void HttpExchange::answerSent(evhttp_request *request, void *arg)
{
    auto *connection = static_cast<internal::ListenerConnection *>(arg);
    bufferevent *bev = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
    internal::dispatch("answer_sent", [&] { connection->answered(); });
    bufferevent_set_timeouts(bev, &connection->idleTimeout(), &connection->idleTimeout());
}

void HttpExchange::connectionClosed()
{
    const HttpExchangePtr self = std::exchange(m_keepAlive, nullptr);
    evhttp_request *request = std::exchange(m_request, nullptr);
    const auto closed = std::exchange(m_onClosed, nullptr);
    m_onDrained = nullptr;
    // If evhttp detached the request before it closed the connection, ending the reply frees the
    // request; otherwise evhttp frees it itself.
    if (!evhttp_request_get_connection(request))
        evhttp_send_reply_end(request);
    if (closed)
        internal::dispatch("caller_left", closed);
}

evhttp_request *HttpExchange::takeRequest()
{
    m_connection->answerComplete();
    // From here on only the write timeout ends an answer that the caller doesn't read.
    bufferevent *bev = evhttp_connection_get_bufferevent(evhttp_request_get_connection(m_request));
    bufferevent_set_timeouts(bev, nullptr, &m_connection->idleTimeout());
    evbuffer *body = evhttp_request_get_input_buffer(m_request);
    evbuffer_drain(body, evbuffer_get_length(body));
    m_onClosed = nullptr;
    m_onDrained = nullptr;
    return std::exchange(m_request, nullptr);
}

std::string_view HttpExchange::body() const
{
    if (!m_request)
        return {};
    evbuffer *buf = evhttp_request_get_input_buffer(m_request);
    const std::size_t n = evbuffer_get_length(buf);
    if (n == 0)
        return {};
    return {reinterpret_cast<const char *>(evbuffer_pullup(buf, -1)), n};
}

std::string_view HttpExchange::header(const char *name) const
{
    if (!m_request)
        return {};
    const char *value = evhttp_find_header(evhttp_request_get_input_headers(m_request), name);
    return value ? std::string_view(value) : std::string_view();
}

HttpHeaders HttpExchange::headers() const
{
    HttpHeaders out;
    if (!m_request)
        return out;
    const evkeyvalq *all = evhttp_request_get_input_headers(m_request);
    for (const evkeyval *it = all->tqh_first; it; it = it->next.tqe_next)
        out.emplace_back(it->key, it->value);
    return out;
}

std::string HttpExchange::queryValue(const char *name) const
{
    evkeyvalq params{};
    if (evhttp_parse_query_str(m_query.c_str(), &params) != 0)
        return {};
    const char *value = evhttp_find_header(&params, name);
    std::string out = value ? value : "";
    evhttp_clear_headers(&params);
    return out;
}

std::uint64_t HttpExchange::queryNumber(const char *name) const
{
    const std::string text = queryValue(name);
    std::uint64_t out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

std::string HttpExchange::peer() const
{
    if (!isOpen())
        return {};
    char *host = nullptr;
    std::uint16_t port = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(m_request), &host, &port);
    return fmt::format("{}:{}", host ? host : "", port);
}

void HttpExchange::addHeaders(const HttpHeaders &headers)
{
    evkeyvalq *out = evhttp_request_get_output_headers(m_request);
    for (const auto &[name, value] : headers)
        evhttp_add_header(out, name.c_str(), value.c_str());
    if (m_closeAfter)
        evhttp_add_header(out, "Connection", "close");
}

/// evhttp sends an answer with a length or in chunks unless HTTP/1.0 is used.
bool HttpExchange::isFramed() const
{
    const bool isOld = m_request->major < 1 || (m_request->major == 1 && m_request->minor < 1);
    return !isOld || m_method == "HEAD"
            || evhttp_find_header(evhttp_request_get_output_headers(m_request), "Content-Length");
}

void HttpExchange::respond(int status, const HttpHeaders &headers, std::string_view body)
{
    if (!isOpen() || m_streaming)
        return;
    addHeaders(headers);
    // The caller reads no body after HEAD, and would take its bytes for the next answer.
    if (m_method != "HEAD")
        evbuffer_add(evhttp_request_get_output_buffer(m_request), body.data(), body.size());
    m_connection->answerBegun(isFramed());
    evhttp_send_reply(takeRequest(), status, nullptr, nullptr);
    m_connection->observeStream();
}

void HttpExchange::beginStream(int status, const HttpHeaders &headers)
{
    if (!isOpen())
        return;
    addHeaders(headers);
    m_streaming = true;
    m_keepAlive = shared_from_this();
    // evhttp would state a length of 0 to keep the connection, but only its end ends this answer.
    if (!isFramed())
        evhttp_remove_header(evhttp_request_get_input_headers(m_request), "Connection");
    m_connection->answerBegun(isFramed());
    evhttp_send_reply_start(m_request, status, nullptr);
    m_connection->observeStream();
}

void HttpExchange::write(std::string_view data)
{
    if (!isOpen() || data.empty())
        return;
    evbuffer *buf = evbuffer_new();
    evbuffer_add(buf, data.data(), data.size());
    evhttp_send_reply_chunk_with_cb(
            m_request, buf,
            [](evhttp_connection *, void *arg) {
                auto *self = static_cast<HttpExchange *>(arg);
                internal::dispatch("answer_drained", [&] {
                    // The callback may replace itself, and destroy the exchange.
                    if (const auto drained = self->m_onDrained)
                        drained();
                });
            },
            this);
    evbuffer_free(buf);
    m_connection->observeStream();
}

void HttpExchange::end()
{
    if (!isOpen() || !m_streaming)
        return;
    const HttpExchangePtr self = std::exchange(m_keepAlive, nullptr);
    // evhttp may close the connection at once.
    const auto connection = m_connection->weak_from_this();
    evhttp_send_reply_end(takeRequest());
    if (const auto it = connection.lock())
        it->observeStream();
}

void HttpExchange::abort()
{
    if (!isOpen())
        return;
    const HttpExchangePtr self = std::exchange(m_keepAlive, nullptr);
    m_connection->giveUpAnswer();
    // evhttp sends what was written, then closes the connection because of the header, which is not
    // sent itself, and adds no last chunk to an answer without chunks.
    evkeyvalq *out = evhttp_request_get_output_headers(m_request);
    evhttp_remove_header(out, "Connection");
    evhttp_add_header(out, "Connection", "close");
    m_request->chunked = 0;
    evhttp_send_reply_end(takeRequest());
}

std::size_t HttpExchange::backlog() const
{
    if (!isOpen())
        return 0;
    bufferevent *bev = evhttp_connection_get_bufferevent(evhttp_request_get_connection(m_request));
    return evbuffer_get_length(bufferevent_get_output(bev));
}

} // namespace catkinloft
