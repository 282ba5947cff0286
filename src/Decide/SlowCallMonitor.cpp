#include "Decide/SlowCallMonitor.h"

#include <algorithm>
#include <utility>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// A call that takes this many times as long as the longest one of its route is no slow one.
constexpr int UsualFactor = 3;

/// The times of a route are known for one to two windows.
constexpr Duration Window = 5min;

/// A replica without a sign of life for the stall limit divided by this number, or for
/// MinSignLimit if that is longer, may stand still. The rest of the time is left for another
/// attempt.
constexpr int SignDivisor = 4;

/// Checks come every 100 ms and are late on a busy machine.
constexpr Duration MinSignLimit = 300ms;

/// A sign of life that is older than its limit divided by this number is confirmed by a probe, so
/// that the answer arrives within the limit.
constexpr int ProbeDivisor = 2;

/// Shortest interval between probes of a replica.
constexpr Duration ProbeInterval = 200ms;

Duration signLimit(const SlowCallMonitor::Call &call)
{
    return std::max(MinSignLimit, call.stallLimit / SignDivisor);
}

} // namespace

void SlowCallMonitor::answered(const std::string &route, Duration time)
{
    observe(route, time);
}

void SlowCallMonitor::expired(const Call &call)
{
    if (isReplicaAlive(call))
        observe(call.route, call.time);
}

void SlowCallMonitor::observe(const std::string &route, Duration time)
{
    rotate();
    Duration &longest = m_longest[route];
    longest = std::max(longest, time);
}

/// Routes without answers are forgotten, so that changes of the configuration leave nothing behind.
void SlowCallMonitor::rotate()
{
    const TimePoint now = m_options.clock.now();
    if (m_rotatedAt != TimePoint::min() && now - m_rotatedAt < Window)
        return;
    m_longestBefore = std::exchange(m_longest, {});
    m_rotatedAt = now;
}

bool SlowCallMonitor::isUsual(const Call &call) const
{
    Duration longest = Duration::zero();
    for (const LongestByRoute *it : {&m_longest, &m_longestBefore}) {
        if (const auto found = it->find(call.route); found != it->end())
            longest = std::max(longest, found->second);
    }
    return longest == Duration::zero() || call.time < longest * UsualFactor;
}

Duration SlowCallMonitor::sinceSign(const std::string &replica) const
{
    const auto it = m_signs.find(replica);
    return it == m_signs.end() ? Duration::max() : m_options.clock.now() - it->second;
}

bool SlowCallMonitor::isReplicaAlive(const Call &call) const
{
    // A sign from before the call was sent says nothing about the time since then.
    return sinceSign(call.replica) < std::min(signLimit(call), call.time);
}

bool SlowCallMonitor::isSlow(const Call &call) const
{
    return isUsual(call) && isReplicaAlive(call);
}

void SlowCallMonitor::watch(const Call &call)
{
    if (call.time < call.stallLimit - signLimit(call) || !isUsual(call)
        || sinceSign(call.replica) < signLimit(call) / ProbeDivisor)
        return;
    const TimePoint now = m_options.clock.now();
    const auto [it, isFirst] = m_probed.try_emplace(call.replica, now);
    if (!isFirst && now - it->second < ProbeInterval)
        return;
    it->second = now;
    m_due.insert(call.replica);
    m_options.probesDue();
}

std::vector<std::string> SlowCallMonitor::dueProbes()
{
    std::vector<std::string> out(m_due.begin(), m_due.end());
    m_due.clear();
    return out;
}

void SlowCallMonitor::retain(const std::set<std::string> &registered)
{
    const auto isGone = [&](const auto &it) { return !registered.contains(it.first); };
    std::erase_if(m_signs, isGone);
    std::erase_if(m_probed, isGone);
}

} // namespace catkinloft
