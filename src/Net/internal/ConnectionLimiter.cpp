#include "Net/internal/ConnectionLimiter.h"

#include <optional>

#include <sys/socket.h>

namespace catkinloft::internal {

namespace {

/// Shortest time between two scans of all sockets. A scan of 10,000 sockets takes about 2 ms, so a
/// listener that is constantly at its limit spends at most 4% of a core on scans.
constexpr Duration ScanInterval = std::chrono::milliseconds(50);

/// \returns the cookie, which is unique for each socket, so that a reused descriptor is not
/// mistaken for the earlier connection.
std::optional<std::uint64_t> cookieOf(int fd)
{
    std::uint64_t cookie = 0;
    socklen_t length = sizeof cookie;
    if (getsockopt(fd, SOL_SOCKET, SO_COOKIE, &cookie, &length) != 0)
        return std::nullopt;
    return cookie;
}

} // namespace

ConnectionLimiter::ConnectionLimiter(const Clock &clock, int limit)
    : m_clock(clock), m_limit(static_cast<std::size_t>(limit)),
      m_lastScan(clock.now() - ScanInterval)
{ }

bool ConnectionLimiter::admit(int fd)
{
    const auto cookie = cookieOf(fd);
    if (!cookie)
        return true; // Already closed.
    m_cookies.erase(fd); // The descriptor was reused, so the earlier connection is closed.
    if (m_cookies.size() >= m_limit && m_clock.now() - m_lastScan >= ScanInterval)
        removeClosed();
    if (m_cookies.size() >= m_limit)
        return false;
    m_cookies.emplace(fd, *cookie);
    return true;
}

void ConnectionLimiter::removeClosed()
{
    m_lastScan = m_clock.now();
    std::erase_if(m_cookies, [](const auto &it) { return cookieOf(it.first) != it.second; });
}

} // namespace catkinloft::internal
