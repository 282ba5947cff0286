#pragma once

#include "Base/Clock.h"
#include "Base/Random.h"

namespace catkinloft {

/// \brief Decides when a router reads one thing from the store: the configuration, or the replicas.
///
/// Load: hundreds of routers while the store is away, or turns a third of them away. Harm
/// prevented: calls that are refused cost like others, and a router whose peers still tell it what
/// they read gains nothing by its own. So all routers together try at a bounded rate, and one that
/// failed tries again only while it reads for the others or has nothing fresh enough.
///
/// A router that starts meanwhile knows nobody, since the key by which routers know each other is
/// in the store too. It tries twice and then waits as one of a large fleet does. The first of all
/// that is answered wakes the others.
class StoreReadPlan
{
public:
    struct Options
    {
        const Clock &clock;
        RandomSource random;
        Duration readerPause = std::chrono::milliseconds(300); ///< Between tries of a reader.
        Duration fleetPause = std::chrono::milliseconds(15); ///< Between tries of all others.
        /// Size of the fleet that a router allows for which knows no other.
        int assumedFleetSize = 300;
        /// A failure that is older does not keep a router from reading for the others.
        Duration failureExpiry = std::chrono::seconds(10);
    };

    /// \brief What a router knows when it decides.
    struct State
    {
        bool reader = false; ///< It reads for the others.
        bool overdue = false; ///< What it has is too old, or it has nothing.
        int routers = 1; ///< How many are known, this one included.
    };

    explicit StoreReadPlan(Options options) : m_options(std::move(options)) { }

    /// \returns whether to call the store now.
    bool isDue(const State &state) const;

    /// \brief Notes that the store is being called.
    void began();

    /// \brief Notes that the call brought what was asked for.
    void answered();

    /// \brief Notes that the call was refused or not answered.
    void failed();

    /// \brief Notes an answer that there is nothing yet: it is asked again after a reader's pause.
    void answeredEmpty();

    /// \brief Notes that the store answered another router, or another call of this one, at \a at.
    ///
    /// Whoever failed before that tries again soon, but only once in each pause: a store may refuse
    /// some and answer others.
    void answeredElsewhere(TimePoint at);

    /// \returns whether a call is in progress.
    bool isCalling() const { return m_calling; }

    /// \returns whether the last call failed, and lately.
    bool isFailing() const;

    /// \returns how long the store has not answered while it was called; zero where it was not.
    Duration unansweredFor() const;

    /// \brief Ends the silence of a router that need not call any more.
    void rest() { m_unansweredSince = TimePoint::max(); }

private:
    Duration pause(const State &state) const;
    bool mayRetryEarly(const State &state) const;
    void end(bool failed);

    Options m_options;
    TimePoint m_endedAt = TimePoint::min(); ///< Of the last call that brought nothing.
    TimePoint m_unansweredSince =
            TimePoint::max(); ///< Beginning of the first call without an answer.
    double m_jitter = 1; ///< Of the pause, so that routers that failed together differ.
    bool m_backingOff = false; ///< The last call failed or found nothing.
    bool m_failed = false; ///< The last call did.
    int m_failures = 0; ///< In a row.
    TimePoint m_answeredElsewhere = TimePoint::min();
    TimePoint m_earlyRetryAt = TimePoint::min(); ///< When a call began because of that.
    bool m_calling = false;
};

} // namespace catkinloft
