#include "Net/StreamRelay.h"

#include "Net/EventLoop.h"
#include "Request/IdentifyFilter.h"

#include <fmt/format.h>

namespace catkinloft {

namespace {

/// Consecutive new connections that may fail before the engine counts as failed, RetryDelay apart.
/// A network path that dropped the state of one connection usually accepts the next one.
constexpr int MaxFailures = 3;
constexpr Duration RetryDelay = std::chrono::milliseconds(100);

/// Resume attempts without a token in between. Processing a long prompt takes most of a minute, in
/// which the engine answers each resume request but has no token yet.
constexpr int MaxIdleResumes = 20;

Error broken(std::string detail)
{
    return {.reason = Reason::UpstreamBroken,
            .verdict = Verdict::MayHaveRun,
            .detail = std::move(detail)};
}

} // namespace

StreamRelay::StreamRelay(Options options)
    : m_options(std::move(options)), m_cursor(m_options.lastEventId),
      m_retryTimer(m_options.loop, [this] { resume(); }),
      m_slowCallerTimer(m_options.loop, [this] { checkSlowCaller(); }),
      m_graceTimer(m_options.loop, [this] {
          cancelUpstream();
          finish(Error{.reason = Reason::CallerGone, .verdict = Verdict::MayHaveRun});
      })
{ }

StreamRelay::~StreamRelay()
{
    if (m_delivered)
        m_options.exchange->onDrained(nullptr);
    m_options.buffered -= m_countedBacklog;
}

void StreamRelay::data(std::string_view data)
{
    if (m_finished || m_callerLeft)
        return;
    std::string out;
    const bool fits = m_reader.feed(data, [&](const SseEvent &it) {
        const StreamCursor::Disposition step =
                m_hasGap ? StreamCursor::Disposition::Gap : m_cursor.take(it);
        m_hasGap = step == StreamCursor::Disposition::Gap;
        // Heartbeats of the next router are not forwarded: the tokens may still come from another
        // upstream.
        const bool heartbeat = it.text.starts_with(':');
        if (step == StreamCursor::Disposition::Deliver && !heartbeat && !m_complete) {
            out += it.text;
            m_complete = it.isEnd;
        }
    });
    if (!out.empty())
        deliver(out);
    if (!fits)
        finish(broken("an event of the stream is longer than the limit"));
    else if (m_hasGap)
        ended(broken("tokens are missing in the stream"));
}

void StreamRelay::deliver(std::string_view text)
{
    m_idleResumes = 0;
    HttpExchange &exchange = *m_options.exchange;
    if (!exchange.isStreaming())
        exchange.beginStream(200, m_options.head);
    if (!std::exchange(m_delivered, true))
        exchange.onDrained([this] { drained(); });
    exchange.write(text);
    limitBacklog();
}

void StreamRelay::limitBacklog()
{
    countBacklog();
    const bool tooMuch = m_countedBacklog > m_options.settings.maxStreamBuffer
            || m_options.buffered > m_options.settings.maxBuffered;
    if (!tooMuch || !m_call)
        return;
    m_call->pause();
    m_lastBacklog = m_countedBacklog;
    m_slowCallerTimer.start(m_options.settings.limits.idleTimeout);
}

void StreamRelay::countBacklog()
{
    const std::size_t n = m_options.exchange->backlog();
    m_options.buffered += n - m_countedBacklog;
    m_countedBacklog = n;
}

void StreamRelay::drained()
{
    countBacklog();
    m_slowCallerTimer.stop();
    if (m_call)
        m_call->resume();
}

/// A caller that reads slowly keeps its stream. A caller that reads nothing is disconnected, since
/// its stream occupies a slot of an engine.
void StreamRelay::checkSlowCaller()
{
    countBacklog();
    if (m_countedBacklog < m_lastBacklog) {
        m_lastBacklog = m_countedBacklog;
        m_slowCallerTimer.start(m_options.settings.limits.idleTimeout);
        return;
    }
    cancelUpstream();
    finish(Error{.reason = Reason::SlowCaller, .verdict = Verdict::MayHaveRun});
}

void StreamRelay::ended(const Result<void> &result)
{
    if (m_finished)
        return;
    const bool answered = !m_resuming;
    m_call.reset();
    m_reader.reset();
    m_hasGap = false;
    if (m_callerLeft) {
        finish(Error{.reason = Reason::CallerGone, .verdict = Verdict::MayHaveRun});
    } else if (m_complete) {
        m_options.exchange->end();
        finish(outcome::success());
    } else if (answered) {
        m_options.metrics.count("catkinloft_streams_interrupted_total");
        resume();
    } else {
        resumeFailed(result ? broken("the stream ended without its end marker") : result.error());
    }
}

void StreamRelay::resume()
{
    const Duration left = m_options.deadline - m_options.loop.now();
    const bool numbered = m_cursor.last() >= 0 || !m_delivered;
    if (!m_options.source || !numbered || left <= Duration::zero()
        || ++m_idleResumes > MaxIdleResumes) {
        finish(broken("the stream broke and cannot be resumed"));
        return;
    }
    m_resuming = true;
    // If data stops in the middle of a stream, the network path has probably failed, and with it
    // the idle connections to this address. Before the first token the engine may just be
    // processing the prompt.
    if (m_delivered)
        m_options.client.dropIdle(m_options.source->address);
    HttpCall call{.address = m_options.source->address,
                  .target = "/v1/streams/" + m_options.source->upstreamId,
                  .timeout = left,
                  .progressTimeout = m_options.progressTimeout,
                  .freshConnection = true};
    call.secure = !m_options.settings.tls.caFile.empty();
    call.headers.emplace_back(headers::RequestId, m_options.source->upstreamId);
    if (m_cursor.last() >= 0)
        call.headers.emplace_back(headers::LastEventId, fmt::format("{}", m_cursor.last()));
    m_call =
            m_options.client.send(std::move(call),
                                  {.onHead = [this](const HttpHead &head) { gotHead(head); },
                                   .onData = [this](std::string_view text) { data(text); },
                                   .onEnd = [this](const Result<void> &result) { ended(result); }});
}

void StreamRelay::gotHead(const HttpHead &head)
{
    if (head.status == 200 && head.header(headers::RequestId) == m_options.source->upstreamId) {
        m_resuming = false;
        m_failures = 0;
        m_options.metrics.count("catkinloft_streams_resumed_total");
        return;
    }
    finish(Error{.reason = head.status == 404 ? Reason::NotFound : Reason::AnswerMismatch,
                 .verdict = Verdict::MayHaveRun,
                 .detail = "the engine no longer has this stream"});
}

void StreamRelay::resumeFailed(Error error)
{
    if (++m_failures < MaxFailures) {
        m_retryTimer.start(RetryDelay);
        return;
    }
    // Whatever the verdict of this connection, the request itself was sent earlier.
    error.verdict = Verdict::MayHaveRun;
    finish(std::move(error));
}

void StreamRelay::callerLeft()
{
    if (m_finished)
        return;
    m_callerLeft = true;
    m_slowCallerTimer.stop();
    m_retryTimer.stop();
    if (!m_call) {
        finish(Error{.reason = Reason::CallerGone, .verdict = Verdict::MayHaveRun});
        return;
    }
    // The connection stays open: the engine closes it when another router resumes the stream, which
    // must not be cancelled then.
    m_call->resume();
    m_graceTimer.start(m_options.progressTimeout);
}

void StreamRelay::cancelUpstream()
{
    m_call.reset();
    if (!m_options.source || !m_options.source->cancellable)
        return;
    m_options.metrics.count("catkinloft_streams_cancelled_total");
    HttpCall call{.address = m_options.source->address,
                  .method = "DELETE",
                  .target = "/v1/streams/" + m_options.source->upstreamId,
                  .timeout = m_options.progressTimeout};
    call.secure = !m_options.settings.tls.caFile.empty();
    m_options.client.fetch(std::move(call), [](const Result<HttpAnswer> &) {});
}

void StreamRelay::finish(Result<void> result)
{
    if (std::exchange(m_finished, true))
        return;
    m_call.reset();
    m_slowCallerTimer.stop();
    m_retryTimer.stop();
    m_graceTimer.stop();
    const auto done = std::exchange(m_options.done, nullptr);
    done(std::move(result)); // May destroy this relay.
}

} // namespace catkinloft
