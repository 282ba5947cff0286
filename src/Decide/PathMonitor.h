#pragma once

#include "Base/Clock.h"
#include "Base/ReplicaRecord.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief Tracks to which replicas of one service this router has lost its network path.
///
/// Handles a router that is partitioned from some or all replicas of a service, while callers and
/// the other routers still reach it. Prevents that its callers' requests wait for connections that
/// can't be made, and that what fails on the path is taken for a fault of the replicas.
///
/// A failed connection alone doesn't show whether the path or the replica failed. Few replicas
/// without a path are therefore only avoided. When the paths to a third of the replicas are broken,
/// the service counts as partitioned: its requests can go through another router, which fails for
/// replicas that are down.
///
/// Only new connections count as evidence of a working path, since open connections may outlive it.
/// A path on which connections are accepted and no byte returns is lost too: it is found by
/// silent(), and only a byte proves that it works again. A failure starts checks of other replicas,
/// so that a partition is found with few requests. Broken paths are checked one at a time until
/// they work again.
class PathMonitor
{
public:
    struct Options
    {
        const Clock &clock;
        std::string service = {};
        std::function<void()> checksDue = [] {}; ///< Called when dueChecks() has to be called.
    };

    /// \brief Who is known to listen at the address of a replica.
    ///
    /// A replica that has ended may still be registered when its address belongs to the next one.
    enum class Listener {
        Replica, ///< The replica itself.
        Unknown, ///< The replica or another one. Shows only that the path works.
    };

    /// A service is partitioned when the paths to one in this many replicas are broken.
    static constexpr std::size_t PartitionDivisor = 3;

    /// A single broken path partitions a service only if it has no other replica.
    static constexpr std::size_t MinBroken = 2;

    /// Pause between two checks of broken paths of the service.
    static constexpr Duration CheckInterval = std::chrono::milliseconds(500);

    explicit PathMonitor(Options options) : m_options(std::move(options)) { }

    /// \brief Sets the registered replicas; forgets the paths to all others.
    void setReplicas(std::span<const ReplicaRecord> replicas);

    /// \brief Records that a new connection to replica \a id could not be established.
    /// \returns whether its path was not known to be broken.
    bool failed(const std::string &id);

    /// \brief Records that a new connection to replica \a id was established. A path that silent()
    /// reported stays broken.
    /// \returns whether its path was broken until now.
    bool connected(const std::string &id, Listener listener = Listener::Replica);

    /// \brief Records that replica \a id accepts connections of this router and nothing arrives on
    /// them, although another router receives bytes from it. Its path is broken until answered() is
    /// called.
    /// \returns whether its path was not known to be broken.
    bool silent(const std::string &id);

    /// \brief Records that bytes arrived from replica \a id on a new connection.
    /// \returns whether its path was broken until now.
    bool answered(const std::string &id, Listener listener = Listener::Replica);

    /// \returns whether a path is broken because of silent(), so that checks have to wait for
    /// bytes.
    bool hasSilentPath() const { return !m_silent.empty(); }

    /// \brief Records that a new connection to a replica with a broken path was accepted and has
    /// stayed open until now. The next broken path is checked at once, since a partition usually
    /// ends for all of them.
    void stayedOpen() { m_brokenCheckedAt = TimePoint::min(); }

    /// \brief Records that replica \a id has crashed, so that its path doesn't count as lost by
    /// isMostlyLostBeside() until it is known to run again.
    void crashed(const std::string &id);

    /// \returns whether replica \a id has crashed and isn't known to run again.
    bool hasCrashed(const std::string &id) const { return m_crashed.contains(id); }

    /// \returns when a new connection last showed that replica \a id runs, TimePoint::min() if none
    /// did. Open connections are no evidence: they may outlive the path.
    TimePoint provenAt(const std::string &id) const;

    /// \brief Requests a check of the path to replica \a id, which has been silent for long.
    void suspect(const std::string &id);

    bool isBroken(const std::string &id) const { return m_broken.contains(id); }

    /// \returns whether requests for the service should go through another router if their replica
    /// is one with a broken path.
    bool isPartitioned() const;

    /// \returns whether this router has lost its paths to most replicas, so that it shouldn't relay
    /// requests for the service.
    bool isMostlyLost() const { return 2 * m_broken.size() > m_replicas.size(); }

    /// \returns whether this router has lost its paths to most replicas other than \a id, so that a
    /// refused connection to it is no evidence of a crash. Crashed replicas are not counted.
    bool isMostlyLostBeside(const std::string &id) const;

    /// \returns the replicas other than \a id to which connections should succeed: not crashed and
    /// without a broken path.
    std::vector<std::string> controls(const std::string &id) const;

    const std::string &service() const { return m_options.service; }

    const std::set<std::string> &broken() const { return m_broken; }

    /// \returns whether paths are waiting for a check.
    bool hasWork() const { return !m_broken.empty() || !m_suspects.empty(); }

    /// \returns the replicas whose paths have to be checked now. Each check must be followed by a
    /// call of failed() or connected().
    std::vector<std::string> dueChecks();

private:
    std::size_t partitionSize() const; ///< Broken paths from which on it is partitioned.
    bool addSuspect(const std::string &id);
    void suspectOthers();
    void noteTransition(bool wasPartitioned) const;

    Options m_options;
    std::vector<std::string> m_replicas; ///< Registered and not draining.
    std::set<std::string> m_broken;
    std::set<std::string> m_silent; ///< Those of m_broken that silent() reported.
    std::set<std::string> m_crashed; ///< Until they are known to run again.
    std::set<std::string> m_suspects;
    std::map<std::string, TimePoint> m_checkedAt; ///< Last evidence about the path.
    std::map<std::string, TimePoint> m_provenAt; ///< \sa provenAt()
    std::string m_lastChecked; ///< Broken paths are checked in the order of their ids.
    TimePoint m_brokenCheckedAt = TimePoint::min();
    TimePoint m_suspectedAt = TimePoint::min(); ///< Last check that suspect() requested.
};

} // namespace catkinloft
