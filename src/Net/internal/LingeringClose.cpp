#include "Net/internal/LingeringClose.h"

#include "Net/EventLoop.h"
#include "Net/internal/Dispatch.h"
#include "Net/internal/SocketBytes.h"

#include <algorithm>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/event.h>

namespace catkinloft::internal {

namespace {

/// Time without progress. Some round trips of a slow path, in which lost bytes are sent again.
constexpr Duration LingerTime = std::chrono::seconds(2);

/// Interval of checks whether a caller has received what comes before a reset.
constexpr Duration ResetCheckInterval = std::chrono::milliseconds(20);

/// A caller that sends without end must not take the processor. More than the longest body that a
/// listener accepts by default.
constexpr std::size_t MaxDiscarded = std::size_t(20) * 1024 * 1024;

/// Bytes that are discarded before other events have their turn. Several hundred callers may be
/// sending as fast as they are read.
constexpr std::size_t DiscardedAtOnce = std::size_t(256) * 1024;

/// A crowd of callers that go on sending must not take the descriptors of others.
constexpr std::size_t MaxSockets = 512;

} // namespace

LingeringClose::LingeringClose(EventLoop &loop)
    : m_loop(loop), m_timer(loop, [this] { checkProgress(); }),
      m_resetTimer(loop, [this] { checkResets(); })
{ }

LingeringClose::~LingeringClose()
{
    while (!m_sockets.empty())
        remove(m_sockets.begin());
}

void LingeringClose::add(int fd)
{
    const int own = fcntl(fd, F_DUPFD_CLOEXEC, 0);
    if (own < 0)
        return;
    shutdown(own, SHUT_WR);
    keep(own, false);
}

void LingeringClose::addReset(int fd)
{
    const int own = takeSocket(fd);
    if (own < 0) {
        // Linux resets the connection of a socket that is disconnected.
        const sockaddr none = {.sa_family = AF_UNSPEC, .sa_data = {}};
        static_cast<void>(connect(fd, &none, sizeof none));
        return;
    }
    const linger reset = {.l_onoff = 1, .l_linger = 0};
    setsockopt(own, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    keep(own, true);
    checkResets();
}

/// Moves the socket \a fd to another descriptor, because evhttp shuts \a fd down before it closes
/// it.
/// \returns the descriptor, -1 if there is none left.
int LingeringClose::takeSocket(int fd)
{
    const int nothing = open("/dev/null", O_RDONLY | O_CLOEXEC);
    if (nothing < 0)
        return -1;
    const int out = fcntl(fd, F_DUPFD_CLOEXEC, 0);
    if (out >= 0)
        dup3(nothing, fd, O_CLOEXEC);
    close(nothing);
    return out;
}

void LingeringClose::keep(int own, bool isReset)
{
    if (m_sockets.size() >= MaxSockets)
        remove(m_sockets.begin());
    m_sockets.push_back({.owner = this,
                         .fd = own,
                         .readable = nullptr,
                         .checkedAt = m_loop.now(),
                         .unacknowledged = unacknowledgedBytes(own),
                         .discarded = 0,
                         .isReset = isReset});
    Socket &it = m_sockets.back();
    it.readable = event_new(
            m_loop.base(), own, EV_READ | EV_PERSIST,
            [](evutil_socket_t, short, void *arg) {
                auto *socket = static_cast<Socket *>(arg);
                dispatch("lingering_close", [&] { socket->owner->read(*socket); });
            },
            &it);
    event_add(it.readable, nullptr);
    if (!m_timer.isPending())
        m_timer.start(LingerTime);
}

std::size_t LingeringClose::pendingAnswers() const
{
    return static_cast<std::size_t>(
            std::count_if(m_sockets.begin(), m_sockets.end(),
                          [](const Socket &it) { return unacknowledgedBytes(it.fd) > 0; }));
}

void LingeringClose::read(Socket &it)
{
    const Discarded now = discardReceived(it.fd, DiscardedAtOnce);
    it.discarded += now.bytes;
    if (now.isOpen && it.discarded < MaxDiscarded)
        return;
    remove(std::find_if(m_sockets.begin(), m_sockets.end(),
                        [&](const Socket &other) { return &other == &it; }));
}

void LingeringClose::remove(Sockets::iterator it)
{
    event_free(it->readable);
    close(it->fd);
    m_sockets.erase(it);
}

void LingeringClose::checkResets()
{
    bool isAnyLeft = false;
    for (auto it = m_sockets.begin(); it != m_sockets.end();) {
        const auto at = it++;
        if (at->isReset && unacknowledgedBytes(at->fd) == 0)
            remove(at);
        else
            isAnyLeft = isAnyLeft || at->isReset;
    }
    if (isAnyLeft && !m_resetTimer.isPending())
        m_resetTimer.start(ResetCheckInterval);
}

void LingeringClose::checkProgress()
{
    const TimePoint now = m_loop.now();
    while (!m_sockets.empty() && now - m_sockets.front().checkedAt >= LingerTime) {
        Socket &it = m_sockets.front();
        const std::size_t left = unacknowledgedBytes(it.fd);
        if (left == 0 || left >= it.unacknowledged) {
            remove(m_sockets.begin());
            continue;
        }
        it.checkedAt = now;
        it.unacknowledged = left;
        m_sockets.splice(m_sockets.end(), m_sockets, m_sockets.begin());
    }
    if (!m_sockets.empty())
        m_timer.start(m_sockets.front().checkedAt + LingerTime - now);
}

} // namespace catkinloft::internal
