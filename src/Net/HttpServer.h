#pragma once

#include "Base/Error.h"
#include "Base/Settings.h"
#include "Net/HttpExchange.h"

#include <functional>
#include <memory>
#include <string>

namespace catkinloft {

class EventLoop;
class TlsContext;

/// \brief An HTTP listener over evhttp.
class HttpServer
{
public:
    using Handler = std::function<void(HttpExchangePtr)>;

    struct Options
    {
        std::string address; ///< `ip:port`; port 0 is not allowed.
        ListenerLimits limits = {};
        /// Told of each connection that was closed because there were limits.maxConnections.
        std::function<void()> onTooManyConnections = {};
        const TlsContext *tls = nullptr; ///< With a certificate: callers have to speak TLS.
    };

    /// \brief Does not listen yet.
    HttpServer(EventLoop &loop, Options options, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// \returns an error where the address can not be bound.
    Result<void> listen();

    /// \brief Changes the longest silence on connections that are accepted from now on.
    void setIdleTimeout(Duration timeout);

    /// \brief Accepts no more connections; open ones go on.
    void stopAccepting();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
