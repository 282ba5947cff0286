#include "TcpLink.h"

#include "SocketAddress.h"

#include <utility>

#include <netinet/in.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace catkinloft::standin {

namespace {

void throttle(bufferevent *it, std::size_t bytesPerSecond)
{
    if (bytesPerSecond == 0)
        return;
    ev_token_bucket_cfg *cfg = ev_token_bucket_cfg_new(
            bytesPerSecond, bytesPerSecond, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, nullptr);
    // Never freed: libevent needs it as long as the bufferevent exists, and the process is
    // short-lived.
    bufferevent_set_rate_limit(it, cfg);
}

/// \returns \a answer in which the id of \a request replaces `{id}`.
std::string withRequestId(std::string answer, std::string_view request)
{
    constexpr std::string_view Header = "X-Request-Id: ";
    constexpr std::string_view Placeholder = "{id}";
    const std::size_t at = answer.find(Placeholder);
    const std::size_t header = request.find(Header);
    if (at == std::string::npos || header == std::string_view::npos)
        return answer;
    const std::string_view id = request.substr(header + Header.size());
    return answer.replace(at, Placeholder.size(), id.substr(0, id.find('\r')));
}

bool isAnswer(std::string_view bytes)
{
    return bytes.starts_with("HTTP/1.1 ");
}

/// \returns whether \a bytes begin with an answer which promises that its request did not run.
bool isRefusal(std::string_view bytes)
{
    constexpr std::string_view Promise = "\r\nX-Not-Executed: ";
    const std::string_view head = bytes.substr(0, bytes.find("\r\n\r\n"));
    return isAnswer(bytes)
            && (bytes.starts_with("HTTP/1.1 421 ") || head.find(Promise) != std::string_view::npos);
}

} // namespace

TcpLink::TcpLink(Options options, int fd)
    : m_options(std::move(options)),
      m_client(bufferevent_socket_new(m_options.loop.base(), fd, BEV_OPT_CLOSE_ON_FREE)),
      m_server(bufferevent_socket_new(m_options.loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)),
      m_toServer{.from = m_client,
                 .to = m_server,
                 .line = DelayLine(m_options.loop),
                 .timer = Timer(m_options.loop, [this] { releaseDue(m_toServer); })},
      m_toClient{.from = m_server,
                 .to = m_client,
                 .line = DelayLine(m_options.loop),
                 .timer = Timer(m_options.loop, [this] { releaseDue(m_toClient); })},
      m_copyTimer(m_options.loop,
                  [this] {
                      releaseCopy();
                      releaseDue(m_toClient);
                  }),
      m_random(seededRandom(static_cast<std::uint64_t>(fd)))
{
    for (bufferevent *it : {m_client, m_server}) {
        bufferevent_setcb(it, &TcpLink::onRead, &TcpLink::onWritten, &TcpLink::onEvent, this);
        bufferevent_enable(it, EV_READ | EV_WRITE);
        throttle(it, m_options.faults.throttle);
    }
    const sockaddr_in target = socketAddress(m_options.target);
    bufferevent_socket_connect(m_server, reinterpret_cast<const sockaddr *>(&target),
                               sizeof target);
}

TcpLink::~TcpLink()
{
    bufferevent_free(m_client);
    bufferevent_free(m_server);
}

void TcpLink::blackhole()
{
    m_blackholed = true;
    for (bufferevent *it : {m_client, m_server})
        bufferevent_disable(it, EV_READ | EV_WRITE);
}

void TcpLink::setStalled(bool isStalled)
{
    if (m_blackholed)
        return;
    for (bufferevent *it : {m_client, m_server})
        isStalled ? bufferevent_disable(it, EV_READ | EV_WRITE)
                  : bufferevent_enable(it, EV_READ | EV_WRITE);
}

void TcpLink::cut()
{
    if (m_cut)
        return;
    m_cut = true;
    m_options.loop.post([this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            m_options.closed(this);
    });
}

