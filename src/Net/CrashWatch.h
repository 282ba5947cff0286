#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace catkinloft {

class EventLoop;
class Metrics;

/// \brief Finds out whether a replica has ended when the connection of a request to it broke.
///
/// A connection also breaks where a replica loses one answer, where the path is cut, or where this
/// router's own connections are reset. So a new connection is tried: one that is refused, or closed
/// before a byte was sent, leads to no process. Silence proves nothing.
class CrashWatch
{
public:
    /// \brief A run of a request whose connection broke.
    struct BrokenAttempt
    {
        std::string requestId = {};
        std::string fingerprint = {}; ///< \sa requestFingerprint()
        std::string replica = {}; ///< Its incarnation.
        std::string software = {}; ///< \sa ReplicaRecord::software
        std::string address = {}; ///< Of the replica, `ip:port`.
        TimePoint sentAt = {};
    };

    /// \brief When the sender of a broken run is told what is known.
    enum class AliveCriterion : std::uint8_t {
        Accepts, ///< As soon as something listens, which may be a proxy before a dead replica.
        StaysOpen, ///< When it is also known that it does not close the connection again.
    };

    struct Options
    {
        EventLoop &loop;
        Metrics &metrics;
        /// Told of each run that broke because its replica ended, and when the replica did.
        std::function<void(const BrokenAttempt &, TimePoint crashedAt)> attemptCrashed =
                [](const BrokenAttempt &, TimePoint) {};
        /// Told once of each replica that has ended.
        std::function<void(const std::string &replica)> replicaCrashed = [](const std::string &) {};
    };

    explicit CrashWatch(Options options);
    ~CrashWatch();
    CrashWatch(const CrashWatch &) = delete;
    CrashWatch &operator=(const CrashWatch &) = delete;

    /// \brief Looks whether the replica of \a attempt has ended.
    /// \param decided is told once, later: true where it certainly has. A replica behind a proxy
    /// may be found to have ended after that; Options::attemptCrashed is told all the same.
    void checkReplica(BrokenAttempt attempt, AliveCriterion criterion,
                      std::function<void(bool crashed)> decided);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
