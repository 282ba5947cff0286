#pragma once

#include "Net/EventLoop.h"
#include "Net/Timer.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <fmt/format.h>
#include <netinet/in.h>

namespace catkinloft {

/// A proxy in front of a replica. It accepts every connection, and closes it once it has learned
/// that nothing listens behind it.
class ClosingProxy
{
public:
    explicit ClosingProxy(EventLoop &loop) : m_loop(loop)
    {
        sockaddr_in any{};
        any.sin_family = AF_INET;
        any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_listener = evconnlistener_new_bind(
                loop.base(),
                [](evconnlistener *, evutil_socket_t fd, sockaddr *, int, void *self) {
                    static_cast<ClosingProxy *>(self)->accepted(fd);
                },
                this, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<sockaddr *>(&any), sizeof any);
        REQUIRE(m_listener);
        sockaddr_in bound{};
        socklen_t length = sizeof bound;
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&bound),
                    &length);
        m_address = fmt::format("127.0.0.1:{}", ntohs(bound.sin_port));
    }

    ~ClosingProxy()
    {
        closeConnections();
        stopListening();
    }

    ClosingProxy(const ClosingProxy &) = delete;
    ClosingProxy &operator=(const ClosingProxy &) = delete;

    const std::string &address() const { return m_address; }
    int connections() const { return m_connections; }

    /// Closes each connection this long after it was accepted.
    void closeAfter(Duration delay) { m_closeAfter = delay; }

    void closeConnections()
    {
        for (const evutil_socket_t it : m_open)
            evutil_closesocket(it);
        m_open.clear();
    }

    void stopListening()
    {
        if (m_listener)
            evconnlistener_free(m_listener);
        m_listener = nullptr;
    }

private:
    void accepted(evutil_socket_t fd)
    {
        ++m_connections;
        m_open.push_back(fd);
        if (m_closeAfter == Duration::max())
            return;
        m_closing.push_back(std::make_unique<Timer>(m_loop, [this] { closeConnections(); }));
        m_closing.back()->start(m_closeAfter);
    }

    EventLoop &m_loop;
    evconnlistener *m_listener = nullptr;
    std::string m_address;
    Duration m_closeAfter = Duration::max();
    std::vector<evutil_socket_t> m_open;
    std::vector<std::unique_ptr<Timer>> m_closing;
    int m_connections = 0;
};

} // namespace catkinloft
