#include "SlowCallers.h"

#include "SocketAddress.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace catkinloft::soak {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t CallersPerRouter = 3;
constexpr Duration ReadInterval = 10ms;

/// An answer is read in 1 to 3.5 s. If it is taken by a router at the end of the time in which it
/// still accepts requests after SIGTERM (2.8 s), it ends over a second before the stop timeout.
constexpr double BytesPerSecond = 1e6;
constexpr std::size_t MinLength = 1'000'000;
constexpr std::size_t MaxLength = 3'500'000;

/// What a caller reads at once after a delay of this process.
constexpr double MaxBytesDue = BytesPerSecond / 4;

constexpr int ReceiveBufferBytes = 32 * 1024;
constexpr int SegmentBytes = 1460; ///< As on Ethernet. The buffers of the sender grow by segments.

constexpr Duration MaxPause = 300ms; ///< Of a caller between two requests.
constexpr Duration Grace = 500ms; ///< Time after its timeout when a caller closes its connection.

int connectTo(const std::string &address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes, sizeof ReceiveBufferBytes);
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &SegmentBytes, sizeof SegmentBytes);
    const sockaddr_in to = standin::socketAddress(address);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof to) == 0)
        return fd;
    close(fd);
    return -1;
}

/// \returns the value of the header \a name in \a head; empty if it is missing.
std::string headerOf(const std::string &head, const std::string &name)
{
    const std::string start = "\r\n" + name + ": ";
    const std::size_t at = head.find(start);
    if (at == std::string::npos)
        return {};
    const std::size_t from = at + start.size();
    return head.substr(from, head.find("\r\n", from) - from);
}

} // namespace

SlowCallers::SlowCallers(Options options)
    : m_options(std::move(options)), m_timer(m_options.loop, [this] { poll(); })
{
    for (std::size_t i = 0; i < CallersPerRouter * m_options.fleet.routerCount(); ++i)
        m_callers.push_back({.router = i % m_options.fleet.routerCount()});
    m_timer.startRepeating(ReadInterval);
}

SlowCallers::~SlowCallers()
{
    for (Caller &it : m_callers)
        disconnect(it);
}

void SlowCallers::poll()
{
    for (Caller &it : m_callers) {
        if (!it.id.empty())
            read(it);
        else if (!m_isStopped && m_options.loop.now() >= it.at)
            send(it);
    }
}

void SlowCallers::send(Caller &it)
{
    it.at = m_options.loop.now() + MaxPause;
    if (it.fd < 0)
        it.fd = connectTo(m_options.fleet.callerAddress(it.router));
    if (it.fd < 0)
        return;
    it.id = fmt::format("d{}", ++m_number);
    it.at = m_options.loop.now();
    it.deadline = it.at + Timeout + Grace;
    Attempt &attempt = m_options.attempts[it.id];
    const bool isSafe = below(m_options.random, 2) == 0;
    attempt.route = isSafe ? "safe" : "once";
    attempt.key = m_options.key;
    attempt.router = it.router;
    attempt.sentAt = m_options.loop.wallNow();
    attempt.timeout = Timeout;
    attempt.bytesPerSecond = BytesPerSecond;
    attempt.isOnKeptConnection = it.isKept;
    attempt.length = MinLength + below(m_options.random, MaxLength - MinLength);
    const std::string text = fmt::format(
            "{} /{}/a?bytes={} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {}\r\n"
            "X-Request-Deadline: {}\r\nAuthorization: Bearer {}\r\nContent-Length: 0\r\n\r\n",
            isSafe ? "GET" : "POST", attempt.route, attempt.length, standin::EntryFleet::Host,
            it.id, Timeout / 1ms, attempt.key);
    // A connection that the router has closed is noticed by the read.
    ::send(it.fd, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

void SlowCallers::read(Caller &it)
{
    const TimePoint now = m_options.loop.now();
    it.due = std::min(it.due + BytesPerSecond * toSeconds(now - it.at), MaxBytesDue);
    it.at = now;
    Attempt &attempt = m_options.attempts[it.id];
    std::array<char, 16384> buf{};
    while (it.due >= 1) {
        const std::size_t most = std::min(buf.size(), static_cast<std::size_t>(it.due));
        const ssize_t n = recv(it.fd, buf.data(), most, MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            break;
        if (n <= 0) {
            attempt.cutOffAt = m_options.loop.wallNow();
            noteUnanswered(it, n == 0 ? Unanswered::Eof : Unanswered::Reset);
            disconnect(it);
            return finish(it);
        }
        it.due -= static_cast<double>(n);
        it.received.append(buf.data(), static_cast<std::size_t>(n));
        if (it.bodyAt == 0)
            parseHead(it, attempt);
        attempt.bytes = it.bodyAt == 0 ? 0 : it.received.size() - it.bodyAt;
        if (it.bodyAt > 0 && attempt.bytes >= attempt.length)
            return complete(it, attempt);
    }
    if (now >= it.deadline) {
        noteUnanswered(it, Unanswered::TimedOut);
        disconnect(it);
        finish(it);
    }
}

void SlowCallers::noteUnanswered(const Caller &it, Unanswered how)
{
    if (!it.received.empty())
        return;
    Attempt &attempt = m_options.attempts[it.id];
    attempt.unanswered = how;
    attempt.unansweredAt = m_options.loop.wallNow();
}

void SlowCallers::parseHead(Caller &it, Attempt &attempt)
{
    constexpr std::string_view Separator = "\r\n\r\n";
    const std::size_t end = it.received.find(Separator);
    if (end == std::string::npos)
        return;
    it.bodyAt = end + Separator.size();
    attempt.length = std::strtoull(
            headerOf(it.received.substr(0, it.bodyAt), "Content-Length").c_str(), nullptr, 10);
}

void SlowCallers::complete(Caller &it, Attempt &attempt)
{
    const std::string head = it.received.substr(0, it.bodyAt);
    constexpr std::size_t StatusAt = std::string_view("HTTP/1.1 ").size();
    attempt.status = std::atoi(head.c_str() + StatusAt);
    attempt.body = it.received.substr(it.bodyAt);
    attempt.signature = headerOf(head, "X-Response-Signature");
    attempt.retryAfter = headerOf(head, "Retry-After");
    attempt.saysLeaving = headerOf(head, "Server-Leaving") == "1";
    attempt.answeredAt = m_options.loop.wallNow();
    it.isKept = true;
    if (headerOf(head, "Connection") == "close")
        disconnect(it);
    finish(it);
}

void SlowCallers::disconnect(Caller &it)
{
    it.isKept = false;
    if (it.fd >= 0)
        close(std::exchange(it.fd, -1));
}

void SlowCallers::finish(Caller &it)
{
    it.id.clear();
    it.received.clear();
    it.bodyAt = 0;
    it.due = 0;
    it.at = m_options.loop.now() + scaled(MaxPause, uniform(m_options.random));
}

} // namespace catkinloft::soak
