#pragma once

#include "Base/Clock.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief The end of a replica's process while it worked on a request.
struct ReplicaCrash
{
    std::string replica = {}; ///< Its incarnation.
    std::string software = {}; ///< \sa ReplicaRecord::software
    TimePoint at = {};
};

/// \brief The replicas that ended while one request ran on them, since a run of it last completed.
///
/// Records of several routers merge: the result depends neither on the order in which they come nor
/// on how often one does.
class CrashRecord
{
public:
    /// Ends that one record keeps: the oldest, and the newest.
    static constexpr std::size_t MaxCrashes = 8;

    /// Ends that follow each other more closely are one piece of evidence: a rack that is lost
    /// takes several replicas, with all that ran on them, at one moment.
    static constexpr Duration IncidentGap = std::chrono::milliseconds(100);

    /// Longest moment: a request that comes without pause ends replicas without pause.
    static constexpr Duration MaxIncidentTime = std::chrono::milliseconds(500);

    /// \brief Adds \a end. \returns whether the record changed.
    bool add(const ReplicaCrash &end);

    /// \brief Notes that a run completed at \a at, which voids the ends before it.
    /// \returns whether the record changed.
    bool clear(TimePoint at);

    /// \brief Adds all that \a other holds. \returns whether this record changed.
    bool merge(const CrashRecord &other);

    /// \returns at how many moments replicas ended, counting the ends that \a counts.
    int incidents(const std::function<bool(const ReplicaCrash &)> &counts) const;

    /// \returns whether \a replica is among those that ended.
    bool has(std::string_view replica) const;

    /// \returns whether a replica ended that ran \a software.
    bool hasSoftware(std::string_view software) const;

    /// \returns the ends in order of time.
    std::span<const ReplicaCrash> replicaCrashes() const { return m_crashes; }

    /// \returns when a run completed last; TimePoint::min(): none is known.
    TimePoint clearedAt() const { return m_clearedAt; }

    /// \returns when something was learned last.
    TimePoint lastEventAt() const;

private:
    std::vector<ReplicaCrash> m_crashes;
    TimePoint m_clearedAt = TimePoint::min();
};

} // namespace catkinloft
