#include "Decide/ColdRateLimit.h"

#include <algorithm>

namespace catkinloft {

namespace {

/// The second in which requests are counted, plus 100 ms by which two requests may come closer on
/// their way: one that has to open a connection arrives later than one that reuses an open one.
constexpr Duration Window = std::chrono::milliseconds(1100);

/// Stated limits beyond these count as them, because the numbers below could not hold the result.
constexpr double MinFleetLimit = 1e-6;
constexpr double MaxFleetLimit = 1e9;

} // namespace

ColdRateLimit ColdRateLimit::fromFleetLimit(double fleetLimit, int routers)
{
    const double half = std::clamp(fleetLimit, MinFleetLimit, MaxFleetLimit) / 2;
    if (half < 1)
        return {.senders = 1, .minInterval = scaled(Window, 1 / half)};
    const auto whole = static_cast<std::size_t>(half);
    const std::size_t senders = std::min(whole, static_cast<std::size_t>(std::max(1, routers)));
    return {.senders = senders, .minInterval = Window / static_cast<std::int64_t>(whole / senders)};
}

} // namespace catkinloft
