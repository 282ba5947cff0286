#include "UdpRelay.h"

#include "SocketAddress.h"

#include <array>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/event.h>

namespace catkinloft::standin {

namespace {

constexpr std::size_t MaxDatagram = 65'536;

} // namespace

UdpRelay::Socket::~Socket()
{
    event_free(ev);
    close(fd);
}

UdpRelay::UdpRelay(Options options)
    : m_options(std::move(options)), m_target(socketAddress(m_options.target)),
      m_listening(makeSocket())
{
    const sockaddr_in address = socketAddress(m_options.listen);
    if (bind(m_listening->fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        throw std::runtime_error("cannot listen on UDP address " + m_options.listen);
}

UdpRelay::~UdpRelay() = default;

std::unique_ptr<UdpRelay::Socket> UdpRelay::makeSocket()
{
    auto out = std::make_unique<Socket>();
    out->owner = this;
    out->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    out->ev = event_new(m_options.loop.base(), out->fd, EV_READ | EV_PERSIST, &UdpRelay::onReadable,
                        out.get());
    event_add(out->ev, nullptr);
    return out;
}

void UdpRelay::onReadable(int fd, short, void *arg)
{
    static std::array<char, MaxDatagram> buf;
    auto *it = static_cast<Socket *>(arg);
    sockaddr_in sender{};
    socklen_t length = sizeof sender;
    const ssize_t n =
            recvfrom(fd, buf.data(), buf.size(), 0, reinterpret_cast<sockaddr *>(&sender), &length);
    if (n >= 0)
        it->owner->received(*it, {buf.data(), static_cast<std::size_t>(n)}, sender);
}

void UdpRelay::received(Socket &from, std::string_view data, const sockaddr_in &sender)
{
    if (uniform(m_random) < m_options.faults.drop)
        return;
    if (&from == m_listening.get())
        sendLater(socketFor(sender).fd, data, m_target);
    else
        sendLater(m_listening->fd, data, from.client);
}

void UdpRelay::sendLater(int fd, std::string_view data, const sockaddr_in &to)
{
    if (m_options.faults.delay <= Duration::zero()) {
        sendto(fd, data.data(), data.size(), 0, reinterpret_cast<const sockaddr *>(&to), sizeof to);
        return;
    }
    m_options.loop.after(m_options.faults.delay, [fd, held = std::string(data), to] {
        sendto(fd, held.data(), held.size(), 0, reinterpret_cast<const sockaddr *>(&to), sizeof to);
    });
}

UdpRelay::Socket &UdpRelay::socketFor(const sockaddr_in &client)
{
    const std::uint64_t key =
            (std::uint64_t(client.sin_addr.s_addr) << 16) | std::uint64_t(client.sin_port);
    std::unique_ptr<Socket> &it = m_byClient[key];
    if (!it) {
        it = makeSocket();
        it->client = client;
    }
    return *it;
}

} // namespace catkinloft::standin
