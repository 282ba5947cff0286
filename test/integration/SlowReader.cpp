#include "SlowReader.h"
#include "SocketAddress.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <thread>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

constexpr int ReceiveBuffer = 16 * 1024;
constexpr int SegmentBytes = 1460;
constexpr Duration ReadInterval = 20ms;

/// Longer than an answer takes; a connection that stays silent for this long counts as ended.
constexpr Duration SilenceLimit = 10s;

} // namespace

SlowReader::SlowReader(const std::string &address) : m_fd(socket(AF_INET, SOCK_STREAM, 0))
{
    setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer, sizeof ReceiveBuffer);
    setsockopt(m_fd, IPPROTO_TCP, TCP_MAXSEG, &SegmentBytes, sizeof SegmentBytes);
    const sockaddr_in to = standin::socketAddress(address);
    if (connect(m_fd, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0)
        shutdown(m_fd, SHUT_RDWR);
}

SlowReader::~SlowReader()
{
    close(m_fd);
}

bool SlowReader::send(const std::string &text) const
{
    return ::send(m_fd, text.data(), text.size(), MSG_NOSIGNAL)
            == static_cast<ssize_t>(text.size());
}

bool SlowReader::readSome(std::size_t bytes, Duration timeout)
{
    std::array<char, 64 * 1024> buf{};
    pollfd it{.fd = m_fd, .events = POLLIN, .revents = 0};
    if (poll(&it, 1, static_cast<int>(timeout / 1ms)) <= 0)
        return false;
    const ssize_t n = recv(m_fd, buf.data(), std::min(bytes, buf.size()), 0);
    if (n <= 0)
        return false;
    if (m_answer.status != 0)
        m_answer.bodyBytes += static_cast<std::size_t>(n);
    else
        m_received.append(buf.data(), static_cast<std::size_t>(n));
    return true;
}

bool SlowReader::readHead(Duration timeout)
{
    constexpr std::string_view StatusLine = "HTTP/1.1 ";
    constexpr std::string_view Length = "Content-Length: ";
    m_received.clear();
    m_answer = {};
    std::size_t end = std::string::npos;
    while ((end = m_received.find("\r\n\r\n")) == std::string::npos) {
        if (!readSome(1024, timeout))
            return false;
    }
    const std::size_t length = m_received.find(Length);
    if (length < end)
        m_answer.bodyLength =
                std::strtoul(m_received.c_str() + length + Length.size(), nullptr, 10);
    m_answer.bodyBytes = m_received.size() - end - 4;
    m_answer.status = std::atoi(m_received.c_str() + StatusLine.size());
    return true;
}

SlowReader::Answer SlowReader::readBody(std::size_t bytesPerSecond)
{
    const std::size_t step = bytesPerSecond * static_cast<std::size_t>(ReadInterval / 1ms) / 1000;
    while (!m_answer.isWhole() && readSome(step, SilenceLimit))
        std::this_thread::sleep_for(ReadInterval);
    return m_answer;
}

} // namespace catkinloft
