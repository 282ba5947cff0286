#include "Net/HttpClient.h"

#include "Net/EventLoop.h"
#include "Net/Timer.h"
#include "Net/internal/HttpConnection.h"
#include "Net/internal/TimerQueue.h"

#include <algorithm>
#include <deque>
#include <list>
#include <map>
#include <strings.h>

namespace catkinloft {

using internal::HttpConnection;

namespace {

/// Idle connections kept for one upstream. More of them would only occupy memory at both ends.
constexpr std::size_t MaxIdlePerAddress = 64;

/// Connections that were idle for longer are not reused: upstreams and middleboxes drop them
/// without notice.
constexpr Duration MaxIdleAge = std::chrono::seconds(20);

/// A connection is reused only until the time in the Keep-Alive header divided by this number. A
/// request that is sent while the upstream closes the connection cannot be retried unless it is
/// idempotent.
constexpr int KeepAliveDivisor = 2;

struct IdleConnection
{
    std::unique_ptr<HttpConnection> connection;
    TimePoint since;
};

/// A connection for one call.
struct TakenConnection
{
    std::unique_ptr<HttpConnection> connection;
    Duration idleTime = Duration::zero(); ///< Zero for a new connection.
};

} // namespace

std::string_view HttpHead::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0)
            return value;
    }
    return {};
}

struct HttpClient::Private
{
    Private(EventLoop &eventLoop, const TlsContext *context, std::string ip,
            std::size_t maxBufferedBytes)
        : loop(eventLoop), tls(context), sourceIp(std::move(ip)),
          buffers(std::make_shared<AnswerBuffers>(maxBufferedBytes))
    { }

    EventLoop &loop;
    const TlsContext *tls;
    std::string sourceIp;
    std::map<std::string, std::deque<IdleConnection>> idle;
    /// Shared with the calls, which may outlive the client.
    std::shared_ptr<AnswerBuffers> buffers;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    /// Calls of fetch(). Their callbacks refer to the client, so they end with it.
    std::list<HttpCallPtr> fetches;

    /// Secure and plain connections to one address are kept in separate pools.
    static std::string poolKey(const HttpCall &call)
    {
        return (call.secure ? "tls " : "") + call.address;
    }

    static Duration maxIdleTime(const HttpCall &call, const IdleConnection &it)
    {
        const Duration granted = it.connection->keepAlive() / KeepAliveDivisor;
        return std::min({MaxIdleAge, call.maxIdleAge, granted});
    }

    /// The last used connection is taken first, so that the others close after their idle time.
    TakenConnection take(const HttpCall &call)
    {
        std::deque<IdleConnection> &list = idle[poolKey(call)];
        for (std::size_t i = list.size(); !call.freshConnection && i-- > 0;) {
            // A copy of the earlier answer to this request could not be told from the next one.
            if (list[i].connection->hasFailed(call.answerId.second))
                continue;
            const auto position = list.begin() + static_cast<std::ptrdiff_t>(i);
            IdleConnection it = std::move(*position);
            list.erase(position);
            const Duration idleTime = loop.now() - it.since;
            if (it.connection->isReusable() && idleTime < maxIdleTime(call, it))
                return {std::move(it.connection), idleTime};
            retire(std::move(it.connection));
        }
        TakenConnection out{call.secure ? HttpConnection::openSecure(loop, call.address, tls)
                                        : HttpConnection::open(loop, call.address)};
        if (!sourceIp.empty())
            out.connection->setSourceIp(sourceIp);
        return out;
    }

    void give(const std::string &key, std::unique_ptr<HttpConnection> connection)
    {
        std::deque<IdleConnection> &list = idle[key];
        if (!connection->isReusable()) {
            retire(std::move(connection));
            return;
        }
        list.push_back({std::move(connection), loop.now()});
        if (list.size() > MaxIdlePerAddress || loop.now() - list.front().since > MaxIdleAge) {
            retire(std::move(list.front().connection));
            list.pop_front();
        }
    }

    /// A connection must not be destroyed from within its own callbacks.
    void retire(std::unique_ptr<HttpConnection> connection)
    {
        loop.post([held = std::shared_ptr<HttpConnection>(std::move(connection))] {});
    }
};

namespace {

/// One call on one connection; returns the connection to the pool when the call ends.
class Call final : public HttpCallHandle
{
public:
    using GiveBack = std::function<void(std::unique_ptr<HttpConnection>)>;

    Call(EventLoop &loop, TakenConnection taken, HttpCall call, HttpCallEvents events,
         std::shared_ptr<AnswerBuffers> buffers, GiveBack giveBack)
        : m_buffers(std::move(buffers)), m_share(*m_buffers),
          m_connection(std::move(taken.connection)), m_idleTime(taken.idleTime),
          m_connectionNumber(m_connection->number()), m_events(std::move(events)),
          m_giveBack(std::move(giveBack)), m_progressTimeout(call.progressTimeout), m_loop(loop),
          m_deadline(loop, [this] { timedOut(); }), m_progress(loop, [this] { checkProgress(); }),
          m_connect(loop, [this] { checkConnected(); })
    {
        m_deadline.start(call.timeout);
        if (call.connectTimeout > Duration::zero())
            m_connect.start(call.connectTimeout);
        noteProgress();
        if (m_progressTimeout > Duration::zero())
            m_progress.start(m_progressTimeout);
        m_connection->start(call, m_share,
                            {.onHead =
                                     [this](const HttpHead &head) {
                                         noteProgress();
                                         if (m_events.onHead)
                                             m_events.onHead(head);
                                     },
                             .onData =
                                     [this](std::string_view data) {
                                         noteProgress();
                                         if (m_events.onData)
                                             m_events.onData(data);
                                     },
                             .onEnd = [this](Result<void> result) { finish(std::move(result)); }});
    }

