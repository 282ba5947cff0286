#include "fleet/PortAllocator.h"

#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace catkinloft::standin {

namespace {

constexpr std::uint16_t FirstPort = 12'000;
constexpr std::uint16_t LastPort = 20'000; ///< The cases of review/ listen on ports above it.
constexpr std::uint16_t BlockSize =
        100; ///< Enough for two fleets of four routers and six replicas.
constexpr std::uint16_t BlockCount = (LastPort - FirstPort) / BlockSize;

/// \returns a socket bound to \a port, or -1 if the port is in use.
int bindPort(std::uint16_t port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0)
        return fd;
    close(fd);
    return -1;
}

bool isFree(std::uint16_t port)
{
    const int fd = bindPort(port);
    if (fd < 0)
        return false;
    close(fd);
    return true;
}

} // namespace

PortAllocator::PortAllocator()
    // Processes that start together begin their search at different blocks.
    : m_search(static_cast<std::uint16_t>(getpid() % BlockCount))
{ }

PortAllocator::~PortAllocator()
{
    for (const int it : m_guards)
        close(it);
}

bool PortAllocator::claimBlock()
{
    for (int i = 0; i < BlockCount; ++i) {
        const auto first = static_cast<std::uint16_t>(FirstPort + m_search * BlockSize);
        m_search = static_cast<std::uint16_t>((m_search + 1) % BlockCount);
        const int fd = bindPort(first);
        if (fd < 0)
            continue;
        listen(fd, 1);
        m_guards.push_back(fd);
        m_blocks.push_back(first);
        return true;
    }
    return false;
}

bool PortAllocator::advance()
{
    if (!m_blocks.empty() && ++m_offset < BlockSize)
        return true;
    m_offset = 1;
    if (claimBlock())
        m_block = m_blocks.size() - 1;
    else if (!m_blocks.empty())
        m_block = (m_block + 1) % m_blocks.size(); // No block is free: reuse the own ones.
    return !m_blocks.empty();
}

std::vector<std::uint16_t> PortAllocator::take(std::size_t n)
{
    std::vector<std::uint16_t> out;
    for (int tries = 0; tries < LastPort - FirstPort && out.size() < n; ++tries) {
        if (!advance())
            break;
        const auto port = static_cast<std::uint16_t>(m_blocks[m_block] + m_offset);
        if (isFree(port))
            out.push_back(port);
    }
    if (out.size() < n)
        throw std::runtime_error("not enough free ports on 127.0.0.1");
    return out;
}

std::vector<std::uint16_t> freePorts(std::size_t n)
{
    static PortAllocator allocator;
    return allocator.take(n);
}

} // namespace catkinloft::standin
