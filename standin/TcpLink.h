#pragma once

#include "LinkFaults.h"
#include "Net/EventLoop.h"

#include <functional>
#include <memory>
#include <string>

struct bufferevent;

namespace catkinloft::standin {

/// \brief One TCP connection through a FaultProxy, made of one to each end.
class TcpLink
{
public:
    struct Options
    {
        EventLoop &loop;
        LinkFaults &faults;
        std::string target;
        std::function<void(TcpLink *)> closed; ///< Called outside of the link's own callbacks.
    };

    /// \param fd the accepted connection, owned from now on.
    TcpLink(Options options, int fd);
    ~TcpLink();
    TcpLink(const TcpLink &) = delete;
    TcpLink &operator=(const TcpLink &) = delete;

    /// \brief Nothing passes any more, and neither end is told.
    void goSilent();

    /// \brief Closes both ends.
    void cut();

private:
    static void onRead(bufferevent *from, void *arg);
    static void onEvent(bufferevent *from, short what, void *arg);
    void pass(bufferevent *from);
    void ended(bufferevent *from);
    bufferevent *other(bufferevent *it) const { return it == m_client ? m_server : m_client; }

    Options m_options;
    bufferevent *m_client;
    bufferevent *m_server;
    bool m_silent = false;
    bool m_cut = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace catkinloft::standin
