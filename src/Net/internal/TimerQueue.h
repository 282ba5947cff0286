#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

struct event;
struct event_base;

namespace catkinloft::internal {

/// \brief The timers of an event loop. They run in the order in which they are due.
///
/// Due timers run only after a poll of the sockets that found nothing to read. After a stall (a
/// stopped process, a suspended VM, a callback that took long) many timers are due, and what would
/// have stopped them waits in the sockets: a timeout that runs first gives up an answer that has
/// arrived. libevent runs timers before that when epoll_wait was interrupted, when more sockets are
/// readable than one call returns, or when one answer needs several reads.
class TimerQueue
{
public:
    using Callback = std::function<void()>;

    /// Due time and sequence number.
    using Key = std::pair<TimePoint, std::uint64_t>;

    /// Priorities that \a base needs. Its other events have the default, which is
    /// the middle one.
    static constexpr int Priorities = 3;

    /// \param ran is called before each timer that runs.
    TimerQueue(event_base *base, const Clock &clock, std::function<void()> ran);
    ~TimerQueue();
    TimerQueue(const TimerQueue &) = delete;
    TimerQueue &operator=(const TimerQueue &) = delete;

    /// \brief Calls \a callback once after \a delay.
    /// \returns the key for remove().
    Key add(Duration delay, Callback callback);

    /// \brief Removes a timer; without effect if it has run.
    void remove(const Key &key);

    /// \brief Removes all timers.
    /// \returns whether there were any. Destroying their callbacks may add others.
    bool clear();

    /// \returns how often the loop came to rest, with no socket ready, while timers were due.
    std::uint64_t rests() const { return m_rests; }

    /// \returns the time without the stalls of the loop, in which no timer could run for
    /// EventLoop::MinStall or longer. Measures how long others take to answer. Expiry times use
    /// EventLoop::now().
    TimePoint runningNow() const;

private:
    Duration stall(TimePoint now) const;
    void due();
    void defer(TimePoint now);
    void proceed();
    void run();
    void startAlarm(Duration delay);

    const Clock &m_clock;
    std::function<void()> m_ran;
    std::map<Key, Callback> m_timers;
    std::uint64_t m_lastNumber = 0;
    event *m_alarm; ///< Fires when the first timer is due, or at m_deferredUntil.
    event *m_idle; ///< Has the lowest priority: runs when no socket is ready.
    std::uint64_t m_rests = 0;
    bool m_isDeferring = false; ///< Due timers wait until the sockets have been read.
    TimePoint m_deferredUntil;
    bool m_isExtended = false; ///< The deferral was extended.
    bool m_isRunning = false; ///< Due timers run.
    Duration m_stalled = Duration::zero(); ///< Sum of the stalls until m_countedUntil.
    TimePoint m_countedUntil; ///< When timers last ran.
};

} // namespace catkinloft::internal
