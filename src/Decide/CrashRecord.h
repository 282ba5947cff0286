#pragma once

#include "Base/Clock.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief A replica process that terminated while it worked on a request.
struct ReplicaCrash
{
    std::string replica = {}; ///< Incarnation of the replica. \sa RequestQuarantine::crashName()
    std::string software = {}; ///< \sa ReplicaRecord::software
    TimePoint at = {};
    /// Time since the request was sent to the replica, the longest if it was sent several times.
    Duration runTime = UnknownRunTime;
    /// Whether a router that reaches other replicas has observed it. Otherwise the paths to the
    /// replica may have been lost. \sa CrashEvidence
    bool isConfirmed = true;
    /// The request was sent as a trial, while all others like it were held back.
    bool isTrial = false;

    static constexpr Duration UnknownRunTime = Duration::max();

    /// \returns when the request was sent; TimePoint::min() if that is not known.
    TimePoint sentAt() const;

    /// \brief Adds what \a other, a report of the same crash, knows more.
    /// \returns whether this changed.
    bool merge(const ReplicaCrash &other);
};

/// \brief The replicas that crashed while they ran one request, after its last completed run.
///
/// Records of several routers can be merged. The merge is commutative and idempotent, so records
/// may arrive in any order and more than once. Full records may keep different crashes of the same
/// incidents.
class CrashRecord
{
public:
    /// Maximum number of stored crashes. A full record keeps the latest one, and of the others
    /// those without which it would have fewer incidents.
    static constexpr std::size_t MaxCrashes = 8;

    /// Crashes that follow each other within this time belong to one incident, because the loss of
    /// a rack terminates several replicas, with all requests that run on them, at the same time.
    static constexpr Duration IncidentGap = std::chrono::milliseconds(100);

    /// Maximum duration of one incident. Without it, a fatal request that is sent without pause
    /// would crash replicas in close succession and count as a single incident.
    static constexpr Duration MaxIncidentTime = std::chrono::milliseconds(500);

    /// Inaccuracy of the times in updates, which have whole milliseconds.
    static constexpr Duration TimeTolerance = std::chrono::milliseconds(2);

    /// \brief Adds \a crash, or what it tells more of a known one.
    /// \returns whether the record changed.
    bool add(const ReplicaCrash &crash);

    /// \brief Records that a run completed at \a at, and removes all crashes up to that time.
    /// \returns whether the record changed.
    bool clear(TimePoint at);

    /// \brief Adds the content of \a other.
    /// \returns whether this record changed.
    bool merge(const CrashRecord &other);

    /// \returns the number of incidents among the crashes for which \a counts returns true.
    ///
    /// A single cause, such as the loss of a rack, ends runs that are in progress. A run that began
    /// after the first crash of an incident therefore belongs to another one, however soon its
    /// replica crashed.
    int incidents(const std::function<bool(const ReplicaCrash &)> &counts) const;

    /// \returns whether the record contains a crash of \a replica.
    bool has(std::string_view replica) const;

    /// \returns whether the record contains \a crash, or may have had no room for it.
    bool mayHave(const ReplicaCrash &crash) const;

    /// \returns whether the record contains a crash of a replica that ran \a software.
    bool hasSoftware(std::string_view software) const;

    /// \returns the crashes, oldest first.
    std::span<const ReplicaCrash> replicaCrashes() const { return m_crashes; }

    /// \returns when a run last completed; TimePoint::min() if no completed run is known.
    TimePoint clearedAt() const { return m_clearedAt; }

    /// \returns the time of the last crash or completed run; TimePoint::min() if there is none.
    TimePoint lastEventAt() const;

private:
    std::vector<ReplicaCrash>::iterator leastInformative();

    std::vector<ReplicaCrash> m_crashes;
    TimePoint m_clearedAt = TimePoint::min();
};

} // namespace catkinloft
