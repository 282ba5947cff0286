#include "Net/internal/ListenerConnection.h"

#include "Net/EventLoop.h"
#include "Net/HttpExchange.h"
#include "Net/internal/Dispatch.h"
#include "Net/internal/LingeringClose.h"
#include "Net/internal/SocketBytes.h"
#include "Net/internal/Timeval.h"
#include "Net/internal/TlsStream.h"

#include <cerrno>
#include <limits>
#include <utility>

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

namespace catkinloft::internal {

namespace {

/// Low watermark at which evhttp is not called.
constexpr std::size_t Hold = std::numeric_limits<std::size_t>::max();

/// Times that the parsed head and the body of a request are in memory while it is handled: as
/// received, in the call that forwards it, and in the output buffer of that call's connection.
constexpr std::size_t HandledCopies = 3;

/// Interval of checks for the end of a connection whose reading is paused. Work for a caller that
/// has left must stop within half a second.
constexpr Duration EndCheckInterval = std::chrono::milliseconds(100);

constexpr std::string_view ContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

// Sent before the connection is closed, as far as the socket accepts the bytes at once.
constexpr std::string_view MemoryAnswer =
        "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\n"
        "Content-Type: application/problem+json\r\nContent-Length: 47\r\n\r\n"
        R"({"reason":"request_memory","verdict":"not_run"})";
constexpr std::string_view HeaderTimeoutAnswer =
        "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
        "Content-Type: application/problem+json\r\nContent-Length: 47\r\n\r\n"
        R"({"reason":"header_timeout","verdict":"not_run"})";
constexpr std::string_view BadRequestAnswer =
        "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view ContentTooLargeAnswer =
        "HTTP/1.1 413 Content Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view ExpectationFailedAnswer =
        "HTTP/1.1 417 Expectation Failed\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// \returns some of the bytes from \a offset on; \a buf is longer than that.
std::string_view partAt(evbuffer *buf, std::size_t offset)
{
    evbuffer_ptr at{};
    evbuffer_iovec part{};
    evbuffer_ptr_set(buf, &at, offset, EVBUFFER_PTR_SET);
    evbuffer_peek(buf, -1, &at, &part, 1);
    return {static_cast<const char *>(part.iov_base), part.iov_len};
}

void drain(evbuffer *buf)
{
    evbuffer_drain(buf, evbuffer_get_length(buf));
}

} // namespace

ListenerConnection::ListenerConnection(Context &context, bufferevent *stream)
    : m_context(context), m_stream(stream), m_input(bufferevent_get_input(stream)),
      m_output(bufferevent_get_output(stream)), m_head(evbuffer_new()), m_body(evbuffer_new()),
      m_readAhead(evbuffer_new()), m_scanner(context.limits), m_headNode{this},
      m_headPosition(m_headNode.begin()), m_share(context.buffers, [this] { end(End::Memory); })
{
    m_inputEntry = evbuffer_add_cb(
            m_input,
            [](evbuffer *, const evbuffer_cb_info *info, void *self) {
                if (info->n_added == 0)
                    return;
                dispatch("input", [&] { static_cast<ListenerConnection *>(self)->inputAdded(); });
            },
            this);
    m_outputEntry = evbuffer_add_cb(
            m_output,
            [](evbuffer *, const evbuffer_cb_info *, void *self) {
                auto *it = static_cast<ListenerConnection *>(self);
                it->m_context.loop.noteProgress();
                dispatch("output", [&] { it->updateShare(); });
            },
            this);
    setLowWatermark(Hold);
}

ListenerConnection::~ListenerConnection()
{
    unlistHead();
    if (m_endEvent)
        event_free(m_endEvent);
    evbuffer_free(m_head);
    evbuffer_free(m_body);
    evbuffer_free(m_readAhead);
}

void ListenerConnection::opened()
{
    // evhttp passes its connection to the callbacks of the stream.
    void *connection = nullptr;
    bufferevent_getcb(m_stream, nullptr, nullptr, nullptr, &connection);
    evhttp_connection_set_closecb(
            static_cast<evhttp_connection *>(connection),
            [](evhttp_connection *, void *self) {
                static_cast<ListenerConnection *>(self)->closed();
            },
            this);
}

int ListenerConnection::fd() const
{
    return bufferevent_getfd(m_stream);
}

void ListenerConnection::setLowWatermark(std::size_t bytes)
{
    bufferevent_setwatermark(m_stream, EV_READ, bytes, 0);
}

void ListenerConnection::closed()
{
    evbuffer_remove_cb_entry(m_input, m_inputEntry);
    evbuffer_remove_cb_entry(m_output, m_outputEntry);
    const auto self = shared_from_this();
    // Each step is needed whether or not those before it succeed.
    dispatch("answer_cut", [&] {
        if (const std::optional<UnsentAnswer> unsent = unsentAnswer())
            m_context.onAnswerCut(m_cut.value_or(AnswerCut::Unknown), *unsent);
    });
    dispatch("connection_close", [&] { closeSocket(); });
    if (m_exchange)
        std::exchange(m_exchange, nullptr)->connectionClosed();
    m_context.onClosed(m_input);
}

/// Decides how evhttp's close of the socket ends the connection.
void ListenerConnection::closeSocket()
{
    const bool isCut = m_stage == Stage::Handling;
    // The caller would take the end of the connection for the end of the answer.
    if (isCut && !m_isFramed) {
        bufferevent_disable(m_stream, EV_READ | EV_WRITE);
        return m_context.lingering.addReset(fd());
    }
    const bool isSent = m_isAnswered || (m_isGivenUp && evbuffer_get_length(m_output) == 0);
    // The rest of a refused request may still be on its way.
    if (m_isRefused || (isSent && (hasUnreadBytes(fd()) || unacknowledgedBytes(fd()) > 0)))
        m_context.lingering.add(fd());
}

std::optional<UnsentAnswer> ListenerConnection::unsentAnswer() const
{
    if (m_stage != Stage::Handling)
        return std::nullopt;
    return UnsentAnswer{.requestId = m_requestId,
                        .bytes = evbuffer_get_length(m_output),
                        .isComplete = !m_exchange && !m_isGivenUp,
                        .error = m_cutError};
}

bool ListenerConnection::isAnswerPending() const
{
    // Bytes that the caller has not acknowledged are lost if the VM ends with the process.
    return m_stage == Stage::Handling || unacknowledgedBytes(fd()) > 0;
}

void ListenerConnection::closeIfIdle()
{
    const bool hasInput = m_scanner.isStarted() || evbuffer_get_length(m_input) > 0
            || evbuffer_get_length(m_readAhead) > 0;
    if (m_isEnded || m_stage != Stage::Reading || hasInput || isAnswerPending())
        return;
    // What arrives now isn't handled, because it could not be answered.
    m_isEnded = true;
    shutdown(fd(), SHUT_RDWR);
    discardReceived(fd());
}

void ListenerConnection::observeStream()
{
    if (m_stage != Stage::Handling)
        return;
    StreamCallbacks evhttp;
    bufferevent_getcb(m_stream, nullptr, &evhttp.written, &evhttp.ended, &evhttp.arg);
    if (evhttp.arg == this)
        return;
    m_evhttp = evhttp;
    // Without a read callback, data stays in the buffer and only the end is reported.
    bufferevent_setcb(m_stream, nullptr, &streamWritten, &streamEnded, this);
}

void ListenerConnection::streamWritten(bufferevent *stream, void *self)
{
    // evhttp may free the connection.
    const StreamCallbacks evhttp = static_cast<ListenerConnection *>(self)->m_evhttp;
    if (evhttp.written)
        evhttp.written(stream, evhttp.arg);
}

void ListenerConnection::streamEnded(bufferevent *stream, short what, void *self)
{
    const int error = errno;
    auto *it = static_cast<ListenerConnection *>(self);
    const StreamCallbacks evhttp = it->m_evhttp;
    if ((what & BEV_EVENT_TIMEOUT) != 0)
        it->cut(AnswerCut::Timeout);
    else if ((what & BEV_EVENT_EOF) != 0)
        it->cut(AnswerCut::Caller);
    else if ((what & BEV_EVENT_ERROR) != 0)
        it->cut(AnswerCut::Reset, error);
    evhttp.ended(stream, what, evhttp.arg);
}

/// Records why the connection ends while a request is handled. What happens first decides; the
/// events that follow are its consequences.
void ListenerConnection::cut(AnswerCut reason, int error)
{
    if (m_stage != Stage::Handling || m_cut)
        return;
    m_cut = reason;
    m_cutError = error;
}

void ListenerConnection::inputAdded()
{
    m_context.loop.noteProgress();
    if (m_isComposing)
        return;
    m_isAnswered = false;
    if (m_isEnded || m_isDisconnected)
        drain(m_input);
    else if (m_stage == Stage::Reading)
        read();
    else if (m_stage == Stage::Handling && evbuffer_get_length(m_input) >= MaxReadAhead)
        watchForEnd();
    updateShare();
}

/// While reading is paused, the end of the connection is not read either. libevent reports a reset
/// to events for reading and writing only, so that EV_CLOSED doesn't suffice.
void ListenerConnection::watchForEnd()
{
    if (!m_endEvent) {
        m_endEvent = event_new(
                m_context.loop.base(), -1, EV_PERSIST,
                [](evutil_socket_t, short, void *self) {
                    dispatch("end_check",
                             [&] { static_cast<ListenerConnection *>(self)->checkForEnd(); });
                },
                this);
    }
    const timeval interval = toTimeval(EndCheckInterval);
    if (!event_pending(m_endEvent, EV_TIMEOUT, nullptr))
        event_add(m_endEvent, &interval);
}

void ListenerConnection::checkForEnd()
{
    if (m_stage != Stage::Handling || !hasPeerEnded(fd()))
        return;
    const int error = socketError(fd());
    cut(error != 0 ? AnswerCut::Reset : AnswerCut::Caller, error);
    event_del(m_endEvent);
    disconnect();
}

/// evhttp reads the end and frees the connection by its own rules.
void ListenerConnection::disconnect()
{
    m_isDisconnected = true;
    shutdown(fd(), SHUT_RDWR);
    drain(m_input);
}

void ListenerConnection::read()
{
    using State = RequestScanner::State;
    if (evbuffer_get_length(m_readAhead) > 0) {
        m_isComposing = true;
        evbuffer_prepend_buffer(m_input, m_readAhead);
        m_isComposing = false;
    }
    if (m_scanner.state() == State::Head)
        readHead();
    if (m_scanner.state() == State::Chunks)
        readChunks();
    const State state = m_scanner.state();
    const bool hasBody = evbuffer_get_length(m_input) - m_scannedBytes >= m_scanner.bodyBytes();
    if (state == State::Rejected)
        end(End::Rejected);
    else if (state == State::Complete || (state == State::Body && hasBody))
        passOn();
}

void ListenerConnection::readHead()
{
    using State = RequestScanner::State;
    while (m_scanner.state() == State::Head && m_scannedBytes < evbuffer_get_length(m_input))
        m_scannedBytes += m_scanner.readHead(partAt(m_input, m_scannedBytes));
    noteHead();
    const bool hasBody = m_scanner.state() == State::Body || m_scanner.state() == State::Chunks;
    // A caller that has sent a part of the body doesn't wait.
    if (hasBody && m_scanner.expectsContinue() && evbuffer_get_length(m_input) == m_scannedBytes)
        writeNow(ContinueAnswer);
    if (m_scanner.state() == State::Chunks)
        evbuffer_remove_buffer(m_input, m_head, std::exchange(m_scannedBytes, 0));
}

void ListenerConnection::noteHead()
{
    if (m_scanner.state() != RequestScanner::State::Head)
        return unlistHead();
    if (m_isHeadListed || !m_scanner.isStarted())
        return;
    m_isHeadListed = true;
    m_headSince = m_context.loop.now();
    m_context.heads.splice(m_context.heads.end(), m_headNode);
    m_context.onHeadBegun();
}

void ListenerConnection::unlistHead()
{
    if (std::exchange(m_isHeadListed, false))
        m_headNode.splice(m_headNode.end(), m_context.heads, m_headPosition);
}

void ListenerConnection::readChunks()
{
    const RequestScanner::Sink sink = {
            // Copied: the input has a buffer of some kilobytes for each part that was received.
            .body = [this](std::string_view it) { evbuffer_add(m_body, it.data(), it.size()); },
            .trailer = [this](std::string_view it) { m_trailer += it; }};
    while (m_scanner.state() == RequestScanner::State::Chunks && evbuffer_get_length(m_input) > 0)
        evbuffer_drain(m_input, m_scanner.readChunks(partAt(m_input, 0), sink));
}

/// Lets evhttp read the request. It does so when the callback of the input buffer returns.
void ListenerConnection::passOn()
{
    m_share.hold(0);
    if (!m_share.run(HandledCopies * (m_scanner.parsedHeadBytes() + m_scanner.bodyBytes())))
        return end(End::Memory);
    if (evbuffer_get_length(m_head) > 0)
        composeChunks();
    m_stage = Stage::Passed;
    setLowWatermark(0);
    m_context.loop.post([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->checkPassed();
    });
}

void ListenerConnection::composeChunks()
{
    m_isComposing = true;
    evbuffer *request = evbuffer_new();
    evbuffer_add_buffer(request, m_head);
    if (const std::size_t length = evbuffer_get_length(m_body); length > 0) {
        evbuffer_add_printf(request, "%zx\r\n", length);
        evbuffer_add_buffer(request, m_body);
        evbuffer_add_printf(request, "\r\n");
    }
    evbuffer_add_printf(request, "0\r\n");
    evbuffer_add(request, m_trailer.data(), m_trailer.size());
    m_trailer = {};
    evbuffer_prepend_buffer(m_input, request);
    evbuffer_free(request);
    m_isComposing = false;
}

void ListenerConnection::checkPassed()
{
    // evhttp hands the request over or refuses it at once, unless it finds its end elsewhere.
    if (m_stage == Stage::Passed && evbuffer_get_length(m_output) == 0)
        end(End::Rejected);
}

void ListenerConnection::handedOver(HttpExchange &exchange)
{
    m_requestId.clear();
    if (!m_context.requestIdHeader.empty())
        m_requestId = exchange.header(m_context.requestIdHeader.c_str());
    m_stage = Stage::Handling;
    m_exchange = &exchange;
    m_cut.reset();
    m_cutError = 0;
    m_isGivenUp = false;
    m_isFramed = true;
}

void ListenerConnection::answerComplete()
{
    m_exchange = nullptr;
    // The call is over; the lines of the head stay until the answer was sent.
    m_share.run(m_scanner.parsedHeadBytes());
}

void ListenerConnection::answered()
{
    // evhttp closes the connection next.
    if (m_isGivenUp)
        return cut(AnswerCut::BrokenOff);
    if (m_endEvent)
        event_del(m_endEvent);
    m_stage = Stage::Reading;
    m_isAnswered = true;
    m_scanner = RequestScanner(m_context.limits);
    m_scannedBytes = 0;
    m_share.run(0);
    setLowWatermark(Hold);
    // evhttp would read what is there without regard to the watermark.
    evbuffer_add_buffer(m_readAhead, m_input);
    if (evbuffer_get_length(m_readAhead) == 0)
        return;
    m_context.loop.post([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->readAhead();
    });
}

void ListenerConnection::readAhead()
{
    if (m_isEnded || m_stage != Stage::Reading || evbuffer_get_length(m_readAhead) == 0)
        return;
    read();
    updateShare();
    if (m_stage == Stage::Passed)
        bufferevent_trigger(m_stream, EV_READ, 0);
}

void ListenerConnection::updateShare()
{
    // A request that was passed on counts as one that is being handled.
    if (m_isEnded || m_stage == Stage::Passed)
        return;
    // The few bytes of a next request must not cost the answer to this one.
    if (m_stage == Stage::Handling)
        return m_share.hold(evbuffer_get_length(m_output), RequestBuffers::Content::Answer);
    m_share.hold(evbuffer_get_length(m_input) + evbuffer_get_length(m_head)
                 + evbuffer_get_length(m_body) + evbuffer_get_length(m_readAhead)
                 + m_trailer.size());
}

/// Writes past the output buffer, whose end evhttp would take for the end of an answer.
void ListenerConnection::writeNow(std::string_view text)
{
    if (text.empty() || evbuffer_get_length(m_output) > 0)
        return;
    if (usesTls(m_stream))
        writeTls(m_stream, text);
    else
        send(fd(), text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

std::string_view ListenerConnection::endAnswer(End reason) const
{
    switch (reason) {
    case End::Memory:
        return MemoryAnswer;
    case End::HeaderTimeout:
        return HeaderTimeoutAnswer;
    case End::Rejected:
        break;
    }
    switch (m_scanner.rejectStatus()) {
    case 413:
        return ContentTooLargeAnswer;
    case 417:
        return ExpectationFailedAnswer;
    default:
        return BadRequestAnswer;
    }
}

void ListenerConnection::refuse(std::string_view answer)
{
    if (std::exchange(m_isEnded, true))
        return;
    writeNow(answer);
    release();
    closeRefused();
}

/// Lets evhttp free the connection as if its caller had ended it. The socket must not be shut down
/// for that, because a reset in reply to what the caller is still sending can overtake the answer.
void ListenerConnection::closeRefused()
{
    m_isRefused = true;
    bufferevent_trigger_event(m_stream, BEV_EVENT_READING | BEV_EVENT_EOF,
                              BEV_TRIG_DEFER_CALLBACKS);
}

void ListenerConnection::end(End reason)
{
    if (std::exchange(m_isEnded, true))
        return;
    cut(AnswerCut::Memory);
    const bool isRefused = m_stage == Stage::Reading;
    if (isRefused)
        writeNow(endAnswer(reason));
    release();
    if (isRefused) {
        closeRefused();
    } else {
        // evhttp reads the end and frees the connection by its own rules. The end of the sending
        // side would show an unframed answer as complete.
        const bool isCutUnframed = m_stage == Stage::Handling && !m_isFramed;
        shutdown(fd(), isCutUnframed ? SHUT_RD : SHUT_RDWR);
        discardReceived(fd());
    }
    m_context.onEnded(reason);
}

/// Frees what was received, of which evhttp gets nothing more.
void ListenerConnection::release()
{
    if (m_stage != Stage::Handling)
        setLowWatermark(Hold);
    unlistHead();
    for (evbuffer *it : {m_input, m_head, m_body, m_readAhead})
        drain(it);
    m_trailer = {};
    m_share.hold(0);
    m_share.run(0);
}

} // namespace catkinloft::internal
