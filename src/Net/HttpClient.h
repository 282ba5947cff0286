#pragma once

#include "Base/Error.h"
#include "Decide/AnswerBuffers.h"
#include "Net/HttpExchange.h"

#include <cstdint>
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
    Duration timeout = std::chrono::seconds(30); ///< Until the last byte of the answer.
    /// Longest time without data; zero: only `timeout`.
    Duration progressTimeout = Duration::zero();
    std::size_t maxBodyBytes = 16 * 1024 * 1024; ///< Longest answer that is accepted.
    Duration connectTimeout = Duration::zero(); ///< Until the first byte is sent; zero: `timeout`.
    bool freshConnection = false; ///< Reuses no idle connection, which may be broken.
    /// Connections that were idle for this long are not reused. Half of the time in the upstream's
    /// Keep-Alive header is a further limit.
    Duration maxIdleAge = std::chrono::seconds(20);
    /// Accepts an answer without a length that ends with its connection.
    bool acceptsUnframed = false;
    /// The receiver forwards a successful answer without a length as it arrives; all others are
    /// buffered as a whole and count towards AnswerBuffers.
    bool forwardsStream = false;
    bool secure = false; ///< Uses TLS; the certificate of the upstream must name its address.
    /// The header that identifies the request, which the upstream repeats in its answer. Answers to
    /// other requests are discarded, and the request is not sent on a connection on which it failed
    /// before. Empty: answers can't be told apart.
    HttpHeader answerId = {};
};

/// \brief Status and headers of an answer.
struct HttpHead
{
    int status = 0;
    HttpHeaders headers = {};
    /// Neither a length nor chunks: the answer ends with its connection. Set by HttpClient.
    bool isUnframed = false;

    /// \returns the value of the header \a name, compared without case; empty if it is missing.
    std::string_view header(std::string_view name) const;
};

/// \brief A complete answer.
struct HttpAnswer
{
    HttpHead head;
    std::string body;
};

/// \brief Callbacks of a call, in the order in which they are called. onEnd is called exactly once,
/// unless the call is cancelled. The verdict of its error states whether a byte may have been sent.
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

    /// \brief Stops reading from the upstream until resume(), while the receiver reads slowly.
    virtual void pause() = 0;
    virtual void resume() = 0;

    /// \returns how long the connection was idle before the call; zero for a new connection.
    virtual Duration idleTime() const = 0;

    /// \returns the number of the connection, unique within the process.
    virtual std::uint64_t connectionNumber() const = 0;

    /// \returns whether any byte of the answer, also of an incomplete head, had arrived when the
    /// call ended.
    virtual bool hasReceivedBytes() const = 0;

    /// \brief Counts \a n bytes that the receiver keeps of an answer which it forwards, such as an
    /// incomplete event. \sa AnswerBuffers
    /// \returns false if they exceed what is left; the call should be given up then.
    virtual bool hold(std::size_t n) = 0;
};

using HttpCallPtr = std::unique_ptr<HttpCallHandle>;

/// \brief Sends HTTP requests over pooled connections.
class HttpClient
{
public:
    /// \param tls used for secure calls; without it they fail with Verdict::NotRun.
    /// \param sourceIp IP that connections are opened from; empty: the system chooses it.
    /// \param maxBufferedBytes limit of all answers together. \sa AnswerBuffers
    explicit HttpClient(EventLoop &loop, const TlsContext *tls = nullptr, std::string sourceIp = {},
                        std::size_t maxBufferedBytes = AnswerBuffers::DefaultLimit);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// \brief Sends \a call. The callbacks are never called from within this function.
    HttpCallPtr send(HttpCall call, HttpCallEvents events);

    /// \brief Sends \a call and collects the answer. The call ends with the client, then without
    /// \a done.
    void fetch(HttpCall call, std::function<void(Result<HttpAnswer>)> done);

    /// \brief Closes the idle connections to \a address, used after a connection over the same
    /// network path failed. They are not replaced: requests open new connections as needed.
    void dropIdle(const std::string &address);

    /// \returns the bytes of answers that are buffered at the moment. \sa AnswerBuffers
    std::size_t bufferedBytes() const;

    /// \returns the number of idle connections kept for reuse.
    std::size_t idleConnections() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
