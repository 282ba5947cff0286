#include "fleet/Ports.h"

#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace catkinloft::standin {

namespace {

constexpr std::uint16_t FirstPort = 12'000;
constexpr std::uint16_t LastPort = 32'000;

bool isFree(std::uint16_t port)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool bound = bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
    close(fd);
    return bound;
}

} // namespace

std::vector<std::uint16_t> freePorts(std::size_t n)
{
    // Starting at a place that depends on the process keeps runs side by side apart.
    static std::uint16_t next = static_cast<std::uint16_t>(
            FirstPort + (static_cast<unsigned>(getpid()) * 97U) % (LastPort - FirstPort));
    std::vector<std::uint16_t> out;
    for (int tries = 0; tries < LastPort - FirstPort && out.size() < n; ++tries) {
        next = next >= LastPort ? FirstPort : static_cast<std::uint16_t>(next + 1);
        if (isFree(next))
            out.push_back(next);
    }
    if (out.size() < n)
        throw std::runtime_error("no free ports");
    return out;
}

} // namespace catkinloft::standin
