#pragma once

#include "Base/Metrics.h"
#include "Base/ObjectStore.h"
#include "Base/Random.h"
#include "Request/Claim.h"
#include "Request/ClaimRow.h"
#include "Request/GroupCommitter.h"

#include <map>

namespace catkinloft {

/// \brief At most one execution of each call that carries an idempotency key, over all routers and
/// all retries.
///
/// One compare-and-set creates the row of a key before anything is sent. Whoever created it is the
/// only one ever to send: no other router takes a claim over, however long its holder is silent, so
/// a holder that was paused can do no harm and no clock decides about safety. The price is that a
/// call whose router died between the claim and the send, a gap of microseconds, is reported as
/// outcome_unknown though it did not run. A second compare-and-set before each send would spare
/// that, at half as many writes again.
///
/// \sa docs/design/requests.md for the ways that were weighed.
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
        /// Longest wait for the store. A caller that is told "not run" after this can still try
        /// elsewhere before a dispatch is late.
        Duration storeTimeout = std::chrono::seconds(3);
        std::function<void()> wake = {}; ///< Called when nextDeadline() became earlier.
    };

    struct Request
    {
        std::string workspace;
        std::string key;
        std::string fingerprint;
        TimePoint deadline; ///< Nothing is sent after it.
    };

    /// \brief What a claim led to: the right to execute, or an earlier attempt's answer.
    struct Grant
    {
        ClaimPtr claim; ///< nullptr: `answer` is the first attempt's.
        RecordedAnswer answer = {};
    };

    using ClaimCallback = std::function<void(Result<Grant>)>;

    explicit ClaimManager(Options options);
    ~ClaimManager();

    /// \returns a fingerprint of what makes two requests the same.
    static std::string fingerprint(std::string_view method, std::string_view target,
                                   std::string_view body);

    /// \brief Claims \a request. \a callback is called once, at once or later.
    void claim(const Request &request, ClaimCallback callback);

    /// \returns whether the holder may send now. Asked directly before each send: a holder that was
    /// paused past its deadline must not act on a claim whose row may be long gone.
    bool maySend(const Claim &claim) const;

    /// \brief Records the outcome; the store is tried until it takes it or the claim expires.
    void recordAnswer(const ClaimPtr &claim, RecordedAnswer answer);
    void recordUnknown(const ClaimPtr &claim);

    /// \brief Gives the key free again. Only for a claim under which nothing was or will be sent.
    void release(const ClaimPtr &claim);

    /// \brief Lets time pass.
    void poll();
    TimePoint nextDeadline() const;

    /// \returns outcomes that the store has not taken yet.
    std::size_t unrecordedOutcomes() const { return m_pendingOutcomes.size(); }
    std::uint64_t transactions() const { return m_committer.transactions(); }

private:
    struct PendingClaim
    {
        ClaimPtr claim;
        ClaimCallback callback; ///< Empty once the caller was told.
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
    std::multimap<TimePoint, PendingClaimPtr> m_pendingClaims; ///< By when the caller is told.
    std::map<std::string, std::string> m_openClaims; ///< Fingerprints of open claims by row key.
    std::map<std::string, PendingOutcome> m_pendingOutcomes; ///< By row key.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< Answers may come later.
};

} // namespace catkinloft
