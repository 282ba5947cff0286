#pragma once

#include <doctest/doctest.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <string>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace catkinloft {

/// A caller on a plain socket that can send invalid HTTP.
class RawCaller
{
public:
    explicit RawCaller(std::uint16_t port) : m_fd(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(connect(m_fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0);
    }
    ~RawCaller() { close(m_fd); }
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    void send(const std::string &text) const
    {
        ::send(m_fd, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }

    /// \returns the number of bytes that the system accepted.
    std::size_t sendSome(const std::string &text) const
    {
        const ssize_t n = ::send(m_fd, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        return n > 0 ? static_cast<std::size_t>(n) : 0;
    }

    void finish() const { shutdown(m_fd, SHUT_WR); }

    /// \brief Lets the end of this object reset the connection.
    void resetOnClose() const
    {
        const linger reset = {.l_onoff = 1, .l_linger = 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }

    /// \returns whether the listener has closed the connection.
    bool read() { return readSome(SIZE_MAX); }

    /// \brief Like read(), but reads about \a bytes at most.
    bool readSome(std::size_t bytes)
    {
        std::array<char, 4096> buf{};
        for (std::size_t sum = 0; sum < bytes;) {
            const ssize_t n = recv(m_fd, buf.data(), buf.size(), MSG_DONTWAIT);
            if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
                return false;
            if (n <= 0) {
                wasReset = wasReset || n < 0;
                return true;
            }
            received.append(buf.data(), static_cast<std::size_t>(n));
            sum += static_cast<std::size_t>(n);
        }
        return false;
    }

    std::string received;
    bool wasReset = false; ///< The listener has closed the connection by a reset.

private:
    int m_fd;
};

} // namespace catkinloft
