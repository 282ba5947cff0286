#include "Net/Timer.h"

#include "Net/EventLoop.h"
#include "Net/internal/Dispatch.h"
#include "Net/internal/Timeval.h"

#include <event2/event.h>

namespace catkinloft {

struct Timer::Private
{
    event *ev = nullptr;
    std::function<void()> callback;
    Duration interval = Duration::zero();

    static void fire(evutil_socket_t, short, void *arg)
    {
        auto *d = static_cast<Private *>(arg);
        if (d->interval > Duration::zero()) {
            const timeval tv = internal::toTimeval(d->interval);
            event_add(d->ev, &tv);
        }
        // Copied, because the callback may destroy the timer.
        const std::function<void()> callback = d->callback;
        internal::dispatch("timer", callback);
    }
};

Timer::Timer(EventLoop &loop, std::function<void()> callback) : m_d(std::make_unique<Private>())
{
    m_d->callback = std::move(callback);
    m_d->ev = event_new(loop.base(), -1, 0, &Private::fire, m_d.get());
}

Timer::~Timer()
{
    event_free(m_d->ev);
}

void Timer::start(Duration delay)
{
    m_d->interval = Duration::zero();
    const timeval tv = internal::toTimeval(delay);
    event_add(m_d->ev, &tv);
}

void Timer::startRepeating(Duration interval)
{
    m_d->interval = interval;
    const timeval tv = internal::toTimeval(interval);
    event_add(m_d->ev, &tv);
}

void Timer::stop()
{
    m_d->interval = Duration::zero();
    event_del(m_d->ev);
}

bool Timer::isPending() const
{
    return event_pending(m_d->ev, EV_TIMEOUT, nullptr) != 0;
}

} // namespace catkinloft
