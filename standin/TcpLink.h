#pragma once

#include "DelayLine.h"
#include "LinkFaults.h"
#include "Net/EventLoop.h"
#include "Net/Timer.h"

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
    void blackhole();

    /// \brief Closes both ends.
    void cut();

private:
    /// \brief Bytes through the link from one end to the other.
    struct Direction
    {
        bufferevent *from;
        bufferevent *to;
        DelayLine line;
        Timer timer;
        bool ended = false; ///< The sender closed; all that it sent has been released.
    };

    static void onRead(bufferevent *from, void *arg);
    static void onWritten(bufferevent *to, void *arg);
    static void onEvent(bufferevent *from, short what, void *arg);
    void forward(Direction &direction);
    void releaseDue(Direction &direction);
    void cutOnceWritten(const Direction &direction);
    Direction &directionFrom(bufferevent *it) { return it == m_client ? m_toServer : m_toClient; }
    Direction &directionTo(bufferevent *it) { return it == m_client ? m_toClient : m_toServer; }

    Options m_options;
    bufferevent *m_client;
    bufferevent *m_server;
    Direction m_toServer;
    Direction m_toClient;
    bool m_blackholed = false;
    bool m_cut = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace catkinloft::standin
