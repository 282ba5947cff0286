#pragma once

#include "Base/Random.h"
#include "DelayLine.h"
#include "LinkFaults.h"
#include "Net/EventLoop.h"
#include "Net/Timer.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;

namespace catkinloft::standin {

/// \brief One TCP connection through a FaultProxy: the connections to the client and to the server.
class TcpLink
{
public:
    struct Options
    {
        EventLoop &loop;
        LinkFaults &faults;
        std::string target;
        std::function<void(TcpLink *)> closed; ///< Never called from a callback of the link.
    };

    /// \param fd the accepted connection; the link takes ownership.
    TcpLink(Options options, int fd);
    ~TcpLink();
    TcpLink(const TcpLink &) = delete;
    TcpLink &operator=(const TcpLink &) = delete;

    /// \brief Stops forwarding in both directions without closing either connection.
    void blackhole();

    /// \brief Stops forwarding while \a isStalled. What arrives meanwhile is forwarded afterwards,
    /// as by TCP after a loss of packets.
    void setStalled(bool isStalled);

    /// \brief Closes both connections.
    void cut();

private:
    /// \brief One direction of the link.
    struct Direction
    {
        bufferevent *from;
        bufferevent *to;
        DelayLine line;
        Timer timer;
        bool ended = false; ///< The sender closed its connection, and all its bytes were written.
    };

    static void onRead(bufferevent *from, void *arg);
    static void onWritten(bufferevent *to, void *arg);
    static void onEvent(bufferevent *from, short what, void *arg);
    void forward(Direction &direction);
    void releaseDue(Direction &direction);
    void cutOnceWritten(const Direction &direction);
    void startEndlessAnswer(std::string_view request);
    void breakOffAnswer(std::string_view request);
    void continueEndlessAnswer();
    void copyRefusal(const std::string &answer);
    void releaseCopy();
    Direction &directionFrom(bufferevent *it) { return it == m_client ? m_toServer : m_toClient; }
    Direction &directionTo(bufferevent *it) { return it == m_client ? m_toClient : m_toServer; }

    Options m_options;
    bufferevent *m_client;
    bufferevent *m_server;
    Direction m_toServer;
    Direction m_toClient;
    bool m_blackholed = false;
    bool m_cut = false;
    std::string m_repeated; ///< Written to the client whenever it has read all; may be empty.
    std::string m_copy; ///< Of a refusal; sent in front of the next answer. Empty: none.
    Timer m_copyTimer;
    RandomSource m_random;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace catkinloft::standin