void TcpLink::onRead(bufferevent *from, void *arg)
{
    auto *self = static_cast<TcpLink *>(arg);
    self->forward(self->directionFrom(from));
}

void TcpLink::onWritten(bufferevent *to, void *arg)
{
    auto *self = static_cast<TcpLink *>(arg);
    if (to == self->m_client && !self->m_repeated.empty())
        self->continueEndlessAnswer();
    self->cutOnceWritten(self->directionTo(to));
}

void TcpLink::onEvent(bufferevent *from, short what, void *arg)
{
    auto *self = static_cast<TcpLink *>(arg);
    if ((what & BEV_EVENT_CONNECTED) != 0 || self->m_blackholed)
        return;
    Direction &direction = self->directionFrom(from);
    direction.line.end(self->m_options.faults.delay);
    self->releaseDue(direction);
}

void TcpLink::forward(Direction &direction)
{
    evbuffer *in = bufferevent_get_input(direction.from);
    const std::size_t n = evbuffer_get_length(in);
    std::string bytes(n, '\0');
    evbuffer_remove(in, bytes.data(), n);
    if (m_cut)
        return;
    if (direction.from == m_server && m_options.faults.loseAnswers > 0) {
        --m_options.faults.loseAnswers;
        cut();
        return;
    }
    if (!m_repeated.empty())
        return;
    if (direction.from == m_client && !m_options.faults.answerRepeated.empty())
        return startEndlessAnswer(bytes);
    if (direction.from == m_client && !m_options.faults.answerPart.empty())
        return breakOffAnswer(bytes);
    if (direction.from == m_server && isAnswer(bytes))
        releaseCopy();
    if (direction.from == m_server && isRefusal(bytes))
        copyRefusal(bytes);
    direction.line.add(std::move(bytes), m_options.faults.delay);
    releaseDue(direction);
}

void TcpLink::copyRefusal(const std::string &answer)
{
    if (uniform(m_random) >= m_options.faults.copyRefusals)
        return;
    m_copy = answer;
    if (m_options.faults.copyAfter > Duration::zero())
        m_copyTimer.start(m_options.faults.copyAfter);
}

void TcpLink::releaseCopy()
{
    m_copyTimer.stop();
    if (m_copy.empty())
        return;
    ++m_options.faults.copiedRefusals;
    m_toClient.line.add(std::exchange(m_copy, {}), m_options.faults.delay);
}

void TcpLink::startEndlessAnswer(std::string_view request)
{
    constexpr std::size_t BlockSize = 64 * 1024;
    const std::string &unit = m_options.faults.answerRepeated;
    while (m_repeated.size() < BlockSize)
        m_repeated += unit;
    const std::string begin = withRequestId(m_options.faults.answerBegin, request);
    bufferevent_write(m_client, begin.data(), begin.size());
    continueEndlessAnswer();
}

void TcpLink::breakOffAnswer(std::string_view request)
{
    Direction &answer = directionFrom(m_server);
    answer.line.add(withRequestId(m_options.faults.answerPart, request), Duration::zero());
    answer.line.end(Duration::zero());
    releaseDue(answer);
}

void TcpLink::continueEndlessAnswer()
{
    bufferevent_write(m_client, m_repeated.data(), m_repeated.size());
}

void TcpLink::releaseDue(Direction &direction)
{
    for (const DelayLine::Chunk &it : direction.line.takeDue()) {
        if (m_blackholed || m_cut)
            return;
        bufferevent_write(direction.to, it.bytes.data(), it.bytes.size());
        direction.ended = it.isEnd;
    }
    cutOnceWritten(direction);
    if (const auto due = direction.line.nextDue())
        direction.timer.start(*due - m_options.loop.now());
}

void TcpLink::cutOnceWritten(const Direction &direction)
{
    // Bytes that were read before the end still have to reach the other side.
    if (direction.ended && evbuffer_get_length(bufferevent_get_output(direction.to)) == 0)
        cut();
}

} // namespace catkinloft::standin
