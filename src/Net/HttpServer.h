#pragma once

#include "Base/Error.h"
#include "Base/Settings.h"
#include "Net/HttpExchange.h"
#include "Net/UnsentAnswer.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

class EventLoop;
class TlsContext;

class RequestBuffers;

/// \brief An HTTP listener over evhttp.
class HttpServer
{
public:
    using Handler = std::function<void(HttpExchangePtr)>;

    struct Options
    {
        std::string address; ///< `ip:port`; port 0 is not allowed.
        ListenerLimits limits = {};
        /// Called for each connection that was closed because limits.maxConnections was reached.
        std::function<void()> onTooManyConnections = {};
        /// Called for each connection that was closed before its request was handled. \a reason is
        /// `request_memory`, `header_timeout` or `rejected` (malformed or over a limit).
        std::function<void(std::string_view reason)> onConnectionEnded = {};
        /// Header with the id of a request, for the reports on unsent answers; empty: there is
        /// none.
        std::string requestIdHeader = {};
        /// Called for each connection that was closed before the answer to its request was sent,
        /// except those that are open when the listener is destroyed. \sa unsentAnswers()
        std::function<void(AnswerCut reason, const UnsentAnswer &)> onAnswerCut = {};
        /// Called, with errno set, when connections can't be accepted for want of descriptors, or a
        /// connection is closed because no TLS session can be made for it.
        std::function<void()> onAcceptFailed = {};
        /// Memory for the requests of all listeners; null: the listener has a limit of its own.
        RequestBuffers *buffers = nullptr;
        const TlsContext *tls = nullptr; ///< If it has a certificate, callers must use TLS.
    };

    /// \brief Creates the server, which accepts connections only after listen().
    HttpServer(EventLoop &loop, Options options, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// \returns an error if the address cannot be bound.
    Result<void> listen();

    /// \brief Changes the idle timeout of connections from their next request on.
    void setIdleTimeout(Duration timeout);

    /// \brief Changes the time after which a connection is closed whose head has begun and is not
    /// complete.
    void setHeaderTimeout(Duration timeout);

    const std::string &address() const;

    /// \returns the answers that are in progress, and those whose callers have not read them yet.
    std::vector<UnsentAnswer> unsentAnswers() const;

    /// \returns the number of answers that are in progress or have not been received completely.
    std::size_t pendingAnswers() const;

    /// \brief Closes the connections on which no request has begun.
    void closeIdle();

    /// \brief Accepts no more connections; open connections stay open.
    void stopAccepting();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
