#pragma once

#include <chrono>

namespace catkinloft {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// \brief The only source of time: the event loop in production, a ManualClock in tests.
///
/// \sa ManualClock, EventLoop
class Clock
{
public:
    virtual ~Clock() = default;

    /// \returns monotonic time, which also counts while the VM is suspended; differences are
    /// nanoseconds.
    virtual TimePoint now() const = 0;

    /// \returns calendar time in milliseconds; for people and for the platform only, since it may
    /// jump.
    virtual WallTime wallNow() const = 0;
};

/// \returns \a d in fractional seconds.
constexpr double toSeconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// \returns \a seconds as a duration, truncated to a nanosecond.
constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// \returns \a factor times \a d.
constexpr Duration scaled(Duration d, double factor)
{
    return fromSeconds(toSeconds(d) * factor);
}

} // namespace catkinloft
