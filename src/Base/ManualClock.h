#pragma once

#include "Base/Clock.h"

namespace catkinloft {

/// \brief A clock for tests that changes only by advance().
class ManualClock final : public Clock
{
public:
    TimePoint now() const override { return m_now; }
    WallTime wallNow() const override
    {
        return WallTime(
                std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()));
    }

    /// \param step time to add; must not be negative.
    void advance(Duration step) { m_now += step; }

private:
    // Far enough from zero that tests can subtract hours, and that zero can mean "never".
    TimePoint m_now = TimePoint(std::chrono::hours(24));
};

} // namespace catkinloft
