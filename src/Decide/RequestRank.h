#pragma once

#include <tuple>

namespace catkinloft {

/// \brief Order in which requests to one service are admitted while it is overloaded.
struct RequestRank
{
    int priority = 0; ///< Of the workspace, or else of the route; 0 is the most urgent.
    int routePriority = 0; ///< Decides among requests of the same priority.
    /// The workspace sends more than its usual share; such requests come after all others.
    bool overShare = false;
    /// The caller has tried before, so that its answer is probably late. Such requests come after
    /// first attempts of the same priority.
    bool repeated = false;

    /// \returns whether this request is admitted before one with \a other.
    bool isBefore(const RequestRank &other) const
    {
        return std::tie(overShare, priority, routePriority, repeated)
                < std::tie(other.overShare, other.priority, other.routePriority, other.repeated);
    }
};

} // namespace catkinloft
