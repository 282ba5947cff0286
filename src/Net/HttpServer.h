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
        /// Called for each connection that was closed because limits.maxConnections was reached.
        std::function<void()> onTooManyConnections = {};
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

    /// \brief Accepts no more connections; open connections stay open.
    void stopAccepting();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
