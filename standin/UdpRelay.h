#pragma once

#include "LinkFaults.h"
#include "Net/EventLoop.h"

#include "Base/Random.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <netinet/in.h>

struct event;

namespace catkinloft::standin {

/// \brief Forwards datagrams to a target. Uses a separate socket for each sender, so that answers
/// can be sent back to it.
class UdpRelay
{
public:
    struct Options
    {
        EventLoop &loop;
        LinkFaults &faults;
        std::string listen;
        std::string target;
    };

    explicit UdpRelay(Options options);
    ~UdpRelay();
    UdpRelay(const UdpRelay &) = delete;
    UdpRelay &operator=(const UdpRelay &) = delete;

private:
    struct Socket
    {
        UdpRelay *owner = nullptr;
        int fd = -1;
        event *ev = nullptr;
        sockaddr_in client{}; ///< Receives the answers; unused for the listening socket.
        ~Socket();
    };

    std::unique_ptr<Socket> makeSocket();
    static void onReadable(int fd, short what, void *arg);
    void received(Socket &from, std::string_view data, const sockaddr_in &sender);
    void sendLater(int fd, std::string_view data, const sockaddr_in &to);
    Socket &socketFor(const sockaddr_in &client);

    Options m_options;
    sockaddr_in m_target{};
    RandomSource m_random = seededRandom(1);
    std::unique_ptr<Socket> m_listening;
    std::map<std::uint64_t, std::unique_ptr<Socket>> m_byClient;
};

} // namespace catkinloft::standin
