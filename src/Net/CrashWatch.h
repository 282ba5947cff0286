#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinloft {

class EventLoop;
class Metrics;

/// \brief Detects whether a replica crashed when the connection of a request to it broke.
///
/// A connection also breaks when a replica drops a single answer, when the network path is cut, or
/// when this router's own connections are reset. A new connection is therefore opened: if it is
/// refused, or closed before a byte was sent, no process is behind the address. A connection
/// attempt that gets no response proves nothing.
class CrashWatch
{
public:
    /// \brief An attempt of a request whose connection broke.
    struct BrokenAttempt
    {
        std::string requestId = {};
        /// Fingerprint of the request, and the keys of its prompt parts. Empty if the
        /// replica was leaving and stops on purpose. \sa RequestQuarantine::Suspects
        std::vector<std::string> suspects = {};
        std::string replica = {}; ///< Incarnation of the replica.
        std::string replicaId = {}; ///< \sa ReplicaRecord::id
        std::string service = {}; ///< \sa ReplicaRecord::service
        std::string software = {}; ///< \sa ReplicaRecord::software
        std::string address = {}; ///< Address of the replica, `ip:port`.
        TimePoint sentAt = {};
        /// When the replica was last known to run: a new connection to it was established, or the
        /// request was sent on an idle one.
        TimePoint provenAt = TimePoint::min();
    };

    /// \brief What a replica has to do to count as alive.
    enum class AliveCriterion : std::uint8_t {
        Accepts, ///< Accept a connection; a proxy in front of a crashed replica does so too.
        StaysOpen, ///< Accept a connection and not close it within the time that a proxy needs.
        /// As StaysOpen, and be the same replica still, not one that was started at its address
        /// since. Not alive if the paths of this router are found to be lost, which may have cut
        /// an answer off.
        Proven,
    };

    /// \brief What is known of a replica that refuses connections.
    enum class Finding : std::uint8_t {
        Crashed,
        NotCrashed,
        PathLost, ///< The paths of this router are lost; no router is known to reach the replica.
    };

    /// \brief What the check of one attempt has shown.
    enum class State {
        Crashed, ///< Presumed to have crashed, or not proven to be alive as the criterion requires.
        Alive, ///< Accepts connections.
        Unknown, ///< Does not respond, or nobody can confirm that it has crashed.
    };

    struct Options
    {
        EventLoop &loop;
        Metrics &metrics;
        std::string sourceIp = {}; ///< IP that connections are opened from; empty: any.
        /// Determines whether replica \a id, which looks crashed from here, has crashed or only
        /// the path to it failed. Calls \a unreached after \a done if nobody can tell.
        /// \sa CrashEvidence::confirm()
        std::function<void(const std::string &id, std::function<void(Finding)> done,
                           std::function<void()> unreached)>
                confirm = [](const std::string &, const std::function<void(Finding)> &done,
                             const std::function<void()> &) { done(Finding::Crashed); };
        /// Asks whether the process at the address of an attempt is the replica that it was sent
        /// to; std::nullopt if it doesn't answer. Only asked for AliveCriterion::Proven.
        /// \sa PathProber::identify()
        std::function<void(const BrokenAttempt &,
                           std::function<void(std::optional<bool> isSame)> done)>
                identify = [](const BrokenAttempt &,
                              const std::function<void(std::optional<bool>)> &done) { done(true); };
        /// Called for each attempt that broke because its replica crashed, with the time of the
        /// crash.
        std::function<void(const BrokenAttempt &, TimePoint crashedAt)> attemptCrashed =
                [](const BrokenAttempt &, TimePoint) {};
        /// Called for each attempt that broke because its replica crashed or all paths to it were
        /// lost, if the replica was running shortly before it first refused a connection.
        std::function<void(const BrokenAttempt &, TimePoint refusedAt)> attemptLost =
                [](const BrokenAttempt &, TimePoint) {};
        /// Called once for each replica that crashed.
        std::function<void(const std::string &replica)> replicaCrashed = [](const std::string &) {};
    };

    explicit CrashWatch(Options options);
    ~CrashWatch();
    CrashWatch(const CrashWatch &) = delete;
    CrashWatch &operator=(const CrashWatch &) = delete;

    /// \brief Checks whether the replica of \a attempt has crashed.
    /// \param decided is called once, after this function has returned. A crash may be confirmed,
    /// or a crash behind a proxy be detected, only after that; Options::attemptCrashed is called
    /// then.
    void checkReplica(BrokenAttempt attempt, AliveCriterion criterion,
                      std::function<void(State state)> decided);

    /// \brief Records that another router has found that \a replica crashed at \a crashedAt.
    ///
    /// Options::attemptCrashed is called for attempts that were in progress and broke at that time,
    /// although the checks of this router did not show the crash. Otherwise only routers whose
    /// checks succeed by chance would suspect their requests, which may all be harmless.
    void crashTold(const std::string &replica, TimePoint crashedAt);

    /// \returns the time since \a replica, which crashed or refuses connections, first broke an
    /// attempt of this router; std::nullopt if none broke within the last second.
    std::optional<Duration> brokenFor(const std::string &replica) const;

    /// \brief Records that \a replica, whose check isn't complete, first broke an attempt of
    /// another router at \a brokeAt.
    ///
    /// A crash is dated to the first attempt that it breaks. If all requests that were in progress
    /// came from another router, the attempts of this one were sent to a replica that had ended,
    /// behind a proxy that still accepts connections, and must not be blamed.
    void brokenElsewhere(const std::string &replica, TimePoint brokeAt);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
