#pragma once

#include "Base/Error.h"
#include "Net/HttpExchange.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace catkinloft {

class EventLoop;
class TlsContext;

/// \brief A request to send.
struct HttpCall
{
    std::string address; ///< `ip:port`.
    std::string method = "GET";
    std::string target = "/"; ///< Path and query.
    HttpHeaders headers = {};
    std::string body = {};
    Duration timeout = std::chrono::seconds(30); ///< From now to the last byte of the answer.
    Duration progressTimeout = Duration::zero(); ///< Longest silence; zero: only `timeout`.
    Duration firstByteTimeout = Duration::zero(); ///< The same before the body; zero: no other.
    std::size_t maxBodyBytes = 16 * 1024 * 1024; ///< Longest answer taken.
    Duration connectTimeout = Duration::zero(); ///< Until the first byte leaves; zero: `timeout`.
    bool freshConnection = false; ///< Never reuses a connection, which may have gone silent.
    /// Oldest idle connection that is reused; besides, half of what the upstream's Keep-Alive
    /// grants is the limit.
    Duration maxIdleAge = std::chrono::seconds(20);
    bool acceptsUnframed = false; ///< An answer may state no length and end with its connection.
    bool secure = false; ///< Over TLS, to an upstream whose certificate names its address.
};

/// \brief Status and headers of an answer.
struct HttpHead
{
    int status = 0;
    HttpHeaders headers;

    /// \returns the value of \a name, compared without case; empty where it is missing.
    std::string_view header(std::string_view name) const;
};

/// \brief A whole answer.
struct HttpAnswer
{
    HttpHead head;
    std::string body;
};

/// \brief What the sender of a call is told, in this order. onEnd comes exactly once, unless the
/// call is cancelled; its error says by Verdict whether a byte may have left.
struct HttpCallEvents
{
    std::function<void(const HttpHead &)> onHead = {};
    std::function<void(std::string_view)> onData = {};
    std::function<void(Result<void>)> onEnd = {};
};

/// \brief A call in progress. Destroying it cancels the call.
class HttpCallHandle
{
public:
    virtual ~HttpCallHandle() = default;

    /// \brief Stops reading from the upstream until resume(), for callers that read slowly.
    virtual void pause() = 0;
    virtual void resume() = 0;

    /// \returns how long its connection had rested before; zero for a new one.
    virtual Duration idleTime() const = 0;
};

using HttpCallPtr = std::unique_ptr<HttpCallHandle>;

/// \brief Sends HTTP requests over pooled connections.
class HttpClient
{
public:
    /// \param tls for secure calls; without it they fail as not run.
    explicit HttpClient(EventLoop &loop, const TlsContext *tls = nullptr);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// \brief Sends \a call. Events come later, never from within this function.
    HttpCallPtr send(HttpCall call, HttpCallEvents events);

    /// \brief Sends \a call and collects the answer; nobody can cancel it.
    void fetch(HttpCall call, std::function<void(Result<HttpAnswer>)> done);

    /// \brief Closes the idle connections to \a address, because one that came the same way went
    /// silent. None is opened in their place: new ones come with the requests that need them.
    void dropIdle(const std::string &address);

    /// \returns idle connections kept for reuse.
    std::size_t idleConnections() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
