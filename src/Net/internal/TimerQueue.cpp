#include "Net/internal/TimerQueue.h"

#include "Net/internal/Dispatch.h"
#include "Net/internal/Timeval.h"

#include <algorithm>

#include <event2/event.h>

namespace catkinloft::internal {

namespace {

using namespace std::chrono_literals;

/// Longest delay; the sum with the current time must not overflow.
constexpr Duration MaxDelay = 24h * 365;

/// Due timers wait for the sockets at most as long again as the first one is
/// late, so that they also run if there is always something to read. The lower
/// limit covers the few milliseconds for which every timer is late.
constexpr Duration MinDeferral = 10ms;

/// Reading what arrived for a thousand streams takes a part of this. Drains and
/// heartbeats are timers too and must not wait for longer.
constexpr Duration MaxDeferral = 500ms;

} // namespace

TimerQueue::TimerQueue(event_base *base, const Clock &clock)
    : m_clock(clock),
      m_alarm(event_new(
              base, -1, 0,
              [](evutil_socket_t, short, void *arg) { static_cast<TimerQueue *>(arg)->due(); },
              this)),
      m_idle(event_new(
              base, -1, 0,
              [](evutil_socket_t, short, void *arg) { static_cast<TimerQueue *>(arg)->run(); },
              this))
{
    event_priority_set(m_idle, Priorities - 1);
}

TimerQueue::~TimerQueue()
{
    event_free(m_alarm);
    event_free(m_idle);
}

TimerQueue::Key TimerQueue::add(Duration delay, Callback callback)
{
    const Duration bounded = std::clamp<Duration>(delay, Duration::zero(), MaxDelay);
    const Key key{m_clock.now() + bounded, ++m_lastNumber};
    const auto it = m_timers.emplace(key, std::move(callback)).first;
    if (it == m_timers.begin() && !m_isDeferring)
        startAlarm(bounded);
    return key;
}

void TimerQueue::remove(const Key &key)
{
    // The callback may own timers, so it is destroyed when the map is consistent
    // again.
    const auto removed = m_timers.extract(key);
}

bool TimerQueue::clear()
{
    const std::map<Key, Callback> removed = std::exchange(m_timers, {});
    return !removed.empty();
}

void TimerQueue::startAlarm(Duration delay)
{
    const timeval tv = toTimeval(delay);
    event_add(m_alarm, &tv);
}

void TimerQueue::due()
{
    const TimePoint now = m_clock.now();
    if (m_isDeferring) {
        if (now >= m_deferredUntil)
            return run();
        return startAlarm(m_deferredUntil - now);
    }
    if (m_timers.empty())
        return;
    // The alarm is early if the first timer was removed, or was added late in a
    // long iteration.
    const Duration late = now - m_timers.begin()->first.first;
    if (late < Duration::zero())
        return startAlarm(-late);
    m_isDeferring = true;
    m_deferredUntil = now + std::clamp<Duration>(late, MinDeferral, MaxDeferral);
    startAlarm(m_deferredUntil - now);
    // Events of a lower priority run only in an iteration without others, so at
    // the earliest after the next poll of the sockets.
    event_active(m_idle, EV_TIMEOUT, 1);
}

void TimerQueue::run()
{
    event_del(m_idle);
    // Timers that the callbacks add run after the next poll.
    const Key last{m_clock.now(), m_lastNumber};
    while (!m_timers.empty() && m_timers.begin()->first <= last) {
        const auto timer = m_timers.extract(m_timers.begin());
        dispatch("timer", timer.mapped());
    }
    m_isDeferring = false;
    if (m_timers.empty())
        event_del(m_alarm);
    else
        startAlarm(m_timers.begin()->first.first - m_clock.now());
}

} // namespace catkinloft::internal
