#include "Net/EventLoop.h"

#include "Net/internal/Dispatch.h"
#include "Net/internal/SpinDetector.h"
#include "Net/internal/TimerQueue.h"
#include "Net/internal/Timeval.h"

#include <ctime>
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
    std::vector<std::unique_ptr<Signal>> signals;
    std::unique_ptr<internal::TimerQueue> timers;
    std::vector<Callback> posted;
    event *wake = nullptr;
    EventLoop &loop;
    Clocks checkedAt;
    std::uint64_t checkedProgress = 0; ///< Units of progress until checkedAt.
    std::uint64_t checkedRests = 0; ///< Rests of the timers until checkedAt.
    internal::SpinDetector spinDetector;
    std::function<void(const Stall &)> stalled;
    std::function<void(const Spin &)> spinning;

    explicit Private(EventLoop &it) : loop(it) { }

    /// Also bounds the error of TimerQueue::runningNow(), which sees a stall by its first timer.
    void startStallCheck()
    {
        timers->add(StallCheckInterval, [this] { checkStall(); });
    }

    void checkStall()
    {
        const Clocks last = std::exchange(checkedAt, Clocks());
        startStallCheck();
        const Duration elapsed = checkedAt.boot - last.boot;
        const Duration late = elapsed - StallCheckInterval;
        const std::uint64_t progress =
                loop.m_progress - std::exchange(checkedProgress, loop.m_progress);
        const bool hasRested = timers->rests() != std::exchange(checkedRests, timers->rests());
        // An interval with a stall is reported as one, and not as a spin.
        if (late < MinStall)
            return checkSpin({.processorTime = checkedAt.processor - last.processor,
                              .progress = progress,
                              .hasRested = hasRested});
        if (!stalled)
            return;
        stalled({.late = late,
                 .suspended = elapsed - (checkedAt.monotonic - last.monotonic),
                 .processorTime = checkedAt.processor - last.processor});
    }

    void checkSpin(const internal::SpinDetector::Usage &used)
    {
        const auto spin = spinDetector.add(used);
        if (spin && spinning)
            spinning({.processorTime = spin->processorTime, .progress = spin->progress});
    }

    void runPosted()
    {
        // Callbacks posted meanwhile run in the next iteration, so that sockets aren't starved.
        const std::vector<Callback> batch = std::exchange(posted, {});
        for (const Callback &it : batch) {
            loop.noteProgress();
            internal::dispatch("posted", it);
        }
    }
};

EventLoop::EventLoop() : m_d(std::make_unique<Private>(*this))
{
    event_base_priority_init(m_d->base, internal::TimerQueue::Priorities);
    m_d->timers =
            std::make_unique<internal::TimerQueue>(m_d->base, *this, [this] { noteProgress(); });
    m_d->wake = event_new(
            m_d->base, -1, 0,
            [](evutil_socket_t, short, void *arg) { static_cast<Private *>(arg)->runPosted(); },
            m_d.get());
    m_d->startStallCheck();
}

EventLoop::~EventLoop()
{
    // Pending callbacks may own connections, which have to be freed before the event base.
    while (m_d->timers->clear() || !m_d->posted.empty())
        const auto posted = std::exchange(m_d->posted, {});
    for (const auto &it : m_d->signals)
        event_free(it->ev);
    m_d->timers.reset();
    event_free(m_d->wake);
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
    m_d->timers->add(delay, std::move(callback));
}

void EventLoop::onSignal(int number, Callback callback)
{
    auto signal = std::make_unique<Private::Signal>();
    signal->callback = std::move(callback);
    signal->ev = evsignal_new(
            m_d->base, number,
            [](evutil_socket_t, short, void *arg) {
                internal::dispatch("signal", static_cast<Private::Signal *>(arg)->callback);
            },
            signal.get());
    event_add(signal->ev, nullptr);
    m_d->signals.push_back(std::move(signal));
}

void EventLoop::onStall(std::function<void(const Stall &)> callback)
{
    m_d->stalled = std::move(callback);
    m_d->checkedAt = {};
}

void EventLoop::onSpin(std::function<void(const Spin &)> callback)
{
    m_d->spinning = std::move(callback);
}

internal::TimerQueue &EventLoop::timers() const
{
    return *m_d->timers;
}

event_base *EventLoop::base() const
{
    return m_d->base;
}

} // namespace catkinloft
