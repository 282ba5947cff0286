#pragma once

#include "Base/Clock.h"

namespace catkinloft {

/// \brief Limits how long a connection may have been idle before a request is sent on it.
///
/// Handles calls that may run at most once, sent to replicas that drop idle connections without
/// closing them and sooner than they announced. Such a call is answered by a TCP reset; the router
/// cannot know that it did not run, so the call is lost.
///
/// A dropped connection costs one call, or one retry of a retryable call. The limit is then set to
/// half of the idle time at which it was dropped, and doubles again after each period without a
/// dropped connection. Retryable requests use twice the limit, so that they are the first to
/// hit a dropped connection.
class ConnectionReusePolicy
{
public:
    struct Options
    {
        const Clock &clock;
        /// Initial and largest limit. At usual load connections are reused every few hundred
        /// milliseconds, so a larger one would save almost no connections.
        Duration maxLimit = std::chrono::seconds(6);
        /// Smallest limit. Connections idle for less are not dropped for being idle: a failure on
        /// them has another cause. With a smaller limit every call would open its own connection,
        /// which costs a round trip and a millisecond.
        Duration minLimit = std::chrono::milliseconds(100);
        /// Time without a dropped connection after which the limit doubles. Six doublings lead from
        /// the smallest limit back to the largest in a minute.
        Duration recoveryInterval = std::chrono::seconds(10);
        /// A request on a dropped connection is answered by a reset after one round trip. A
        /// connection that breaks later broke while the replica worked on the request.
        Duration maxResetTime = std::chrono::milliseconds(20);
    };

    explicit ConnectionReusePolicy(Options options) : m_options(options), m_limit(options.maxLimit)
    { }

    /// \returns the longest idle time of a connection on which a request may be sent.
    /// \param retryable whether the request may be sent again after a failed attempt.
    Duration limit(bool retryable);

    /// \brief Reports that a connection broke before the first byte of an answer.
    /// \param idleTime idle time before the request was sent on it; zero for a new connection.
    /// \param after time from sending the request until the connection broke.
    /// \returns whether the replica is assumed to have dropped the idle connection.
    bool reportBroken(Duration idleTime, Duration after);

private:
    void recover();

    Options m_options;
    Duration m_limit;
    TimePoint m_changedAt;
};

} // namespace catkinloft
