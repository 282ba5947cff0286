#pragma once

#include <chrono>

namespace catkinloft {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// \brief Interface to the current time. The event loop implements it in production, ManualClock in
/// tests.
///
/// \sa ManualClock, EventLoop
class Clock
{
public:
    virtual ~Clock() = default;

    /// \returns monotonic time in nanoseconds. It continues to advance while the VM is suspended.
    virtual TimePoint now() const = 0;

    /// \returns calendar time in milliseconds. It may jump, so it is used only in output for people
    /// and in the platform's protocols.
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
