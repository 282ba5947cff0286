#pragma once

#include "Base/Metrics.h"
#include "Net/EntryAdmission.h"
#include "Net/ServicePools.h"
#include "Request/AttemptHistory.h"
#include "Request/EntryRequest.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace catkinloft {

/// \brief Decides whether one request may be sent once more, and to which replica.
///
/// Handles a service of which a replica, several of them or all fail or stall. Prevents that
/// a running attempt is given up before another one may begin, because its replica may still
/// answer, and that requests are moved from one silent replica to the next.
class RetryGate
{
public:
    /// The request at the moment of the question.
    struct Query
    {
        ServicePool &service;
        const EntryRequest &request;
        const AttemptHistory &history;
        EntryAdmission &admission;
        Duration remaining = Duration::zero(); ///< Time until an answer must be complete.
        int sharingRouters = 1; ///< Routers that share the retry budget.
        int crashedReplicas = 0; ///< Replicas that crashed during attempts of this request.
        bool isSuspect = false; ///< Replicas crashed under it, and before that under its content.
        bool hasForwardedEvent = false;
        std::optional<std::string> software = {}; ///< The only one that may continue the stream.
        std::string_view blockedBy = {}; ///< What else denies each attempt at this moment.
    };

    /// An attempt that is in progress without data from its replica.
    struct SilentAttempt
    {
        std::string replica = {}; ///< Incarnation.
        Duration stallLimit = Duration::zero(); ///< \sa AttemptSilence::stallLimit
        bool isRelayed = false;
        bool isOnLostPath = false; ///< And another router may relay the request.
        /// Route of a repeatable call of which no byte has arrived; empty: it is none, or its path
        /// is lost.
        std::string callRoute = {};
        Duration time = Duration::zero(); ///< \sa AttemptSilence::time
    };

    explicit RetryGate(Metrics &metrics) : m_metrics(metrics) { }

    /// \brief Forgets the last denial, for a new attempt.
    void reset() { m_denial = {}; }

    /// \returns what denied the last retry that was requested, as in log lines; empty: nothing did.
    std::string_view denial() const { return m_denial; }

    /// \brief Denies a retry because the request must not be repeated.
    void denyRepeat() { m_denial = "not_repeatable"; }

    /// \brief Requests a retry after an attempt with \a verdict failed, and takes it from the retry
    /// budget.
    bool permit(const Query &query, Verdict verdict);

    /// \brief Requests that another attempt replaces \a attempt, and takes it from the retry
    /// budget. The budget is asked last, so that nothing is spent if no replica is available.
    /// \returns the replica for it; without one the attempt should go on.
    ReplicaPool::Choice permitReplacement(const Query &query, const SilentAttempt &attempt);

    /// \brief Requests a retry after \a replica answered with a failure, and takes it from the
    /// retry budget. \sa permitReplacement \returns the replica for it; without one the failure
    /// should be delivered.
    ReplicaPool::Choice permitAfterAnswer(const Query &query, const std::string &replica);

    /// \returns the replica for the next attempt after all earlier ones have ended.
    static ReplicaPool::Choice choose(const Query &query) { return choose(query, {}, false); }

    /// \returns \a attempt as SlowCallMonitor needs it; std::nullopt if it is none of its calls.
    static std::optional<SlowCallMonitor::Call> slowCall(const SilentAttempt &attempt);

    /// \returns whether most replicas of \a service are silent, which is not the fault of one.
    static bool isSilentTogether(const ServicePool &service, const SilentAttempt &attempt);

private:
    /// \param avoided replicas that are only chosen if \a isStrict is false and no other is left.
    static ReplicaPool::Choice choose(const Query &query, std::span<const std::string> avoided,
                                      bool isStrict);
    static std::string_view denialOf(const Query &query, Verdict verdict);
    /// \brief Chooses a replica and takes a retry from the budget, unless there is a denial.
    ReplicaPool::Choice chooseAndTake(const Query &query, std::span<const std::string> avoided,
                                      bool isStrict);
    bool takeFromBudget(const Query &query);
    void countDenial();

    Metrics &m_metrics;
    std::string_view m_denial;
};

} // namespace catkinloft
