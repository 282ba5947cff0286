#pragma once

#include "Net/EventLoop.h"

#include <cstdint>
#include <string_view>

namespace catkinloft {

class Metrics;

/// \brief Logs the stalls of an event loop, and when it spins, and counts them in the metrics.
///
/// What the process does right after a stall looks like a failure of others: their answers are late
/// by the length of the stall. The log line tells these apart.
class StallMonitor
{
public:
    /// The loop and the metrics must outlive the monitor.
    StallMonitor(EventLoop &loop, Metrics &metrics);
    ~StallMonitor();
    StallMonitor(const StallMonitor &) = delete;
    StallMonitor &operator=(const StallMonitor &) = delete;

    /// \returns `suspended`, `busy` (the process used the processor for most of the time) or
    /// `not_running` (it was stopped, waited for a lock or a file, or got no processor).
    static std::string_view cause(const EventLoop::Stall &stall);

private:
    void stalled(const EventLoop::Stall &stall);
    void spinning(const EventLoop::Spin &spin);

    EventLoop &m_loop;
    Metrics &m_metrics;
    Duration m_longest = Duration::zero();
    Duration m_spinning = Duration::zero(); ///< Processor time of all spins.
    TimePoint m_loggedAt = TimePoint::min();
    Duration m_logged = Duration::zero(); ///< Lateness in the last line.
    std::uint64_t m_unlogged = 0; ///< Stalls since the last line.
};

} // namespace catkinloft
