#pragma once

#include "Base/Clock.h"

namespace catkinloft {

/// \brief How long a connection may have rested before a request is sent on it.
///
/// Load: calls that may run once at most, to replicas that forget connections which rested, without
/// closing them and sooner than they said. Harm prevented: such a call is reset on arrival, nobody
/// can say that it did not run, and it is lost. A connection that was forgotten costs one call (or
/// one repeat of a call that may be repeated); from then on shorter rests are trusted, and longer
/// ones again when none is forgotten for some time. Requests that may be repeated are sent after
/// twice the rest, so that they find out first.
class ConnectionReusePolicy
{
public:
    struct Options
    {
        const Clock &clock;
        /// What is trusted at first. Connections are reused every few hundred milliseconds at the
        /// load of a normal day, so that longer rests save next to nothing.
        Duration most = std::chrono::seconds(6);
        /// Connections that rested less are not forgotten: what breaks on them broke by itself.
        /// Less would have every call open its own, a round trip and a millisecond each.
        Duration least = std::chrono::milliseconds(100);
        /// Without a forgotten connection for so long, twice the rest is trusted. Half a dozen
        /// doublings lead back from least to most in a minute.
        Duration recoveryInterval = std::chrono::seconds(10);
        /// A forgotten connection answers with a reset, after a round trip; what breaks later broke
        /// while the replica was at work.
        Duration maxResetTime = std::chrono::milliseconds(20);
    };

    explicit ConnectionReusePolicy(Options options) : m_options(options), m_limit(options.most) { }

    /// \returns the longest rest after which a request may be sent. \param retryable it may be
    /// sent once more.
    Duration limit(bool retryable);

    /// \brief Takes note that a connection broke before any byte of an answer.
    /// \param idleTime before the request was sent on it; zero for a new one. \param after how long
    /// after the sending it broke. \returns whether it is taken to have been forgotten.
    bool reportBroken(Duration idleTime, Duration after);

private:
    void recover();

    Options m_options;
    Duration m_limit;
    TimePoint m_changedAt;
};

} // namespace catkinloft
