#pragma once

#include "Base/Clock.h"
#include "Base/Random.h"

#include <array>
#include <cstdint>
#include <string>

namespace catkinloft {

/// \brief Limits the retries of requests to one service over all routers, without messages between
/// the routers.
///
/// Handles a service that fails many requests at once on every router. Prevents retries from
/// multiplying the traffic while the service is overloaded. The limit over all routers is a share
/// of the requests plus a fixed slack in any window. Each router limits itself to that share of its
/// own requests and to its part of the slack, so the fleet stays within the limit also while
/// routers receive no messages from each other.
///
/// Routers may be killed and replaced at any time, and their counts are lost with them. Therefore
/// the budget is a token bucket that starts empty (\sa Options::followsOthers). In any interval the
/// processes that succeed each other at one router spend at most what the first of them had saved
/// and what all of them earned by the requests that they received. A full bucket and the earnings
/// of a window together are less than the limit.
///
/// The limit counts arrivals at replicas, the budget permits. A path or a replica that stalls holds
/// attempts back and releases them in a later window, beside the retries of that window. Attempts
/// that were given up unanswered therefore reduce the size of the bucket for a window: if they
/// arrive meanwhile, less than the limit was saved for other retries.
class FleetRetryBudget
{
public:
    struct Options
    {
        const Clock &clock;
        RandomSource random;
        std::string service = {}; ///< For log lines.
        double share = 0.2; ///< Retries allowed per request, over all routers.
        double slack = 0; ///< Additional retries allowed per window, over all routers.
        Duration window =
                std::chrono::seconds(10); ///< The limit holds in any interval of this length.
        /// Whether other processes may have used the budget just before this one started. The
        /// bucket starts empty then, otherwise full.
        bool followsOthers = true;
    };

    /// \brief What this router has used of the budget in the last window. Summed over all routers,
    /// \a retries must not exceed the share of \a requests plus the slack.
    struct Usage
    {
        int requests = 0;
        int retries = 0;
        int unanswered = 0; ///< \sa noteUnanswered
        double limit = 0; ///< This router's part of the limit.
        double available = 0; ///< Retries that it may make now.
    };

    explicit FleetRetryBudget(Options options);

    /// \brief Counts the first attempt of a request.
    void countRequest();

    /// \brief Requests permission for a retry and counts it if it is allowed.
    /// \param routers number of routers that share the slack.
    /// \returns whether the retry is allowed.
    bool tryRetry(int routers);

    /// \brief Records that an attempt was given up of which no byte of an answer has arrived, and
    /// that is a retry or is replaced by one. Its request may still arrive.
    void noteUnanswered();

    /// \param routers \sa tryRetry
    Usage usage(int routers) const;

    /// \brief Changes the limits and keeps the counts.
    void setOptions(double share, double slack);

private:
    static constexpr std::size_t Slots = 11; ///< Tenths of a window, plus the current one.

    struct Slot
    {
        std::int64_t number = -1;
        int requests = 0;
        int retries = 0;
        int unanswered = 0;
    };

    std::int64_t slotNumber() const;
    Slot &currentSlot();
    void logExhausted(const Usage &usage, int routers);

    Options m_options;
    std::array<Slot, Slots> m_slots;
    /// Earned by requests up to now and by the slack up to m_refilledAt. Limited to the size of the
    /// bucket when a retry is requested.
    double m_tokens = 0;
    double m_threshold; ///< Tokens that the next retry needs.
    TimePoint m_startedAt;
    TimePoint m_refilledAt;
    TimePoint m_exhaustedLoggedAt = TimePoint::min();
};

} // namespace catkinloft
