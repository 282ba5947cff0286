#include "Net/EventLoop.h"

#include "Net/internal/Dispatch.h"
#include "Net/internal/Timeval.h"

#include <cstdint>
#include <ctime>
#include <map>
#include <utility>
#include <vector>

#include <event2/event.h>

namespace catkinloft {

namespace {

/// Interval of the checks for stalls; the lateness of a stall is exact to this interval.
constexpr Duration StallCheckInterval = std::chrono::milliseconds(100);

Duration clockTime(clockid_t clock)
{
    timespec ts{};
    clock_gettime(clock, &ts);
    return std::chrono::seconds(ts.tv_sec) + Duration(ts.tv_nsec);
}

} // namespace

struct EventLoop::Private
{
    /// The clocks at one moment.
    struct Clocks
    {
        Duration boot = clockTime(CLOCK_BOOTTIME);
        Duration monotonic = clockTime(CLOCK_MONOTONIC);
        Duration processor = clockTime(CLOCK_PROCESS_CPUTIME_ID);
    };

    struct Signal
    {
        Callback callback;
        event *ev = nullptr;
    };

    event_base *base = event_base_new();
    using ShotKey = std::pair<TimePoint, std::uint64_t>; ///< Due time and sequence number.

    struct OneShot
    {
        Private *owner;
        ShotKey key;
        Callback callback; ///< Empty once it has run.
    };

    std::vector<std::unique_ptr<Signal>> signals;
    std::map<ShotKey, std::unique_ptr<OneShot>> shots;
    std::uint64_t lastShot = 0;
    std::vector<Callback> posted;
    event *wake = nullptr;
    event *stallCheck = nullptr;
    Clocks checkedAt;
    std::function<void(const Stall &)> stalled;

    void startStallCheck()
    {
        const timeval tv = internal::toTimeval(StallCheckInterval);
        event_add(stallCheck, &tv);
    }

    void checkStall()
    {
        const Clocks last = std::exchange(checkedAt, Clocks());
        startStallCheck();
        const Duration elapsed = checkedAt.boot - last.boot;
        const Duration late = elapsed - StallCheckInterval;
        if (!stalled || late < MinStall)
            return;
        stalled({.late = late,
                 .suspended = elapsed - (checkedAt.monotonic - last.monotonic),
                 .processorTime = checkedAt.processor - last.processor});
    }

    /// Runs all callbacks up to \a key in the order of their keys. Needed because libevent timers
    /// that are due within one tick of its clock fire in any order.
    void runUpTo(const ShotKey &key)
    {
        std::vector<Callback> batch;
        for (auto it = shots.begin(); it != shots.end() && it->first <= key; ++it) {
            if (it->second->callback)
                batch.push_back(std::exchange(it->second->callback, nullptr));
        }
        shots.erase(key);
        for (const Callback &it : batch)
            internal::dispatch("timer", it);
    }

    void runPosted()
    {
        // Callbacks posted meanwhile run in the next iteration, so that sockets aren't starved.
        const std::vector<Callback> batch = std::exchange(posted, {});
        for (const Callback &it : batch)
            internal::dispatch("posted", it);
    }
};

EventLoop::EventLoop() : m_d(std::make_unique<Private>())
{
    m_d->wake = event_new(
            m_d->base, -1, 0,
            [](evutil_socket_t, short, void *arg) { static_cast<Private *>(arg)->runPosted(); },
            m_d.get());
    m_d->stallCheck = event_new(
            m_d->base, -1, 0,
            [](evutil_socket_t, short, void *arg) { static_cast<Private *>(arg)->checkStall(); },
            m_d.get());
}

EventLoop::~EventLoop()
{
    // Pending callbacks may own connections, which have to be freed before the event base.
    while (!m_d->posted.empty() || !m_d->shots.empty()) {
        const auto shots = std::exchange(m_d->shots, {});
        const auto posted = std::exchange(m_d->posted, {});
    }
    for (const auto &it : m_d->signals)
        event_free(it->ev);
    event_free(m_d->wake);
    event_free(m_d->stallCheck);
    event_base_free(m_d->base);
}

TimePoint EventLoop::now() const
{
    // CLOCK_MONOTONIC doesn't advance while a VM is suspended. Ages that protect something, such as
    // that of the proof that a key is still valid, have to include that time.
    return TimePoint(clockTime(CLOCK_BOOTTIME));
}

WallTime EventLoop::wallNow() const
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
}

void EventLoop::run()
{
    event_base_loop(m_d->base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::stop()
{
    event_base_loopbreak(m_d->base);
}

void EventLoop::runOnce()
{
    event_base_loop(m_d->base, EVLOOP_NONBLOCK);
}

void EventLoop::post(Callback callback)
{
    m_d->posted.push_back(std::move(callback));
    event_active(m_d->wake, EV_TIMEOUT, 1);
}

void EventLoop::after(Duration delay, Callback callback)
{
    const timeval tv = internal::toTimeval(delay);
    const Private::ShotKey key{now() + delay, ++m_d->lastShot};
    auto shot = std::make_unique<Private::OneShot>(
            Private::OneShot{m_d.get(), key, std::move(callback)});
    Private::OneShot *waiting = shot.get();
    m_d->shots.emplace(key, std::move(shot));
    event_base_once(
            m_d->base, -1, EV_TIMEOUT,
            [](evutil_socket_t, short, void *arg) {
                const auto *it = static_cast<Private::OneShot *>(arg);
                it->owner->runUpTo(Private::ShotKey(it->key));
            },
            waiting, &tv);
}

void EventLoop::onSignal(int number, Callback callback)
{
    auto signal = std::make_unique<Private::Signal>();
    signal->callback = std::move(callback);
    signal->ev = evsignal_new(
            m_d->base, number,
            [](evutil_socket_t, short, void *arg) {
                static_cast<Private::Signal *>(arg)->callback();
            },
            signal.get());
    event_add(signal->ev, nullptr);
    m_d->signals.push_back(std::move(signal));
}

void EventLoop::onStall(std::function<void(const Stall &)> callback)
{
    m_d->stalled = std::move(callback);
    m_d->checkedAt = {};
    m_d->startStallCheck();
}

event_base *EventLoop::base() const
{
    return m_d->base;
}

} // namespace catkinloft
