#include "Net/Timer.h"

#include "Net/EventLoop.h"
#include "Net/internal/TimerQueue.h"

#include <optional>

namespace catkinloft {

struct Timer::Private
{
    internal::TimerQueue &queue;
    std::function<void()> callback;
    Duration interval = Duration::zero();
    std::optional<internal::TimerQueue::Key> key = {}; ///< Set while the timer runs.

    void start(Duration delay)
    {
        stop();
        key = queue.add(delay, [this] { fire(); });
    }

    void stop()
    {
        if (key)
            queue.remove(*key);
        key.reset();
    }

    void fire()
    {
        key.reset();
        if (interval > Duration::zero())
            start(interval);
        // Copied, because the callback may destroy the timer.
        const std::function<void()> current = callback;
        current();
    }
};

Timer::Timer(EventLoop &loop, std::function<void()> callback)
    : m_d(new Private{.queue = loop.timers(), .callback = std::move(callback)})
{ }

Timer::~Timer()
{
    m_d->stop();
}

void Timer::start(Duration delay)
{
    m_d->interval = Duration::zero();
    m_d->start(delay);
}

void Timer::startRepeating(Duration interval)
{
    m_d->interval = interval;
    m_d->start(interval);
}

void Timer::stop()
{
    m_d->interval = Duration::zero();
    m_d->stop();
}

bool Timer::isPending() const
{
    return m_d->key.has_value();
}

} // namespace catkinloft
