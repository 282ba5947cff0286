#pragma once

namespace catkinloft {

/// \brief Order in which requests to one service are admitted while it is overloaded.
struct RequestRank
{
    int priority = 0; ///< Of the workspace or the route; 0 is the most urgent.
    /// The workspace sends more than its usual share; such requests come after all others.
    bool overShare = false;

    /// \returns whether this request is admitted before one with \a other.
    bool isBefore(const RequestRank &other) const
    {
        return overShare == other.overShare ? priority < other.priority : other.overShare;
    }
};

} // namespace catkinloft
