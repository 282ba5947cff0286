#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct evhttp_request;

namespace catkinloft {

namespace internal {
class ListenerConnection;
}

using HttpHeader = std::pair<std::string, std::string>;
using HttpHeaders = std::vector<HttpHeader>;

/// \brief One request that a listener received, with the functions to answer it.
///
/// Exists until it has been answered or dropped. After the caller has left, answering is allowed
/// and has no effect. A stream exists until end() or abort() is called, or its connection closes.
/// Views of the request are valid until the answer is complete or given up.
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
    /// \param request owned by evhttp until it is answered.
    /// \param connection on which it was received.
    HttpExchange(evhttp_request *request, internal::ListenerConnection &connection);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    const std::string &method() const { return m_method; }
    const std::string &target() const { return m_target; } ///< As received.
    const std::string &path() const { return m_path; } ///< Without the query, not decoded.
    const std::string &query() const { return m_query; }
    std::string_view body() const;

    /// \returns the value of request header \a name, empty if it is missing.
    std::string_view header(const char *name) const;

    /// \returns all request headers.
    HttpHeaders headers() const;

    /// \returns the decoded value of query parameter \a name, empty if it is missing.
    std::string queryValue(const char *name) const;

    /// \returns query parameter \a name as a number, 0 if it is missing or not a number.
    std::uint64_t queryNumber(const char *name) const;

    /// \returns the caller's `ip:port`.
    std::string peer() const;

    /// \brief Sends a complete answer.
    void respond(int status, const HttpHeaders &headers, std::string_view body);

    /// \brief Starts an answer whose body is sent by write() and completed by end().
    void beginStream(int status, const HttpHeaders &headers);
    void write(std::string_view data);
    void end();

    /// \brief Gives the answer up. What was written is sent, then the connection is closed in a way
    /// that shows the caller that the answer is incomplete: without the last chunk, or by a reset
    /// if the answer has neither chunks nor a length.
    void abort();

    /// \returns the number of bytes written but not yet sent to the caller.
    std::size_t backlog() const;

    /// \brief Closes the connection after the answer, so that the caller connects to another
    /// router.
    void closeAfterAnswer() { m_closeAfter = true; }

    bool isOpen() const { return m_request != nullptr; }
    bool isStreaming() const { return m_streaming; }

    /// \param closed is called once if the caller leaves before the answer is complete.
    void onClosed(std::function<void()> closed) { m_onClosed = std::move(closed); }

    /// \param drained is called each time the backlog has been written completely.
    void onDrained(std::function<void()> drained) { m_onDrained = std::move(drained); }

private:
    friend class internal::ListenerConnection;

    void watchConnection();
    static void answerSent(evhttp_request *request, void *arg);
    void connectionClosed();
    evhttp_request *takeRequest();
    void addHeaders(const HttpHeaders &headers);
    bool isFramed() const;

    evhttp_request *m_request;
    internal::ListenerConnection *m_connection; ///< Valid until the request has been answered.
    std::string m_method;
    std::string m_target;
    std::string m_path;
    std::string m_query;
    bool m_streaming = false;
    bool m_closeAfter = false;
    std::shared_ptr<HttpExchange> m_keepAlive; ///< While a stream is open.
    std::function<void()> m_onClosed;
    std::function<void()> m_onDrained;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

} // namespace catkinloft
