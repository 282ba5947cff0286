#pragma once

#include "Base/Metrics.h"
#include "Base/ObjectStore.h"
#include "Base/Random.h"
#include "Request/Claim.h"
#include "Request/ClaimRow.h"
#include "Request/GroupCommitter.h"

#include <map>

namespace catkinloft {

/// \brief Ensures that each call with an idempotency key is executed at most once, over all routers
/// and all retries.
///
/// Before anything is sent, one compare-and-set creates the row of the key. Only the attempt that
/// created it may send: no other router takes a claim over, however long its holder does not
/// respond. So a holder that was paused can do no harm, and safety depends on no clock. In return,
/// a call whose router crashed between the claim and the send, a gap of microseconds, is reported
/// as outcome_unknown although it did not run. A second compare-and-set before each send would
/// avoid this, but needs 50% more writes.
///
/// \sa docs/design/requests.md for the alternatives.
class ClaimManager
{
public:
    struct Options
    {
        TableService &table;
        ObjectStore &objects;
        const Clock &clock;
        Metrics &metrics;
        RandomSource random;
        std::string router;
        Duration window = std::chrono::milliseconds(5); ///< \sa GroupCommitter::Options
        std::size_t maxRows = 64;
        /// Timeout for the store to record a claim. A caller that gets `not_run` after this can
        /// still try elsewhere before its dispatch order is late.
        Duration storeTimeout = std::chrono::seconds(3);
        std::function<void()> wake = {}; ///< Called when nextDeadline() has become earlier.
    };

    struct Request
    {
        std::string workspace;
        std::string key;
        std::string fingerprint;
        TimePoint deadline; ///< Nothing is sent after it.
    };

    /// \brief Result of a successful claim: the right to execute, or an earlier attempt's answer.
    struct Grant
    {
        ClaimPtr claim; ///< nullptr if `answer` holds the first attempt's answer.
        RecordedAnswer answer = {};
    };

    using ClaimCallback = std::function<void(Result<Grant>)>;

    explicit ClaimManager(Options options);
    ~ClaimManager();

    /// \returns a hash of the parts that have to match for two requests to be the same call.
    static std::string fingerprint(std::string_view method, std::string_view target,
                                   std::string_view body);

    /// \brief Claims \a request. Calls \a callback exactly once, either immediately or later.
    void claim(const Request &request, ClaimCallback callback);

    /// \returns whether the holder may send now. Has to be checked directly before each send: a
    /// holder that was paused past its deadline must not use a claim whose row may have been
    /// removed.
    bool maySend(const Claim &claim) const;

    /// \brief Records the answer of the call. The write is retried until the store accepts it or
    /// the claim expires.
    void recordAnswer(const ClaimPtr &claim, RecordedAnswer answer);
    /// \brief Records that the call was sent and its outcome is unknown, with the same retries.
    void recordUnknown(const ClaimPtr &claim);

    /// \brief Releases the key so that it can be claimed again. Only allowed for a claim under
    /// which nothing was or will be sent.
    void release(const ClaimPtr &claim);

    /// \brief Handles timeouts and due writes. Has to be called at nextDeadline().
    void poll();
    TimePoint nextDeadline() const;

    /// \returns the number of outcomes that the store has not accepted yet.
    std::size_t unrecordedOutcomes() const { return m_pendingOutcomes.size(); }
    std::uint64_t transactions() const { return m_committer.transactions(); }

private:
    struct PendingClaim
    {
        ClaimPtr claim;
        ClaimCallback callback; ///< Empty once it has been called.
    };
    using PendingClaimPtr = std::shared_ptr<PendingClaim>;

    struct PendingOutcome
    {
        ClaimPtr claim;
        ClaimRow row;
        Duration backoff = Duration::zero();
        TimePoint nextTry;
        bool writing = false;
    };

    ClaimPtr makeClaim(const Request &request) const;
    ClaimRow rowOf(const Claim &claim, ClaimRow::State state) const;
    bool answerLocally(const ClaimPtr &claim, const ClaimCallback &callback);
    void submitClaim(const PendingClaimPtr &pending, std::uint64_t expected);
    void handleClaimWrite(const PendingClaimPtr &pending,
                          const Result<GroupCommitter::WriteResult> &result);
    void complete(const PendingClaimPtr &pending, Result<Grant> result);
    void resolveConflict(const PendingClaimPtr &pending, const TableRow &found);
    void refuseUnfinished(const PendingClaimPtr &pending, const ClaimRow &row);
    void replay(const PendingClaimPtr &pending, const ClaimRow &row);
    void recordOutcome(const ClaimPtr &claim, ClaimRow row);
    void writeOutcome(const std::string &rowKey);
    void storeBody(const std::string &rowKey, ClaimRow row);
    void submitOutcome(const std::string &rowKey);
    void handleOutcomeWrite(const std::string &rowKey,
                            const Result<GroupCommitter::WriteResult> &result);
    void retryLater(const std::string &rowKey);
    void discard(const std::string &rowKey);
    Error storeDown(std::string detail) const;
    void wake() const;

    Options m_options;
    GroupCommitter m_committer;
    std::multimap<TimePoint, PendingClaimPtr> m_pendingClaims; ///< By timeout.
    std::map<std::string, std::string> m_openClaims; ///< Fingerprints of open claims by row key.
    std::map<std::string, PendingOutcome> m_pendingOutcomes; ///< By row key.
    /// False after destruction, checked by callbacks that may outlive this object.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace catkinloft
