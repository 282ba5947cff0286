#pragma once

#include "Net/Timer.h"

#include <cstdint>
#include <functional>
#include <string>

#include <event2/util.h>

struct event;

namespace catkinloft::internal {

/// \brief A connection that is opened only to find out whether a process listens at an address.
class ConnectProbe
{
public:
    enum class Outcome : std::uint8_t {
        Unreachable, ///< No response, or an error other than a refusal.
        Connected, ///< A process accepted the connection; a further outcome follows.
        StayedOpen, ///< The connection is open after DecisionTimeout; a further outcome follows.
        ProvenOpen, ///< The connection is open after CloseTimeout.
        Closed, ///< Refused, or closed before a byte was sent.
        Inconclusive, ///< Unexpected data was received.
    };

    /// Opening a connection within a region takes milliseconds.
    static constexpr Duration ConnectTimeout = std::chrono::milliseconds(150);

    /// Time after which an open connection counts as that of a running process, unless a proxy may
    /// be in front of it.
    static constexpr Duration DecisionTimeout = std::chrono::milliseconds(100);

    /// Time in which a proxy finds that nothing listens behind it and closes the connection: a
    /// round trip on its path to the target.
    static constexpr Duration CloseTimeout = std::chrono::milliseconds(250);

    /// \param address `ip:port`.
    /// \param sourceIp IP that the connection is opened from; empty: the system chooses it.
    /// \param found is called one or more times, never from within the constructor. The probe must
    /// not be destroyed from within it.
    ConnectProbe(EventLoop &loop, const std::string &address, const std::string &sourceIp,
                 std::function<void(Outcome)> found);
    ~ConnectProbe();
    ConnectProbe(const ConnectProbe &) = delete;
    ConnectProbe &operator=(const ConnectProbe &) = delete;

private:
    int connect(const std::string &address, const std::string &sourceIp);
    void connected();
    void readable(Outcome withoutData);

    std::function<void(Outcome)> m_found;
    Outcome m_outcomeAtTimeout = Outcome::Unreachable;
    Timer m_timeout;
    Timer m_closeTimeout;
    evutil_socket_t m_socket = -1;
    event *m_ready = nullptr;
};

} // namespace catkinloft::internal
