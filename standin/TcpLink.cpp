#include "TcpLink.h"

#include "SocketAddress.h"

#include <netinet/in.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace catkinloft::standin {

namespace {

void throttle(bufferevent *it, std::size_t bytesPerSecond)
{
    if (bytesPerSecond == 0)
        return;
    ev_token_bucket_cfg *cfg = ev_token_bucket_cfg_new(
            bytesPerSecond, bytesPerSecond, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, nullptr);
    // The link holds the configuration for as long as the short-lived process runs.
    bufferevent_set_rate_limit(it, cfg);
}

} // namespace

TcpLink::TcpLink(Options options, int fd)
    : m_options(std::move(options)),
      m_client(bufferevent_socket_new(m_options.loop.base(), fd, BEV_OPT_CLOSE_ON_FREE)),
      m_server(bufferevent_socket_new(m_options.loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
{
    for (bufferevent *it : {m_client, m_server}) {
        bufferevent_setcb(it, &TcpLink::onRead, nullptr, &TcpLink::onEvent, this);
        bufferevent_enable(it, EV_READ | EV_WRITE);
        throttle(it, m_options.faults.throttle);
    }
    const sockaddr_in target = socketAddress(m_options.target);
    bufferevent_socket_connect(m_server, reinterpret_cast<const sockaddr *>(&target),
                               sizeof target);
}

TcpLink::~TcpLink()
{
    bufferevent_free(m_client);
    bufferevent_free(m_server);
}

void TcpLink::goSilent()
{
    m_silent = true;
    for (bufferevent *it : {m_client, m_server})
        bufferevent_disable(it, EV_READ | EV_WRITE);
}

void TcpLink::cut()
{
    if (m_cut)
        return;
    m_cut = true;
    m_options.loop.post([this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            m_options.closed(this);
    });
}

void TcpLink::onRead(bufferevent *from, void *arg)
{
    static_cast<TcpLink *>(arg)->pass(from);
}

void TcpLink::onEvent(bufferevent *from, short what, void *arg)
{
    auto *self = static_cast<TcpLink *>(arg);
    if ((what & BEV_EVENT_CONNECTED) == 0 && !self->m_silent)
        self->ended(from);
}

void TcpLink::pass(bufferevent *from)
{
    evbuffer *in = bufferevent_get_input(from);
    if (m_cut) {
        evbuffer_drain(in, evbuffer_get_length(in));
        return;
    }
    if (from == m_server && m_options.faults.loseAnswers > 0) {
        --m_options.faults.loseAnswers;
        cut();
        return;
    }
    if (m_options.faults.delay <= Duration::zero()) {
        bufferevent_write_buffer(other(from), in);
        return;
    }
    const auto held = std::shared_ptr<evbuffer>(evbuffer_new(), &evbuffer_free);
    evbuffer_add_buffer(held.get(), in);
    m_options.loop.after(m_options.faults.delay,
                         [this, held, from, alive = std::weak_ptr(m_alive)] {
                             if (!alive.expired() && !m_silent)
                                 bufferevent_write_buffer(other(from), held.get());
                         });
}

void TcpLink::ended(bufferevent *from)
{
    // What was read before the end still has to reach the other side.
    evbuffer *rest = bufferevent_get_output(other(from));
    if (m_options.faults.delay > Duration::zero() || evbuffer_get_length(rest) > 0) {
        constexpr Duration Flush = std::chrono::milliseconds(50);
        m_options.loop.after(m_options.faults.delay + Flush,
                             [this, alive = std::weak_ptr(m_alive)] {
                                 if (!alive.expired())
                                     cut();
                             });
        return;
    }
    cut();
}

} // namespace catkinloft::standin
