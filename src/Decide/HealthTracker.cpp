#include "Decide/HealthTracker.h"

#include <algorithm>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// The moving averages cover about ten attempts, so that one slow answer does not eject an
/// upstream.
constexpr double Smoothing = 0.1;
constexpr int MinSamples = 10;
constexpr int MaxFailuresInRow = 3; ///< A crashed engine is ejected after three requests.
constexpr double MaxErrorRate = 0.5;
constexpr double MaxCostRatio = 3; ///< Mixed prompt lengths alone stay below twice the median.

/// An answer that takes longer than this many medians was delayed by a pause, such as a lost packet
/// or a suspended VM, and counts as one that took so long. A single one raises the average to less
/// than MaxCostRatio; three in a row eject.
constexpr double PauseCostRatio = 11;

constexpr Duration FirstEjection = 5s;
constexpr Duration FirstRamp = 10s;
constexpr int MaxSetbacks = 4; ///< Limits an ejection to 80 s and a slow start to 160 s.
constexpr double MinRamp = 0.1; ///< Without requests an engine could not show that it is healthy.

bool countsAgainstUpstream(const AttemptReport &report)
{
    // The concurrency limit handles overload. Ejecting an overloaded engine would overload others.
    return !report.succeeded && report.reason != Reason::CallerGone
            && report.reason != Reason::UpstreamRefused;
}

} // namespace

bool HealthTracker::record(Entry &it, double work, const AttemptReport &report,
                           std::size_t poolSize, TimePoint now)
{
    const State stateBefore = it.state;
    const bool failed = countsAgainstUpstream(report);
    it.probing = false;
    it.errorRate += Smoothing * ((failed ? 1 : 0) - it.errorRate);
    it.failuresInRow = failed ? it.failuresInRow + 1 : 0;
    if (report.succeeded)
        addCost(it, toSeconds(report.total) / std::max(1.0, work), report.total, now);
    ++it.samples;
    if (it.state == State::HalfOpen) {
        const double cost = toSeconds(report.total) / std::max(1.0, work);
        const bool slow = m_medianCost > 0 && cost > MaxCostRatio * m_medianCost;
        if (failed || slow)
            eject(it, now);
        else if (report.succeeded)
            recover(it, now);
    } else if (it.state == State::Healthy && isOutlier(it) && mayEject(poolSize)) {
        ++m_ejected;
        eject(it, now);
    }
    return it.state != stateBefore;
}

/// All requests that an upstream has in progress are late after one pause of it, such as a
/// suspended VM, and count once.
void HealthTracker::addCost(Entry &it, double cost, Duration total, TimePoint now) const
{
    if (m_medianCost > 0 && cost > PauseCostRatio * m_medianCost) {
        if (now - total < it.pausedUntil)
            return;
        it.pausedUntil = now;
        cost = PauseCostRatio * m_medianCost;
    }
    // A pause that was averaged before the median was known must not eject the upstream without
    // another slow attempt.
    const double average =
            m_medianCost > 0 ? std::min(it.cost, MaxCostRatio * m_medianCost) : it.cost;
    it.cost = it.samples == 0 ? cost : average + Smoothing * (cost - average);
}

bool HealthTracker::ejectImmediately(Entry &it, std::size_t poolSize, TimePoint now)
{
    if (it.state != State::Healthy || !mayEject(poolSize))
        return false;
    ++m_ejected;
    eject(it, now);
    return true;
}

bool HealthTracker::ejectFaulty(Entry &it, std::size_t poolSize, TimePoint now)
{
    if (it.state != State::Healthy || 2 * (static_cast<std::size_t>(m_ejected) + 1) > poolSize)
        return false;
    ++m_ejected;
    eject(it, now);
    return true;
}

bool HealthTracker::isOutlier(const Entry &it) const
{
    if (it.failuresInRow >= MaxFailuresInRow)
        return true;
    if (it.samples < MinSamples)
        return false;
    return it.errorRate > MaxErrorRate
            || (m_medianCost > 0 && it.cost > MaxCostRatio * m_medianCost);
}

bool HealthTracker::mayEject(std::size_t poolSize) const
{
    // If many upstreams look bad at once, the cause is elsewhere, and ejecting them would overload
    // the remaining ones.
    return m_ejected + 1 <= m_maxEjectedShare * static_cast<double>(poolSize);
}

void HealthTracker::eject(Entry &it, TimePoint now)
{
    ++m_ejections;
    it.ejectedUntil = now + FirstEjection * (1 << it.setbacks);
    it.state = State::Ejected;
    addSetback(it, now);
}

void HealthTracker::recover(Entry &it, TimePoint now)
{
    --m_ejected;
    it.state = State::Healthy;
    it.errorRate = 0;
    it.samples = 0;
    it.rampStart = now;
    it.rampTime = FirstRamp * (1 << std::max(0, it.setbacks - 1));
}

void HealthTracker::addSetback(Entry &it, TimePoint now)
{
    if (it.setbacks > 0 && now - it.setbackAt > SetbackLifetime)
        it.setbacks /= 2;
    it.setbacks = std::min(it.setbacks + 1, MaxSetbacks);
    it.setbackAt = now;
}

void HealthTracker::updateBaseline(std::vector<double> costs)
{
    if (costs.size() < 3)
        return; // Of two upstreams neither can be called the outlier.
    const auto middle = costs.begin() + static_cast<std::ptrdiff_t>(costs.size() / 2);
    std::nth_element(costs.begin(), middle, costs.end());
    m_medianCost = *middle;
}

bool HealthTracker::admits(Entry &it, TimePoint now)
{
    if (it.state == State::Ejected && now >= it.ejectedUntil)
        it.state = State::HalfOpen;
    return it.state == State::Healthy || (it.state == State::HalfOpen && !it.probing);
}

void HealthTracker::joined(Entry &it, TimePoint now)
{
    it.rampStart = now;
    it.rampTime = FirstRamp * (1 << it.setbacks);
    addSetback(it, now);
}

double HealthTracker::costRatio(const Entry &it) const
{
    return m_medianCost > 0 ? it.cost / m_medianCost : 0;
}

double HealthTracker::ramp(const Entry &it, TimePoint now)
{
    if (it.rampTime == Duration::zero() || now - it.rampStart >= it.rampTime)
        return 1;
    return std::max(MinRamp, toSeconds(now - it.rampStart) / toSeconds(it.rampTime));
}

void HealthTracker::removed(const Entry &it)
{
    if (it.state != State::Healthy)
        --m_ejected;
}

} // namespace catkinloft
