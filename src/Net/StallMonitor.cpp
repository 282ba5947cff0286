#include "Net/StallMonitor.h"

#include "Base/Log.h"
#include "Base/Metrics.h"

namespace catkinloft {

namespace {

/// Interval within which a further stall is logged only if it is longer than the logged one. A
/// process that is short of processor time stalls several times a second.
constexpr Duration LogInterval = std::chrono::seconds(1);

} // namespace

StallMonitor::StallMonitor(EventLoop &loop, Metrics &metrics) : m_loop(loop), m_metrics(metrics)
{
    m_metrics.addCollector([this](Metrics &it) {
        it.set("catkinloft_event_loop_longest_stall_seconds", toSeconds(m_longest));
        it.set("catkinloft_event_loop_spinning_seconds", toSeconds(m_spinning));
    });
    m_loop.onStall([this](const EventLoop::Stall &it) { stalled(it); });
    m_loop.onSpin([this](const EventLoop::Spin &it) { spinning(it); });
}

StallMonitor::~StallMonitor()
{
    m_loop.onStall(nullptr);
    m_loop.onSpin(nullptr);
}

std::string_view StallMonitor::cause(const EventLoop::Stall &stall)
{
    if (2 * stall.suspended >= stall.late)
        return "suspended";
    return 2 * stall.processorTime >= stall.late ? "busy" : "not_running";
}

void StallMonitor::stalled(const EventLoop::Stall &stall)
{
    m_metrics.count("catkinloft_event_loop_stalls_total");
    m_longest = std::max(m_longest, stall.late);
    const TimePoint now = m_loop.now();
    if (m_loggedAt != TimePoint::min() && now - m_loggedAt < LogInterval
        && stall.late <= m_logged) {
        ++m_unlogged;
        return;
    }
    m_loggedAt = now;
    m_logged = stall.late;
    Log::warning("event_loop_stalled",
                 {{"late_ms", stall.late / std::chrono::milliseconds(1)},
                  {"cause", std::string(cause(stall))},
                  {"processor_ms", stall.processorTime / std::chrono::milliseconds(1)},
                  {"suspended_ms", stall.suspended / std::chrono::milliseconds(1)},
                  {"unlogged", std::exchange(m_unlogged, 0)}});
}

void StallMonitor::spinning(const EventLoop::Spin &spin)
{
    m_spinning += spin.processorTime;
    Log::warning("event_loop_spinning",
                 {{"processor_ms", spin.processorTime / std::chrono::milliseconds(1)},
                  {"progress", spin.progress}});
}

} // namespace catkinloft
