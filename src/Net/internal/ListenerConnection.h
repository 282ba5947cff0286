#pragma once

#include "Base/Clock.h"
#include "Decide/RequestBuffers.h"
#include "Net/UnsentAnswer.h"
#include "Net/internal/RequestScanner.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <sys/time.h>

#include <event2/bufferevent.h>

struct event;
struct evbuffer;
struct evbuffer_cb_entry;
struct evhttp_connection;

namespace catkinloft {
class EventLoop;
class HttpExchange;
} // namespace catkinloft

namespace catkinloft::internal {

class LingeringClose;

/// \brief One accepted connection of a listener, between its stream and evhttp.
///
/// evhttp takes each header line and each small chunk into memory as it arrives, at many times its
/// length, and tells of a request only when all of it was read. So it is given a request only when
/// that is complete: until then its bytes stay in the input buffer of the stream, whose low
/// watermark keeps evhttp from reading. A body in chunks is collected without its framing, and
/// passed on as one chunk.
///
/// What the connection holds counts towards RequestBuffers. If it is ended, nothing of what evhttp
/// has not been given can be handled any more.
class ListenerConnection : public std::enable_shared_from_this<ListenerConnection>
{
public:
    /// Why a connection was ended.
    enum class End : std::uint8_t {
        Memory, ///< It had to give way. \sa RequestBuffers
        HeaderTimeout,
        Rejected, ///< The request is malformed or over a limit.
    };

    /// What all connections of a listener share; outlives them.
    struct Context
    {
        EventLoop &loop;
        RequestBuffers &buffers;
        RequestScanner::Limits limits;
        const timeval &idleTimeout; ///< While no answer is pending.
        const std::string &requestIdHeader; ///< Empty: requests are not identified.
        LingeringClose &lingering;
        /// Called when the connection is closed; destroys it.
        std::function<void(const evbuffer *input)> onClosed;
        std::function<void(End)> onEnded;
        /// Called when the connection is closed before the answer to its request was sent.
        std::function<void(AnswerCut, const UnsentAnswer &)> onAnswerCut;
        /// Called when an incomplete head begins.
        std::function<void()> onHeadBegun;
        std::list<ListenerConnection *> heads = {}; ///< With an incomplete head, oldest first.
    };

    /// Bytes of a pipelined request that are read until the answer to the previous one was sent.
    /// They are read only so that a closed connection is detected, and RequestBuffers doesn't count
    /// them.
    static constexpr std::size_t MaxReadAhead = std::size_t(4) * 1024;

    ListenerConnection(Context &context, bufferevent *stream);
    ~ListenerConnection();
    ListenerConnection(const ListenerConnection &) = delete;
    ListenerConnection &operator=(const ListenerConnection &) = delete;

    /// \brief Called after evhttp has taken the stream.
    void opened();

    /// \brief Called when evhttp has read a request, which \a exchange answers.
    void handedOver(HttpExchange &exchange);

    /// \brief Installs callbacks in front of evhttp's, so that the event that ends the connection
    /// while a request is handled is recorded. Called after each call that lets evhttp set its own.
    void observeStream();

    /// \brief Called when the handler begins the answer.
    /// \param isFramed whether its end is told by a length or a last chunk, not by the end of the
    /// connection.
    void answerBegun(bool isFramed) { m_isFramed = isFramed; }

    /// \brief Called when the handler gives the answer up. evhttp closes the connection when what
    /// was written has been sent.
    void giveUpAnswer() { m_isGivenUp = true; }

    /// \brief Called when the handler writes no more of the answer, which is not yet sent.
    void answerComplete();

    /// \brief Called when an answer was sent, before evhttp reads the next request.
    void answered();

    /// \brief Closes the connection. Refuses the request that is being received, if there is one,
    /// with a promise that it does not run.
    void end(End reason);

    /// \brief Closes the connection, on which no request has been handled, with \a answer, as far
    /// as the socket accepts the bytes at once. What the caller sends is discarded.
    void refuse(std::string_view answer);

    /// \returns the answer that is in progress or not yet sent, if there is one.
    std::optional<UnsentAnswer> unsentAnswer() const;

    /// \returns whether an answer is in progress or has not been received completely.
    bool isAnswerPending() const;

    /// \brief Closes the connection if no request has begun on it.
    void closeIfIdle();

    const timeval &idleTimeout() const { return m_context.idleTimeout; }
    int fd() const;
    TimePoint headSince() const { return m_headSince; }

private:
    enum class Stage : std::uint8_t {
        Reading, ///< evhttp waits for a request.
        Passed, ///< evhttp was given a request, or what it is to refuse.
        Handling, ///< From the hand-over to the end of the answer.
    };

    struct StreamCallbacks
    {
        bufferevent_data_cb written = nullptr;
        bufferevent_event_cb ended = nullptr;
        void *arg = nullptr;
    };

    void inputAdded();
    void watchForEnd();
    void checkForEnd();
    void disconnect();
    void closeRefused();
    void release();
    void closeSocket();
    void read();
    void readHead();
    void readChunks();
    void noteHead();
    void unlistHead();
    void passOn();
    void composeChunks();
    void checkPassed();
    void readAhead();
    void updateShare();
    void closed();
    void setLowWatermark(std::size_t bytes);
    static void streamWritten(bufferevent *stream, void *self);
    static void streamEnded(bufferevent *stream, short what, void *self);
    void cut(AnswerCut reason, int error = 0);
    std::string_view endAnswer(End reason) const;
    void writeNow(std::string_view text);

    Context &m_context;
    bufferevent *m_stream;
    evbuffer *m_input;
    evbuffer *m_output;
    evbuffer_cb_entry *m_inputEntry = nullptr;
    evbuffer_cb_entry *m_outputEntry = nullptr;
    StreamCallbacks m_evhttp; ///< Behind those of observeStream().
    event *m_endEvent = nullptr; ///< Exists once reading has paused before an answer was sent.
    evbuffer *m_head; ///< Of a request in chunks.
    evbuffer *m_body; ///< Chunks without their framing.
    evbuffer *m_readAhead; ///< Taken out of the input until evhttp waits for the next request.
    std::string m_trailer;
    RequestScanner m_scanner;
    std::size_t m_scannedBytes = 0; ///< Of the head, at the begin of the input.
    Stage m_stage = Stage::Reading;
    bool m_isEnded = false;
    bool m_isGivenUp = false; ///< The answer is incomplete.
    bool m_isFramed = true; ///< The answer.
    bool m_isDisconnected = false; ///< Shut down, so that evhttp reads the end.
    bool m_isRefused = false; ///< Closed with an answer before a request was handled.
    bool m_isAnswered = false; ///< No byte has arrived since the last answer was sent.
    bool m_isComposing = false;
    HttpExchange *m_exchange = nullptr;
    std::string m_requestId; ///< Of the request that is handled.
    std::optional<AnswerCut> m_cut; ///< Why its connection ends.
    int m_cutError = 0;
    TimePoint m_headSince;
    std::list<ListenerConnection *> m_headNode; ///< The only element, while no head is incomplete.
    std::list<ListenerConnection *>::iterator m_headPosition;
    bool m_isHeadListed = false;
    RequestBuffers::Share m_share;
};

} // namespace catkinloft::internal
