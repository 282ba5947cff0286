#pragma once

#include "Base/Clock.h"

#include <optional>

namespace catkinloft {

/// \brief Mean time between the events of one stream.
class EventPace
{
public:
    /// \brief Records an event that arrived at \a now.
    void add(TimePoint now)
    {
        if (m_events++ == 0)
            m_first = now;
        m_last = now;
    }

    /// \returns the mean time between two events; std::nullopt if there are too few of them for a
    /// single late one not to decide.
    std::optional<Duration> mean() const
    {
        if (m_events < MinEvents)
            return std::nullopt;
        return (m_last - m_first) / (m_events - 1);
    }

private:
    static constexpr int MinEvents = 8;

    int m_events = 0;
    TimePoint m_first = {};
    TimePoint m_last = {};
};

} // namespace catkinloft
