#include "Net/internal/SocketBytes.h"

#include <array>
#include <cerrno>

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace catkinloft::internal {

namespace {

/// Bytes that are discarded by one system call.
constexpr std::size_t DiscardedAtOnce = 64 * 1024;

} // namespace

Discarded discardReceived(int fd, std::size_t atMost)
{
    // Only TCP on Linux discards without a buffer (MSG_TRUNC). Other sockets write to the address
    // that they are given, so that a null pointer is an error or ends the process.
    static thread_local std::array<char, DiscardedAtOnce> buf;
    Discarded out;
    while (out.bytes < atMost) {
        const ssize_t n = recv(fd, buf.data(), buf.size(), MSG_DONTWAIT);
        if (n <= 0) {
            out.isOpen = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
            break;
        }
        out.bytes += static_cast<std::size_t>(n);
    }
    return out;
}

std::size_t unacknowledgedBytes(int fd)
{
    int out = 0;
    return ioctl(fd, SIOCOUTQ, &out) == 0 && out > 0 ? static_cast<std::size_t>(out) : 0;
}

bool hasUnreadBytes(int fd)
{
    char byte = 0;
    return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool hasPeerEnded(int fd)
{
    pollfd it = {.fd = fd, .events = POLLRDHUP, .revents = 0};
    return poll(&it, 1, 0) > 0;
}

int socketError(int fd)
{
    int out = 0;
    socklen_t length = sizeof out;
    return getsockopt(fd, SOL_SOCKET, SO_ERROR, &out, &length) == 0 ? out : 0;
}

} // namespace catkinloft::internal
