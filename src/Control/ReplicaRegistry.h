#pragma once

#include "Base/Clock.h"
#include "Base/ReplicaRecord.h"
#include "Base/StorePosition.h"
#include "Control/ReplicaUpdate.h"

#include <sigc++/signal.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief Holds the replicas that may get requests, from snapshots of a store that can be
/// unavailable.
///
/// Replicas register with a lease that also expires while the store is unavailable. A replica that
/// is missing after an outage may only have failed to renew its lease, so it is retained for a
/// short time. At any other time a missing replica is removed at once.
///
/// The store may also be restored from a copy that is some seconds old. Replicas that the copy
/// lacks are retained in the same way. What was known before remains in effect: a leaving replica
/// stays draining, a cold one stays cold until it has had time to register again, and a removed one
/// gets no requests until the store has had time to remove its entry again. \sa StorePosition
class ReplicaRegistry
{
public:
    struct Options
    {
        const Clock &clock;
        /// Time without a read of the store after which it counts as an outage.
        Duration outageThreshold = std::chrono::seconds(3);
        /// Time for replicas to register again whose lease expired during an outage.
        Duration reregistrationTime = std::chrono::milliseconds(2200);
        /// Time after which a restored store has removed the entries of replicas that are gone:
        /// three heartbeat intervals of a replica.
        Duration restoredEntryTimeout = std::chrono::seconds(5);
    };

    explicit ReplicaRegistry(Options options) : m_options(options) { }

    /// \brief Applies \a snapshot, which was read by a call that started at \a readStartedAt.
    void apply(const ReplicaSnapshot &snapshot, TimePoint readStartedAt);

    /// \brief Applies \a update from a router that read the store at \a readStartedAt.
    /// \returns false if it is based on a list that this registry does not have.
    bool applyUpdate(const ReplicaUpdate &update, TimePoint readStartedAt);

    /// \returns the changes since the list with \a hash, as of the last read of the store; the
    /// whole list if that one is no longer stored.
    ReplicaUpdate updateSince(std::uint64_t hash) const;

    /// \brief Records that at \a readStartedAt the store was at \a position and had the replicas
    /// whose hash() is \a hash.
    /// \returns false if the list of this registry has another hash.
    bool confirm(std::uint64_t hash, const StorePosition &position, TimePoint readStartedAt);

    /// \brief Source of the information that a replica is leaving.
    enum class LeavingSource : std::uint8_t {
        Answer, ///< An answer of the replica itself.
        Router, ///< Another router that received such an answer within the last seconds.
    };

    /// \brief Marks the replica \a incarnation as leaving. It stays draining, whatever the state in
    /// older entries, until another process registers under its id.
    void markLeaving(const std::string &incarnation, LeavingSource source);

    /// \brief Marks the replicas at \a address, except \a id, as leaving.
    void markLeavingAt(const std::string &address, const std::string &id);

    /// \returns the replicas marked by markLeaving() within the last \a time, at most \a most. If
    /// the store was restored in that time, also those that were leaving before.
    std::vector<std::string> recentlyLeaving(Duration time, std::size_t most) const;

    /// \returns a hash of the last snapshot, identical on all routers; 0 before the first.
    std::uint64_t hash() const { return m_hash; }

    /// \returns the replicas of all services, draining ones included.
    const std::vector<ReplicaRecord> &replicas() const { return m_replicas; }

    /// \returns the age of the newest snapshot; Duration::max() if there is none.
    Duration age() const;

    /// \returns the newest position of the store at which the list was read or confirmed.
    const StorePosition &position() const { return m_position; }

    /// \returns how many lists were ignored because they were older than the current one.
    std::uint64_t ignoredLists() const { return m_ignoredLists; }

    /// \brief Emitted after it became known that the store was restored from a copy.
    sigc::signal<void()> &restored() { return m_restored; }

    /// \brief Emitted after the list or the state of a replica changed.
    sigc::signal<void()> &changed() { return m_changed; }

    /// \brief Emitted after age() decreased, also if the list did not change.
    sigc::signal<void()> &confirmed() { return m_confirmed; }

private:
    void detectOutage(TimePoint readStartedAt);
    void replaceList(std::vector<ReplicaRecord> list, const StorePosition &position,
                     TimePoint readStartedAt);
    void logOlderList(const StorePosition &position);
    void advanceTo(const StorePosition &position);
    void storeRestored(const StorePosition &position);
    void storePreviousList(std::uint64_t hash);
    void update();
    void noteRead(TimePoint startedAt);
    void retain(const ReplicaRecord &record, std::vector<ReplicaRecord> &list);
    bool mayHaveCopiedEntries() const;
    bool isRestoredEntry(const ReplicaRecord &record) const;
    void keepCold(ReplicaRecord &record) const;
    void noteRemoved(const std::vector<ReplicaRecord> &next);
    void applyLeaving(ReplicaRecord &record);
    void removeOldLeaving();
    static bool hasChanges(const std::vector<ReplicaRecord> &a,
                           const std::vector<ReplicaRecord> &b);
    void logChanges(const std::vector<ReplicaRecord> &next) const;

    Options m_options;
    /// \brief A former list, stored so that routers that still have it only get the changes.
    struct PreviousList
    {
        std::uint64_t hash = 0;
        std::vector<ReplicaRecord> replicas;
    };

    std::vector<ReplicaRecord> m_registered; ///< As in the newest snapshot.
    std::deque<PreviousList> m_previousLists; ///< The newest last.
    std::vector<ReplicaRecord> m_replicas; ///< Including those retained after an outage.
    std::map<std::string, TimePoint> m_removed; ///< Time of the removal, by incarnation.
    std::set<std::string> m_retained; ///< Incarnations that were logged as retained.
    /// \brief A replica that is leaving; this state is final.
    struct LeavingReplica
    {
        std::string address = {}; ///< Address in its entry; empty: no entry was read.
        std::int64_t sequence = 0; ///< Highest sequence in its entry.
        TimePoint seenAt = {}; ///< When it was marked, or when its entry was last present.
        /// When it was marked by markLeaving() first, or when the store was last restored.
        std::optional<TimePoint> reportedAt = {};
        bool hasSuccessor = false; ///< Another process is registered under its id now.
        /// Its next entries may be those of the copy from which the store was restored.
        bool mayBeCopied = false;
    };

    std::map<std::string, LeavingReplica> m_leaving; ///< By incarnation.
    StorePosition m_position; ///< \sa position()
    std::uint64_t m_hash = 0;
    std::uint64_t m_ignoredLists = 0;
    bool m_isIgnoringLists = false; ///< The last list was ignored.
    TimePoint m_readAt = TimePoint::min();
    TimePoint m_keepMissingUntil = TimePoint::min();
    std::optional<TimePoint> m_restoredAt; ///< Of the last restore of the store.
    sigc::signal<void()> m_restored;
    sigc::signal<void()> m_changed;
    sigc::signal<void()> m_confirmed;
};

} // namespace catkinloft
