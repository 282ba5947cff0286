#pragma once

#include "Base/Clock.h"
#include "Base/ReplicaRecord.h"
#include "Control/ReplicaUpdate.h"

#include <sigc++/signal.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief The replicas that may get requests, from snapshots of the store that may fail to come.
///
/// Replicas register with a lease that runs out also while the store is away. So after an outage a
/// missing one may only not have been able to renew: it stays for a short time. At any other time
/// one that is missing is gone.
class ReplicaRegistry
{
public:
    struct Options
    {
        const Clock &clock;
        Duration outageThreshold =
                std::chrono::seconds(3); ///< Without a snapshot: the store was away.
        /// How long replicas that an outage has cost their lease have to register again.
        Duration reregistrationTime = std::chrono::milliseconds(2200);
    };

    explicit ReplicaRegistry(Options options) : m_options(options) { }

    /// \brief Takes over \a snapshot, read by a call that began at \a readStartedAt.
    void apply(const ReplicaSnapshot &snapshot, TimePoint readStartedAt);

    /// \brief Takes over \a update of a router that read the store at \a readStartedAt.
    /// \returns false where it changes a list that this registry does not have.
    bool applyUpdate(const ReplicaUpdate &update, TimePoint readStartedAt);

    /// \returns what a router lacks whose list has \a hash, as of when the store was read last.
    ReplicaUpdate updateSince(std::uint64_t hash) const;

    /// \brief Notes that at \a readStartedAt the store held the replicas with hash() \a hash, when
    /// it had version \a storeVersion. \returns false where this registry has others.
    bool confirm(std::uint64_t hash, std::uint64_t storeVersion, TimePoint readStartedAt);

    /// \brief Who has told that a replica leaves.
    enum class LeavingSource : std::uint8_t {
        Answer, ///< The replica itself.
        Router, ///< Another router that had such an answer, up to some seconds ago.
    };

    /// \brief Notes that the replica \a incarnation has said that it leaves. It stays draining,
    /// whatever older entries say, until another process has its name.
    void markLeaving(const std::string &incarnation, LeavingSource source);

    /// \brief The same for the process at \a address where it is not replica \a id.
    void markLeavingAt(const std::string &address, const std::string &id);

    /// \returns the replicas of which markLeaving() was told in the last \a time, at most \a most.
    std::vector<std::string> recentlyLeaving(Duration time, std::size_t most) const;

    /// \returns a hash of the last snapshot, the same on all routers; 0 before the first.
    std::uint64_t hash() const { return m_hash; }

    /// \returns the replicas of all services, draining ones included.
    const std::vector<ReplicaRecord> &replicas() const { return m_replicas; }

    /// \returns how old the newest snapshot is; Duration::max() without one.
    Duration age() const;

    std::uint64_t storeVersion() const { return m_storeVersion; }

    /// \brief Emitted when the list or the state of a replica changed.
    sigc::signal<void()> &changed() { return m_changed; }

private:
    void detectOutage(TimePoint readStartedAt);
    void replaceList(std::vector<ReplicaRecord> list, std::uint64_t storeVersion,
                     TimePoint readStartedAt);
    void storePreviousList(std::uint64_t hash);
    void update();
    void applyLeaving(ReplicaRecord &record);
    void removeOldLeaving();
    static bool hasChanges(const std::vector<ReplicaRecord> &a,
                           const std::vector<ReplicaRecord> &b);
    void logChanges(const std::vector<ReplicaRecord> &next) const;

    Options m_options;
    /// \brief A list that was known, so that routers that still have it are told the changes.
    struct PreviousList
    {
        std::uint64_t hash = 0;
        std::vector<ReplicaRecord> replicas;
    };

    std::vector<ReplicaRecord> m_registered; ///< As in the newest snapshot.
    std::deque<PreviousList> m_previousLists; ///< The newest last.
    std::vector<ReplicaRecord> m_replicas; ///< With those that an outage may have cost their lease.
    /// \brief A replica that has said that it leaves, for good.
    struct LeavingReplica
    {
        std::string address = {}; ///< Of its entry; empty: none was seen.
        std::int64_t sequence = 0; ///< Highest of its entry.
        TimePoint seenAt = {}; ///< When it was told, or its entry was there last.
        std::optional<TimePoint> reportedAt = {}; ///< When markLeaving() heard of it first.
        bool hasSuccessor = false; ///< Another process has its name now.
    };

    std::map<std::string, LeavingReplica> m_leaving; ///< By incarnation.
    std::uint64_t m_storeVersion = 0;
    std::uint64_t m_hash = 0;
    TimePoint m_readAt = TimePoint::min();
    TimePoint m_keepMissingUntil = TimePoint::min();
    sigc::signal<void()> m_changed;
};

} // namespace catkinloft
