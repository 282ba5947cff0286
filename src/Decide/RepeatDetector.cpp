#include "Decide/RepeatDetector.h"

#include <algorithm>

namespace catkinloft {

namespace {

/// Timeouts of a route from which its range is known, and the number that is remembered: a router
/// gets about two requests per second to a route, so that a changed timeout is learned within half
/// a minute.
constexpr std::size_t MinSamples = 16;
constexpr std::size_t MaxSamples = 64;

/// Share of the smallest timeouts that is left out of the range, since some callers repeat requests
/// without an overload too.
constexpr std::size_t OutlierDivisor = 20;

/// The range is extended by this part, since the shortest timeout may not have been seen yet.
constexpr double Margin = 0.1;

/// Least extension, as a part of the longest timeout. Where all callers state the same timeout,
/// requests that are sent some milliseconds later than usual would count as repeated.
constexpr double MinMargin = 0.01;

/// Ranges in which the shortest timeout is less than this part of the longest say nothing.
constexpr double MinUniformity = 0.5;

} // namespace

bool RepeatDetector::isRepeat(std::string_view route, Duration timeout, bool overloaded)
{
    const std::string key(route);
    auto it = m_ranges.find(key);
    if (it == m_ranges.end()) {
        if (overloaded || m_ranges.size() >= m_options.maxRoutes)
            return false;
        it = m_ranges.emplace(key, Range()).first;
    }
    const bool out = timeout < it->second.shortest;
    if (!overloaded)
        learn(it->second, timeout);
    return out;
}

void RepeatDetector::learn(Range &it, Duration timeout)
{
    if (it.recent.size() < MaxSamples)
        it.recent.push_back(timeout);
    else
        it.recent[it.next] = timeout;
    it.next = (it.next + 1) % MaxSamples;
    if (it.recent.size() < MinSamples)
        return;
    std::vector<Duration> sorted = it.recent;
    const auto low = sorted.begin()
            + static_cast<std::ptrdiff_t>((sorted.size() + OutlierDivisor - 1) / OutlierDivisor);
    std::nth_element(sorted.begin(), low, sorted.end());
    const Duration shortest = *low;
    const Duration longest = *std::max_element(low, sorted.end());
    const Duration margin =
            std::max(scaled(longest - shortest, Margin), scaled(longest, MinMargin));
    it.shortest = shortest < scaled(longest, MinUniformity) ? Duration::zero() : shortest - margin;
}

} // namespace catkinloft
