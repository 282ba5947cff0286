#include "Net/internal/ConnectProbe.h"

#include "Net/EventLoop.h"
#include "Net/internal/Dispatch.h"

#include <cerrno>

#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace catkinloft::internal {

ConnectProbe::ConnectProbe(EventLoop &loop, const std::string &address, const std::string &sourceIp,
                           std::function<void(Outcome)> found)
    : m_found(std::move(found)), m_timeout(loop, [this] { m_found(m_outcomeAtTimeout); }),
      m_closeTimeout(loop, [this] { readable(Outcome::ProvenOpen); })
{
    const int error = connect(address, sourceIp);
    if (error != EINPROGRESS) {
        m_outcomeAtTimeout = error == ECONNREFUSED ? Outcome::Closed : Outcome::Unreachable;
        m_timeout.start(Duration::zero());
        return;
    }
    m_timeout.start(ConnectTimeout);
    m_ready = event_new(
            loop.base(), m_socket, EV_WRITE,
            [](evutil_socket_t, short, void *arg) {
                dispatch("connect_probe", [arg] { static_cast<ConnectProbe *>(arg)->connected(); });
            },
            this);
    event_add(m_ready, nullptr);
}

ConnectProbe::~ConnectProbe()
{
    if (m_ready)
        event_free(m_ready);
    if (m_socket >= 0)
        evutil_closesocket(m_socket);
}

/// \returns EINPROGRESS while the connection is pending, else the error.
int ConnectProbe::connect(const std::string &address, const std::string &sourceIp)
{
    sockaddr_storage to{};
    int length = sizeof to;
    auto *raw = reinterpret_cast<sockaddr *>(&to);
    if (evutil_parse_sockaddr_port(address.c_str(), raw, &length) != 0)
        return EINVAL;
    m_socket = socket(to.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_socket < 0)
        return errno;
    sockaddr_storage from{};
    int fromLength = sizeof from;
    auto *rawFrom = reinterpret_cast<sockaddr *>(&from);
    if (!sourceIp.empty()
        && (evutil_parse_sockaddr_port(sourceIp.c_str(), rawFrom, &fromLength) != 0
            || bind(m_socket, rawFrom, static_cast<socklen_t>(fromLength)) != 0))
        return EINVAL;
    const bool atOnce = ::connect(m_socket, raw, static_cast<socklen_t>(length)) == 0;
    return atOnce ? EINPROGRESS : errno;
}

void ConnectProbe::connected()
{
    int error = 0;
    socklen_t length = sizeof error;
    getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0)
        return m_found(error == ECONNREFUSED ? Outcome::Closed : Outcome::Unreachable);
    event_assign(
            m_ready, event_get_base(m_ready), m_socket, EV_READ,
            [](evutil_socket_t, short, void *arg) {
                dispatch("connect_probe", [arg] {
                    static_cast<ConnectProbe *>(arg)->readable(Outcome::Inconclusive);
                });
            },
            this);
    event_add(m_ready, nullptr);
    m_outcomeAtTimeout = Outcome::StayedOpen;
    m_timeout.start(DecisionTimeout);
    m_closeTimeout.start(CloseTimeout);
    m_found(Outcome::Connected);
}

/// Nothing was requested, so the only expected event is that the connection is closed. If the loop
/// is delayed, CloseTimeout may end before that event is processed.
/// \param withoutData the outcome if the connection is open and no data was received.
void ConnectProbe::readable(Outcome withoutData)
{
    char byte = 0;
    const ssize_t n = recv(m_socket, &byte, 1, 0);
    if (n == 1)
        return m_found(Outcome::Inconclusive);
    m_found(n < 0 && errno == EAGAIN ? withoutData : Outcome::Closed);
}

} // namespace catkinloft::internal
