#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <functional>
#include <memory>

struct event_base;

namespace catkinloft {

namespace internal {
class TimerQueue;
}

/// \brief The event loop of one thread; also its clock.
///
/// The state of a task is accessed on this thread only. Other tasks pass it messages through
/// post().
class EventLoop final : public Clock
{
public:
    using Callback = std::function<void()>;

    EventLoop();
    ~EventLoop() override;
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    TimePoint now() const override;
    WallTime wallNow() const override;

    /// \brief Runs until stop().
    void run();
    void stop();

    /// \brief Runs the callbacks that are due and returns. For tests.
    void runOnce();

    /// \brief Queues \a callback behind the events that are being processed, so that it runs
    /// outside of the caller's stack. Callbacks run in the order in which they were queued.
    void post(Callback callback);

    /// \brief Calls \a callback once after \a delay. Callbacks run in the order in which they are
    /// due; callbacks with the same delay run in the order of the calls.
    void after(Duration delay, Callback callback);

    /// \brief Calls \a callback when the process receives signal \a number.
    void onSignal(int number, Callback callback);

    /// \brief A time in which the loop processed no events although it should have.
    struct Stall
    {
        Duration late = Duration::zero(); ///< Includes the time in which the machine was suspended.
        Duration suspended = Duration::zero();
        Duration processorTime = Duration::zero(); ///< Used by the process meanwhile.
    };

    /// Lateness from which on a stall is reported.
    static constexpr Duration MinStall = std::chrono::milliseconds(200);

    /// \brief Calls \a callback once after each stall of the loop: the process was stopped or got
    /// no processor, the machine was suspended, or a callback took long. A null \a callback ends
    /// this.
    void onStall(std::function<void(const Stall &)> callback);

    /// \brief Processor time that the loop used with little progress.
    struct Spin
    {
        Duration processorTime = Duration::zero();
        std::uint64_t progress = 0; ///< Units that were counted meanwhile.
    };

    /// \brief Counts a unit of progress: bytes that were read or written, a datagram. The loop
    /// counts its own callbacks.
    void noteProgress() { ++m_progress; }

    /// \brief Calls \a callback while the loop spins, once for about a second of processor time. A
    /// null \a callback ends this.
    void onSpin(std::function<void(const Spin &)> callback);

    event_base *base() const;

    /// \returns the timers of the loop. \sa Timer
    internal::TimerQueue &timers() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
    std::uint64_t m_progress = 0;
};

} // namespace catkinloft
