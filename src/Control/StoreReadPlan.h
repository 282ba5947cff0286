#pragma once

#include "Base/Clock.h"
#include "Base/Random.h"

namespace catkinloft {

/// \brief Decides when a router reads one thing from the store: the configuration, or the replicas.
///
/// Handles hundreds of routers while the store is unavailable or refuses a third of them. Refused
/// calls cost as much as others, and a router whose peers still send it what they read does not
/// need calls of its own. Therefore the call rate of all routers together is bounded, and a router
/// whose call failed calls again only while it reads for the others or what it has is too old.
///
/// A router that starts during an outage knows no other router, as the key that authenticates
/// routers is in the store too. It calls twice and then waits as long as a router of a large fleet.
/// The first router that receives an answer makes the others retry early.
class StoreReadPlan
{
public:
    struct Options
    {
        const Clock &clock;
        RandomSource random;
        Duration readerPause = std::chrono::milliseconds(300); ///< Between calls of a reader.
        Duration fleetPause = std::chrono::milliseconds(15); ///< Between calls of all others.
        /// Fleet size that a router assumes if it knows no other router.
        int assumedFleetSize = 300;
        /// Time after which a failure no longer keeps a router from reading for the others.
        Duration failureExpiry = std::chrono::seconds(10);
    };

    /// \brief State of the router that the decision depends on.
    struct State
    {
        bool reader = false; ///< This router reads for the others.
        bool overdue = false; ///< The last read is too old, or there was none.
        int routers = 1; ///< Number of known routers, including this one.
    };

    explicit StoreReadPlan(Options options) : m_options(std::move(options)) { }

    /// \returns whether to call the store now.
    bool isDue(const State &state) const;

    /// \brief Records the start of a call.
    void began();

    /// \brief Records that the call returned the requested data.
    void answered();

    /// \brief Records that the call was refused or not answered.
    void failed();

    /// \brief Records an answer without data, as nothing is stored yet. The next call is due after
    /// the pause of a reader.
    void answeredEmpty();

    /// \brief Records that the store answered another router, or another call of this one, at \a
    /// at.
    ///
    /// If the last call failed before that, the next one is due early, but only once in each pause,
    /// as a store may refuse some routers and answer others.
    void answeredElsewhere(TimePoint at);

    /// \returns whether a call is in progress.
    bool isCalling() const { return m_calling; }

    /// \returns whether the last call failed less than Options::failureExpiry ago.
    bool isFailing() const;

    /// \returns the time since the first call without an answer began; zero if there is none.
    Duration unansweredFor() const;

    /// \brief Resets unansweredFor(), for a router that no longer needs to call.
    void rest() { m_unansweredSince = TimePoint::max(); }

private:
    Duration pause(const State &state) const;
    bool mayRetryEarly(const State &state) const;
    void end(bool failed);

    Options m_options;
    TimePoint m_endedAt = TimePoint::min(); ///< Of the last call that returned no data.
    TimePoint m_unansweredSince = TimePoint::max(); ///< Start of the first call without an answer.
    double m_jitter = 1; ///< Factor of the pause, so that routers do not retry at the same time.
    bool m_backingOff = false; ///< The last call failed or returned no data.
    bool m_failed = false; ///< The last call failed.
    int m_failures = 0; ///< Consecutive failures.
    TimePoint m_answeredElsewhere = TimePoint::min();
    TimePoint m_earlyRetryAt = TimePoint::min(); ///< When a call began early because of that.
    bool m_calling = false;
};

} // namespace catkinloft
