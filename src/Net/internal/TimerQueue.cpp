#include "Net/internal/TimerQueue.h"

#include "Net/EventLoop.h"
#include "Net/internal/Dispatch.h"
#include "Net/internal/Timeval.h"

#include <algorithm>

#include <event2/event.h>

namespace catkinloft::internal {

namespace {

using namespace std::chrono_literals;

/// Longest delay; the sum with the current time must not overflow.
constexpr Duration MaxDelay = 24h * 365;

/// Due timers wait for the sockets at most for the time by which the first one is late, within
/// these limits, so that they also run if there is always something to read. Every timer is a few
/// milliseconds late, which the lower limit covers.
constexpr Duration MinDeferral = 10ms;

/// Reading what arrived for a thousand streams takes a part of this. Drains and heartbeats are
/// timers too and must not wait for longer.
constexpr Duration MaxDeferral = 500ms;

} // namespace

TimerQueue::TimerQueue(event_base *base, const Clock &clock, std::function<void()> ran)
    : m_clock(clock), m_ran(std::move(ran)),
      m_alarm(event_new(
              base, -1, 0,
              [](evutil_socket_t, short, void *arg) { static_cast<TimerQueue *>(arg)->due(); },
              this)),
      m_idle(event_new(
              base, -1, 0,
              [](evutil_socket_t, short, void *arg) {
                  auto *self = static_cast<TimerQueue *>(arg);
                  ++self->m_rests;
                  self->proceed();
              },
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

TimePoint TimerQueue::runningNow() const
{
    const TimePoint now = m_clock.now();
    return now - m_stalled - stall(now);
}

/// \returns how long the loop has stalled at \a now beyond m_stalled; zero if it hasn't.
Duration TimerQueue::stall(TimePoint now) const
{
    if (m_isRunning || m_timers.empty())
        return Duration::zero();
    const Duration late = now - std::max(m_timers.begin()->first.first, m_countedUntil);
    return late >= EventLoop::MinStall ? late : Duration::zero();
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
            return proceed();
        return startAlarm(m_deferredUntil - now);
    }
    if (m_timers.empty())
        return;
    // The first timer may have been removed, and the clock of libevent is coarser.
    if (now < m_timers.begin()->first.first)
        return startAlarm(m_timers.begin()->first.first - now);
    m_isDeferring = true;
    m_isExtended = false;
    defer(now);
}

void TimerQueue::defer(TimePoint now)
{
    const Duration late = m_timers.empty() ? MinDeferral : now - m_timers.begin()->first.first;
    m_deferredUntil = now + std::clamp<Duration>(late, MinDeferral, MaxDeferral);
    startAlarm(m_deferredUntil - now);
    // Events of a lower priority run only in an iteration without others, so at the earliest after
    // the next poll of the sockets.
    event_active(m_idle, EV_TIMEOUT, 1);
}

/// Ends the deferral, unless the loop stalled within it: the sockets were read before that. A
/// single extension keeps timers running in a process that is always late.
void TimerQueue::proceed()
{
    const TimePoint now = m_clock.now();
    if (m_isExtended || now - m_deferredUntil < MinDeferral)
        return run();
    m_isExtended = true;
    defer(now);
}

void TimerQueue::run()
{
    event_del(m_idle);
    TimePoint now = m_clock.now();
    m_stalled += stall(now);
    m_countedUntil = now;
    m_isRunning = true;
    // Timers that the callbacks add run after the next poll; so do all others after a callback that
    // took so long that it was a stall itself.
    const Key last{now, m_lastNumber};
    while (!m_timers.empty() && m_timers.begin()->first <= last
           && now - m_countedUntil < EventLoop::MinStall) {
        const auto timer = m_timers.extract(m_timers.begin());
        m_ran();
        dispatch("timer", timer.mapped());
        now = m_clock.now();
    }
    if (now - m_countedUntil >= EventLoop::MinStall) {
        m_stalled += now - m_countedUntil;
        m_countedUntil = now;
    }
    m_isRunning = false;
    m_isDeferring = false;
    if (m_timers.empty())
        event_del(m_alarm);
    else
        startAlarm(m_timers.begin()->first.first - now);
}

} // namespace catkinloft::internal
