#pragma once

#include "Base/Error.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace catkinloft {

class EventLoop;

/// \brief Sends and receives datagrams between routers over UDP.
class PeerTransport
{
public:
    using Receiver = std::function<void(const std::string &address, std::string_view datagram)>;

    PeerTransport(EventLoop &loop, Receiver receiver);
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    /// \returns an error if \a address, `ip:port`, can't be bound.
    Result<void> bind(const std::string &address);

    /// \brief Sends \a datagram to \a address, `ip:port`. It may be lost without a notification.
    void send(const std::string &address, std::string_view datagram);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
