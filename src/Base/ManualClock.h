#pragma once

#include "Base/Clock.h"

namespace catkinloft {

/// \brief A paused clock which moves only when told to.
class ManualClock final : public Clock
{
public:
    TimePoint now() const override { return m_now; }
    WallTime wallNow() const override
    {
        return WallTime(
                std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()));
    }

    /// \param step how far to move; never negative.
    void advance(Duration step) { m_now += step; }

private:
    // Starts well after zero so that "never" and "an hour ago" stay representable.
    TimePoint m_now = TimePoint(std::chrono::hours(24));
};

} // namespace catkinloft
