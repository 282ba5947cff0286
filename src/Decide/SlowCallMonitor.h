#pragma once

#include "Base/Clock.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace catkinloft {

/// \brief Tells calls of one service that take long from calls whose answer won't come.
///
/// Handles calls that need most of their timeout. Prevents that such a call is given up for another
/// attempt, which has less time left and can't end before the deadline.
///
/// A call has no bytes before its answer. It counts as slow while its replica shows signs of life
/// and calls of its route have lately taken about as long. Both are needed: a replica that stands
/// still gives no sign, and one that leaves a part of its requests unanswered does, but other calls
/// of the route are answered much faster.
class SlowCallMonitor
{
public:
    struct Options
    {
        const Clock &clock;
        std::function<void()> probesDue = [] {}; ///< Called when dueProbes() has to be called.
    };

    /// A repeatable call of which no byte has arrived.
    struct Call
    {
        std::string route = {};
        std::string replica = {}; ///< Incarnation.
        Duration time = Duration::zero(); ///< Since it was sent.
        Duration stallLimit = Duration::zero(); ///< \sa AttemptSilence::stallLimit
    };

    explicit SlowCallMonitor(Options options) : m_options(std::move(options)) { }

    /// \brief Records that a call of \a route was answered after \a time.
    void answered(const std::string &route, Duration time);

    /// \brief Records that \a call, which replaces an earlier attempt, was not answered by its
    /// deadline either. If its replica is alive, calls of the route are taken to last that long.
    /// Without this, slow calls on a route whose other calls are fast would always be given up.
    void expired(const Call &call);

    /// \brief Records a sign of life of \a replica: bytes of any answer.
    void received(const std::string &replica) { m_signs[replica] = m_options.clock.now(); }

    /// \brief Requests a probe of the replica of \a call if nothing else shows whether it is alive.
    void watch(const Call &call);

    /// \returns the replicas to which a request should be sent that each of them rejects at once.
    std::vector<std::string> dueProbes();

    /// \returns whether \a call should go on at its replica.
    bool isSlow(const Call &call) const;

    /// \brief Forgets the replicas that are not in \a registered.
    void retain(const std::set<std::string> &registered);

private:
    Duration sinceSign(const std::string &replica) const;
    bool isReplicaAlive(const Call &call) const;
    bool isUsual(const Call &call) const;
    void observe(const std::string &route, Duration time);
    void rotate();

    using LongestByRoute = std::map<std::string, Duration, std::less<>>;

    Options m_options;
    std::map<std::string, TimePoint> m_signs; ///< Last sign of life by replica.
    std::map<std::string, TimePoint> m_probed; ///< When a probe was last requested, by replica.
    std::set<std::string> m_due;
    LongestByRoute m_longest; ///< Longest answer since m_rotatedAt.
    LongestByRoute m_longestBefore; ///< In the window before it.
    TimePoint m_rotatedAt = TimePoint::min();
};

} // namespace catkinloft
