#pragma once

#include "Base/Clock.h"
#include "Base/ReplicaRecord.h"

#include <sigc++/signal.h>

#include <map>
#include <set>
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
        Duration outageAfter = std::chrono::seconds(3); ///< Without a snapshot: the store was away.
        /// How long replicas that an outage has cost their lease have to register again.
        Duration returnTime = std::chrono::milliseconds(2200);
    };

    explicit ReplicaRegistry(Options options) : m_options(options) { }

    /// \brief Takes over \a snapshot, read by a call that began at \a readBegan.
    void apply(const ReplicaSnapshot &snapshot, TimePoint readBegan);

    /// \brief Notes that at \a readBegan the store held the replicas with hash() \a hash, when it
    /// had version \a storeVersion. \returns false where this registry has others.
    bool confirm(std::uint64_t hash, std::uint64_t storeVersion, TimePoint readBegan);

    /// \returns a hash of the last snapshot, the same on all routers; 0 before the first.
    std::uint64_t hash() const { return m_hash; }

    /// \returns the replicas of all services, draining ones included.
    const std::vector<ReplicaRecord> &replicas() const { return m_replicas; }

    /// \returns how old the newest snapshot is; Duration::max() without one.
    Duration age() const;

    std::uint64_t storeVersion() const { return m_storeVersion; }
    const std::string &sourceText() const { return m_sourceText; }

    /// \brief Emitted when the list or the state of a replica changed.
    sigc::signal<void()> &changed() { return m_changed; }

private:
    void noteOutage(TimePoint readBegan);
    void update();
    void forgetDrained();
    static bool differ(const std::vector<ReplicaRecord> &a, const std::vector<ReplicaRecord> &b);
    void logChanges(const std::vector<ReplicaRecord> &next) const;

    Options m_options;
    std::vector<ReplicaRecord> m_registered; ///< As in the newest snapshot.
    std::vector<ReplicaRecord> m_replicas; ///< With those that an outage may have cost their lease.
    std::set<std::string> m_drained; ///< Incarnations that said that they leave, for good.
    std::uint64_t m_storeVersion = 0;
    std::uint64_t m_hash = 0;
    std::string m_sourceText;
    TimePoint m_readAt = TimePoint::min();
    TimePoint m_keepMissingUntil = TimePoint::min();
    sigc::signal<void()> m_changed;
};

} // namespace catkinloft