    ~Call() override
    {
        if (m_connection) {
            m_connection->detach();
            m_giveBack(std::move(m_connection));
        }
    }

    Duration idleTime() const override { return m_idleTime; }

    std::uint64_t connectionNumber() const override { return m_connectionNumber; }

    bool hasReceivedBytes() const override { return m_hasReceivedBytes; }

    bool hold(std::size_t n) override { return !m_connection || m_connection->hold(n); }

    void pause() override
    {
        m_paused = true;
        if (m_connection)
            m_connection->setReading(false);
    }

    void resume() override
    {
        m_paused = false;
        noteProgress();
        if (m_connection)
            m_connection->setReading(true);
    }

private:
    /// Only stores the time: restarting a timer for every token of a stream would cost more than
    /// forwarding the token.
    void noteProgress() { m_lastProgress = m_loop.timers().runningNow(); }

    void checkProgress()
    {
        const Duration silence =
                m_paused ? Duration::zero() : m_loop.timers().runningNow() - m_lastProgress;
        if (silence >= m_progressTimeout)
            timedOut();
        else
            m_progress.start(m_progressTimeout - silence);
    }

    void checkConnected()
    {
        if (m_connection->verdict() != Verdict::NotRun)
            return;
        m_connection->detach();
        finish(Error{.reason = Reason::UpstreamUnreachable,
                     .verdict = Verdict::NotRun,
                     .detail = "no connection within the connect timeout",
                     .retryAfter = {}});
    }

    void timedOut()
    {
        const Verdict verdict = m_connection->verdict();
        m_connection->detach();
        finish(Error{.reason = Reason::UpstreamTimeout,
                     .verdict = verdict,
                     .detail = "the answer timed out",
                     .retryAfter = {}});
    }

    void finish(Result<void> result)
    {
        m_deadline.stop();
        m_progress.stop();
        m_connect.stop();
        m_hasReceivedBytes = m_connection->hasReceivedBytes();
        m_giveBack(std::move(m_connection));
        const auto onEnd = std::exchange(m_events.onEnd, nullptr);
        if (onEnd)
            onEnd(std::move(result)); // May destroy this call.
    }

    std::shared_ptr<AnswerBuffers> m_buffers;
    AnswerBuffers::Share m_share;
    std::unique_ptr<HttpConnection> m_connection;
    Duration m_idleTime;
    std::uint64_t m_connectionNumber;
    bool m_hasReceivedBytes = false; ///< Valid after the end of the call.
    HttpCallEvents m_events;
    GiveBack m_giveBack;
    Duration m_progressTimeout;
    bool m_paused = false;
    TimePoint m_lastProgress; ///< Without stalls of the loop, which are no silence of the upstream.
    EventLoop &m_loop;
    Timer m_deadline;
    Timer m_progress;
    Timer m_connect;
};

} // namespace

HttpClient::HttpClient(EventLoop &loop, const TlsContext *tls, std::string sourceIp,
                       std::size_t maxBufferedBytes)
    : m_d(std::make_unique<Private>(loop, tls, std::move(sourceIp), maxBufferedBytes))
{ }

HttpClient::~HttpClient()
{
    *m_d->alive = false;
}

HttpCallPtr HttpClient::send(HttpCall call, HttpCallEvents events)
{
    TakenConnection taken = m_d->take(call);
    auto giveBack = [d = m_d.get(), alive = m_d->alive,
                     key = Private::poolKey(call)](std::unique_ptr<HttpConnection> it) {
        if (*alive)
            d->give(key, std::move(it));
    };
    return std::make_unique<Call>(m_d->loop, std::move(taken), std::move(call), std::move(events),
                                  m_d->buffers, std::move(giveBack));
}

void HttpClient::fetch(HttpCall call, std::function<void(Result<HttpAnswer>)> done)
{
    auto answer = std::make_shared<HttpAnswer>();
    const auto it = m_d->fetches.emplace(m_d->fetches.end());
    *it = send(std::move(call),
               {.onHead = [answer](const HttpHead &head) { answer->head = head; },
                .onData = [answer](std::string_view data) { answer->body += data; },
                .onEnd =
                        [this, it, answer, done = std::move(done)](const Result<void> &result) {
                            // Destroyed later: the call is still on the stack.
                            m_d->loop.post(
                                    [held = std::shared_ptr<HttpCallHandle>(std::move(*it))] {});
                            m_d->fetches.erase(it);
                            if (result)
                                done(std::move(*answer)); // May destroy this client.
                            else
                                done(result.error());
                        }});
}

void HttpClient::dropIdle(const std::string &address)
{
    const auto it = m_d->idle.find(address);
    if (it == m_d->idle.end())
        return;
    for (IdleConnection &idle : it->second)
        m_d->retire(std::move(idle.connection));
    m_d->idle.erase(it);
}

std::size_t HttpClient::bufferedBytes() const
{
    return m_d->buffers->used();
}

std::size_t HttpClient::idleConnections() const
{
    std::size_t n = 0;
    for (const auto &it : m_d->idle)
        n += it.second.size();
    return n;
}

} // namespace catkinloft
