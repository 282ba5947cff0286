#pragma once

#include "Net/HttpClient.h"

#include <memory>
#include <optional>
#include <string>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace catkinloft {
class TlsContext;
}

namespace catkinloft::internal {

/// \brief One client connection over evhttp, carrying one request at a time.
class HttpConnection
{
public:
    static std::unique_ptr<HttpConnection> open(EventLoop &loop, const std::string &address);

    /// \brief The same over TLS. Without a usable \a tls each call on it fails as not run.
    static std::unique_ptr<HttpConnection> openSecure(EventLoop &loop, const std::string &address,
                                                      const TlsContext *tls);

    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// \brief Sends \a call; onEnd comes once, unless detach() comes first.
    void start(const HttpCall &call, HttpCallEvents events);

    /// \brief Reports nothing more of the request in progress. The connection can be freed then,
    /// though not from within one of its own callbacks.
    void detach();

    void setReading(bool enabled);

    /// \returns what is known of the request in progress: NotRun until its first byte has left.
    Verdict verdict() const { return m_bytesSent == 0 ? Verdict::NotRun : Verdict::MayHaveRun; }

    /// \returns whether another request may be sent on it. Bytes that nobody asked for make an
    /// idle connection unusable: they would be taken for the next answer.
    bool isReusable() const;

    /// \returns how long the upstream keeps the connection open while it is idle, as its last
    /// answer stated; a long time where it did not say.
    Duration keepAlive() const { return m_keepAlive; }

private:
    HttpConnection(EventLoop &loop, const std::string &address, bufferevent *stream);

    static void onHead(evhttp_request *request, HttpConnection *self);
    static void onDone(evhttp_request *request, void *arg);
    void succeed(evhttp_request *request);
    void fail(Reason reason, std::string detail);
    std::string handshakeFailure() const;
    void end(Result<void> result);

    EventLoop &m_loop;
    evhttp_connection *m_connection;
    evhttp_request *m_request = nullptr;
    HttpCallEvents m_events;
    std::size_t m_bytesSent = 0;
    std::size_t m_bytesReceived = 0;
    bool m_delimited = false; ///< The answer states its length or ends with a last chunk.
    bool m_headOnly = false;
    bool m_acceptsUnframed = false;
    Duration m_keepAlive = std::chrono::hours(1);
    std::optional<std::size_t> m_length; ///< Of the answer's body, where it states one.
    int m_errorCode = -1;
    bool m_reusable = true;
    bool m_noSession = false; ///< Meant to be secure, but no session could be made.
    std::shared_ptr<bool> m_endGuard; ///< Gone once nobody waits for the posted end.
};

} // namespace catkinloft::internal
