#include "Net/PeerTransport.h"

#include "Net/EventLoop.h"
#include "Net/internal/Dispatch.h"

#include <array>

#include <event2/event.h>
#include <event2/util.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace catkinloft {

namespace {

/// Datagrams read per loop iteration, so that a flood of datagrams doesn't starve callers' sockets.
constexpr int MaxReadsPerTurn = 64;

/// Larger than any datagram that a router sends; a truncated datagram fails the MAC check.
constexpr std::size_t ReadBytes = 2048;

struct Address
{
    sockaddr_storage storage{};
    int length = sizeof(sockaddr_storage);

    sockaddr *raw() { return reinterpret_cast<sockaddr *>(&storage); }
};

bool parseAddress(const std::string &text, Address &out)
{
    return evutil_parse_sockaddr_port(text.c_str(), out.raw(), &out.length) == 0;
}

std::string printAddress(const Address &address)
{
    std::array<char, INET6_ADDRSTRLEN> host{};
    if (address.storage.ss_family == AF_INET6) {
        const auto *in6 = reinterpret_cast<const sockaddr_in6 *>(&address.storage);
        evutil_inet_ntop(AF_INET6, &in6->sin6_addr, host.data(), host.size());
        return fmt::format("[{}]:{}", host.data(), ntohs(in6->sin6_port));
    }
    const auto *in = reinterpret_cast<const sockaddr_in *>(&address.storage);
    evutil_inet_ntop(AF_INET, &in->sin_addr, host.data(), host.size());
    return fmt::format("{}:{}", host.data(), ntohs(in->sin_port));
}

} // namespace

struct PeerTransport::Private
{
    EventLoop &loop;
    Receiver receiver;
    int fd = -1;
    event *readable = nullptr;

    void read()
    {
        std::array<char, ReadBytes> buf{};
        for (int i = 0; i < MaxReadsPerTurn; ++i) {
            Address from;
            auto length = static_cast<socklen_t>(from.length);
            const ssize_t n = recvfrom(fd, buf.data(), buf.size(), 0, from.raw(), &length);
            if (n < 0)
                return;
            loop.noteProgress();
            internal::dispatch("peer", [&] {
                receiver(printAddress(from), {buf.data(), static_cast<std::size_t>(n)});
            });
        }
    }
};

PeerTransport::PeerTransport(EventLoop &loop, Receiver receiver)
    : m_d(std::make_unique<Private>(Private{loop, std::move(receiver)}))
{ }

PeerTransport::~PeerTransport()
{
    if (m_d->readable)
        event_free(m_d->readable);
    if (m_d->fd >= 0)
        close(m_d->fd);
}

Result<void> PeerTransport::bind(const std::string &address)
{
    const Error failed{.detail = fmt::format("can not bind UDP '{}'", address)};
    Address local;
    if (!parseAddress(address, local))
        return failed;
    m_d->fd = socket(local.storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_d->fd < 0 || ::bind(m_d->fd, local.raw(), static_cast<socklen_t>(local.length)) != 0)
        return failed;
    m_d->readable = event_new(
            m_d->loop.base(), m_d->fd, EV_READ | EV_PERSIST,
            [](evutil_socket_t, short, void *arg) { static_cast<Private *>(arg)->read(); },
            m_d.get());
    event_add(m_d->readable, nullptr);
    return outcome::success();
}

void PeerTransport::send(const std::string &address, std::string_view datagram)
{
    Address to;
    if (m_d->fd < 0 || !parseAddress(address, to))
        return;
    // A full socket buffer drops the datagram, as the network may do; the protocol tolerates loss.
    (void)sendto(m_d->fd, datagram.data(), datagram.size(), MSG_NOSIGNAL, to.raw(),
                 static_cast<socklen_t>(to.length));
}

} // namespace catkinloft
