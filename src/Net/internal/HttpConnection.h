#pragma once

#include "Net/HttpClient.h"
#include "Net/internal/StatusLineCheck.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace catkinloft {
class TlsContext;
}

namespace catkinloft::internal {

class ForeignAnswerFilter;

/// \brief One client connection over evhttp that handles one request at a time.
class HttpConnection
{
public:
    static std::unique_ptr<HttpConnection> open(EventLoop &loop, const std::string &address);

    /// \brief Like open(), over TLS. Without a usable \a tls each call fails with Verdict::NotRun.
    static std::unique_ptr<HttpConnection> openSecure(EventLoop &loop, const std::string &address,
                                                      const TlsContext *tls);

    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// \brief Sets the IP that the connection is opened from. Has no effect once it is open.
    void setSourceIp(const std::string &ip);

    /// \brief Sends \a call. onEnd is called once, unless detach() is called before.
    /// \param share for the bytes of the answer; used until then.
    void start(const HttpCall &call, AnswerBuffers::Share &share, HttpCallEvents events);

    /// \brief Calls no more callbacks of the request in progress. After that the connection may be
    /// destroyed, but not from within one of its own callbacks.
    void detach();

    void setReading(bool enabled);

    /// \sa HttpCallHandle::hold
    bool hold(std::size_t n);

    /// \returns the verdict of the request in progress: NotRun until its first byte was sent.
    Verdict verdict() const { return m_bytesSent == 0 ? Verdict::NotRun : Verdict::MayHaveRun; }

    /// \returns whether another request may be sent on it. Unsolicited bytes make an idle
    /// connection unusable: they would be taken for the next answer.
    bool isReusable() const;

    /// \returns how long the upstream keeps an idle connection open according to its last answer,
    /// one hour if it did not state that.
    Duration keepAlive() const { return m_keepAlive; }

    /// \returns whether a request with \a id was answered with a failure on this connection, or any
    /// request if it is empty. A copy of that answer may still arrive, which could not be told from
    /// the answer to a request that is sent on it now.
    bool hasFailed(std::string_view id) const;

    /// \returns the number of the connection, unique within the process.
    std::uint64_t number() const { return m_number; }

    /// \returns whether any byte of the answer in progress, or of the last one, has arrived.
    bool hasReceivedBytes() const;

private:
    HttpConnection(EventLoop &loop, const std::string &address, bufferevent *stream);

    template<typename Handle>
    void handle(const Handle &it) noexcept;
    void onInput(std::size_t n);
    bool isReadable(evbuffer *input);
    void onArrived(std::size_t n);
    std::string_view exceededLimit(std::size_t n);
    bool checkStatusLine(std::size_t n);
    bool isRequestUnread() const;
    bool countBuffered(); ///< \returns whether the answer fits into what is left for answers.
    void onHead(evhttp_request *request);
    void onData(evbuffer *body);
    void onDone(evhttp_request *request);
    void succeed(evhttp_request *request);
    void noteFailure();
    void failInvalid(std::string detail);
    void fail(Reason reason, std::string detail);
    std::string handshakeFailure() const;
    void end(Result<void> result);

    EventLoop &m_loop;
    std::uint64_t m_number;
    evhttp_connection *m_connection;
    evhttp_request *m_request = nullptr;
    HttpCallEvents m_events;
    std::size_t m_bytesSent = 0;
    std::size_t m_bytesReceived = 0; ///< Of the body.
    AnswerBuffers::Share *m_share = nullptr; ///< Of the request in progress.
    std::size_t m_heldBytes = 0; ///< Held by the receiver of an answer that it forwards.
    std::size_t m_answerBytes = 0; ///< Of the whole answer, as received.
    bool m_forwardsStream = false;
    int m_status = 0; ///< Of the final head, once it was received.
    std::size_t m_headBytes = 0; ///< Received before the end of the head, with interim heads.
    StatusLineCheck m_statusLine; ///< Of the answer in progress.
    bool m_hasHead = false;
    bool m_isInterim = false; ///< The head is that of an interim answer.
    bool m_delimited = false; ///< The answer ends before its connection does.
    bool m_headOnly = false;
    bool m_isFirstRequest = true;
    HttpHeader m_answerId; ///< \sa HttpCall::answerId
    std::string m_headId; ///< Id of the last HEAD request.
    bool m_isIdentified = false; ///< The answer bears the id of the request.
    std::vector<std::string> m_failedIds; ///< \sa hasFailed
    /// Until the own answer begins, on a connection that was used before.
    std::unique_ptr<ForeignAnswerFilter> m_foreign;
    bool m_isFiltering = false; ///< The filter changes the input at this moment.
    bool m_acceptsUnframed = false;
    bool m_isClosedUnread = false; ///< \sa isRequestUnread; when evhttp closed the connection.
    Duration m_keepAlive = std::chrono::hours(1);
    std::optional<std::size_t> m_length; ///< Content-Length of the answer, if it has one.
    int m_errorCode = -1;
    bool m_reusable = true;
    bool m_noSession = false; ///< TLS was requested, but no session could be created.
    /// Reset when the posted call of onEnd must not happen any more.
    std::shared_ptr<bool> m_endGuard;
};

} // namespace catkinloft::internal
