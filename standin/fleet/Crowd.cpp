#include "fleet/Crowd.h"

#include "SocketAddress.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace catkinloft::standin {

namespace {

constexpr timeval ConnectTimeout = {.tv_sec = 2, .tv_usec = 0};

/// Bound what the kernel holds for one connection on the side of the test. With less than a few
/// segments to send, each one would wait for a delayed acknowledgement.
constexpr int SendBufferBytes = 256 * 1024;
constexpr int ReceiveBufferBytes = 32 * 1024;

/// Bytes that one connection sends or reads before the next one has its turn.
constexpr std::size_t BytesPerTurn = 256 * 1024;

std::string numbered(std::string text, int n)
{
    constexpr std::string_view Mark = "{n}";
    if (const std::size_t at = text.find(Mark); at != std::string::npos)
        text.replace(at, Mark.size(), std::to_string(n));
    return text;
}

bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK;
}

} // namespace

Crowd::Crowd(Options options) : m_options(std::move(options))
{
    m_port = ntohs(socketAddress(m_options.address).sin_port);
    for (int i = 0; i < m_options.connections; ++i) {
        const int fd = open();
        if (fd < 0)
            break;
        m_connections.push_back({.fd = fd, .begin = numbered(m_options.script.begin, i)});
    }
}

Crowd::~Crowd()
{
    for (const Connection &it : m_connections)
        ::close(it.fd);
}

int Crowd::open() const
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &SendBufferBytes, sizeof SendBufferBytes);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes, sizeof ReceiveBufferBytes);
    constexpr int Enabled = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof Enabled);
    // Also bounds the time that connect() takes.
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &ConnectTimeout, sizeof ConnectTimeout);
    const sockaddr_in address = socketAddress(m_options.address);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
        return fd;
    ::close(fd);
    return -1;
}

std::size_t Crowd::length(const Connection &it) const
{
    const Script &script = m_options.script;
    return it.begin.size() + script.repeated.size() * script.repeats + script.end.size();
}

bool Crowd::send(Connection &it) const
{
    const Script &script = m_options.script;
    const std::size_t before = it.sent;
    while (it.sent < length(it) && it.sent - before < BytesPerTurn) {
        std::string_view next;
        std::size_t at = it.sent;
        if (at < it.begin.size()) {
            next = std::string_view(it.begin).substr(at);
        } else if (script.awaitsAnswer && !it.isAnswered) {
            break;
        } else if (at -= it.begin.size(); at < script.repeated.size() * script.repeats) {
            next = std::string_view(script.repeated).substr(at % script.repeated.size());
        } else {
            at -= script.repeated.size() * script.repeats;
            next = std::string_view(script.end).substr(at);
        }
        const ssize_t n = ::send(it.fd, next.data(), next.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0) {
            it.isClosed = !wouldBlock();
            break;
        }
        it.sent += static_cast<std::size_t>(n);
    }
    return it.sent > before || it.isClosed;
}

bool Crowd::read(Connection &it) const
{
    static thread_local std::array<char, BytesPerTurn> buf;
    const ssize_t n = recv(it.fd, buf.data(), buf.size(), MSG_DONTWAIT);
    it.isAnswered = it.isAnswered || n > 0;
    it.isClosed = n == 0 || (n < 0 && !wouldBlock());
    return n > 0 || it.isClosed;
}

bool Crowd::poll()
{
    bool out = false;
    for (Connection &it : m_connections) {
        if (!it.isClosed)
            out = send(it) || out;
        if (!it.isClosed && m_options.script.reads)
            out = read(it) || out;
    }
    return out;
}

void Crowd::sendMore(const std::string &text)
{
    for (const Connection &it : m_connections) {
        const ssize_t n = it.isClosed
                ? 0
                : ::send(it.fd, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        m_sentMore += static_cast<double>(std::max<ssize_t>(n, 0));
    }
}

bool Crowd::isSent() const
{
    return std::all_of(m_connections.begin(), m_connections.end(), [this](const Connection &it) {
        return it.isClosed || it.sent == length(it);
    });
}

int Crowd::closed() const
{
    return static_cast<int>(std::count_if(m_connections.begin(), m_connections.end(),
                                          [](const Connection &it) { return it.isClosed; }));
}

double Crowd::sentBytes() const
{
    double out = m_sentMore;
    for (const Connection &it : m_connections)
        out += static_cast<double>(it.sent);
    return out;
}

} // namespace catkinloft::standin
