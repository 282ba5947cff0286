#include "Request/ClaimManager.h"

#include "Base/Hash.h"
#include "Base/Log.h"

#include <algorithm>

#include <fmt/format.h>

namespace catkinloft {

using namespace std::chrono_literals;

namespace {

/// How long the row of a completed call is retained. Callers retry within minutes; one day also
/// covers an operator who notices a failed call on the next morning. It exceeds the longest
/// deadline (one hour) plus any error of the routers' wall clocks, so no holder can still send when
/// its row is removed.
constexpr auto Retention = 24h;

/// How long rows with an unknown outcome are retained. They stay longer because a person has to
/// find out what happened before the key can be used again.
constexpr auto UnknownOutcomeRetention = 30 * 24h;

/// How long free rows are retained: only until no earlier write can take effect late any more.
constexpr auto FreeRetention = 1h;

/// Longer bodies are written to the object store instead of the row. Acknowledgements are far
/// shorter, and 64 rows of this size make a transaction of 1 MB.
constexpr std::size_t MaxInlineBody = 16 * 1024;

/// Maximum number of outcomes that are kept in memory while the store is unavailable. 1,000
/// outcomes of 16 KB take 16 MB and cover an outage of 90 seconds at 11 calls per second and
/// router. An outcome that does not fit is dropped, and retries of its call get outcome_unknown.
constexpr std::size_t MaxPendingOutcomes = 1000;

constexpr Duration FirstBackoff = 100ms;
constexpr Duration MaxBackoff = 5s;

/// Retry-After of a call that is still in progress or whose outcome can't be read now.
constexpr Duration InProgressRetryAfter = 1s;

Error unknownOutcome(std::string detail)
{
    return {.reason = Reason::OutcomeUnknown,
            .verdict = Verdict::MayHaveRun,
            .detail = std::move(detail),
            .rule = "claims.never_taken_over"};
}

Error inProgress(Duration retryAfter)
{
    return {.reason = Reason::ClaimInProgress,
            .verdict = Verdict::MayHaveRun,
            .detail = "the call is in progress; retry with the same key to get its answer",
            .retryAfter = retryAfter,
            .rule = "claims.one_holder"};
}

Error keyReused()
{
    return {.reason = Reason::KeyReused,
            .detail = "the idempotency key was already used with another method, path or body",
            .rule = "claims.one_request_per_key"};
}

bool holdsClaim(const TableRow &row, const Claim &claim)
{
    const Result<ClaimRow> decoded = ClaimRow::decode(row.value);
    return decoded && decoded.value().state == ClaimRow::State::Claimed
            && decoded.value().attempt == claim.attempt;
}

} // namespace

ClaimManager::ClaimManager(Options options)
    : m_options(std::move(options)), m_committer({.table = m_options.table,
                                                  .clock = m_options.clock,
                                                  .window = m_options.window,
                                                  .maxRows = m_options.maxRows,
                                                  .wake = [this] { wake(); }})
{ }

ClaimManager::~ClaimManager()
{
    *m_alive = false;
}

std::string ClaimManager::fingerprint(std::string_view method, std::string_view target,
                                      std::string_view body)
{
    constexpr std::size_t Digits = 32;
    // The lengths make the concatenation unambiguous.
    return sha256Hex(fmt::format("{}:{}:{}:{}:{}", method.size(), target.size(), method, target,
                                 body))
            .substr(0, Digits);
}

ClaimPtr ClaimManager::makeClaim(const Request &request) const
{
    // Read the clocks before the commit, since the row may exist from now on.
    const TimePoint now = m_options.clock.now();
    const WallTime wall = m_options.clock.wallNow();
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - now);
    return std::make_shared<Claim>(
            Claim{.rowKey = ClaimRow::key(request.workspace, request.key),
                  .fingerprint = request.fingerprint,
                  .attempt = fmt::format("{:016x}{:016x}", m_options.random(), m_options.random()),
                  .sendBefore = request.deadline,
                  .until = wall + left,
                  .expires = wall + UnknownOutcomeRetention});
}

ClaimRow ClaimManager::rowOf(const Claim &claim, ClaimRow::State state) const
{
    return {.state = state,
            .fingerprint = claim.fingerprint,
            .attempt = claim.attempt,
            .router = m_options.router,
            .until = claim.until,
            .expires = state == ClaimRow::State::Done ? m_options.clock.wallNow() + Retention
                    : state == ClaimRow::State::Free  ? m_options.clock.wallNow() + FreeRetention
                                                      : claim.expires,
            .answer = {},
            .object = {}};
}

/// Answers a retry on the router that holds the claim itself. This needs no write and works even
/// while the store is unavailable.
bool ClaimManager::answerLocally(const ClaimPtr &claim, const ClaimCallback &callback)
{
    const auto it = m_pendingOutcomes.find(claim->rowKey);
    if (it != m_pendingOutcomes.end()) {
        const ClaimRow &row = it->second.row;
        if (row.state == ClaimRow::State::Free)
            callback(storeDown("the claim of an earlier attempt is still being released"));
        else if (row.fingerprint != claim->fingerprint)
            callback(keyReused());
        else if (row.state == ClaimRow::State::Done)
            callback(Grant{.claim = nullptr, .answer = row.answer});
        else
            callback(unknownOutcome("the first attempt was sent and got no complete answer"));
        return true;
    }
    const auto openClaim = m_openClaims.find(claim->rowKey);
    if (openClaim == m_openClaims.end())
        return false;
    if (openClaim->second == claim->fingerprint)
        callback(inProgress(InProgressRetryAfter));
    else
        callback(keyReused());
    return true;
}

void ClaimManager::claim(const Request &request, ClaimCallback callback)
{
    const ClaimPtr claim = makeClaim(request);
    if (answerLocally(claim, callback))
        return;
    const auto pending = std::make_shared<PendingClaim>(PendingClaim{claim, std::move(callback)});
    const TimePoint timeoutAt = m_options.clock.now() + m_options.storeTimeout;
    m_pendingClaims.emplace(std::min(timeoutAt, request.deadline), pending);
    submitClaim(pending, 0);
}

void ClaimManager::submitClaim(const PendingClaimPtr &pending, std::uint64_t expected)
{
    const ClaimPtr &claim = pending->claim;
    claim->version = expected;
    m_openClaims.insert_or_assign(claim->rowKey, claim->fingerprint);
    m_committer.submit({.key = claim->rowKey,
                        .expected = expected,
                        .value = rowOf(*claim, ClaimRow::State::Claimed).encode()},
                       [this, pending](const Result<GroupCommitter::WriteResult> &result) {
                           handleClaimWrite(pending, result);
                       });
    wake();
}

void ClaimManager::handleClaimWrite(const PendingClaimPtr &pending,
                                    const Result<GroupCommitter::WriteResult> &result)
{
    const ClaimPtr &claim = pending->claim;
    if (!result) {
        m_openClaims.erase(claim->rowKey);
        // The write may still take effect, even later. This attempt sends nothing, so `not_run` is
        // correct, and it stays correct for a retry once the claim is released.
        if (result.error().verdict != Verdict::NotRun)
            release(claim);
        complete(pending, storeDown(result.error().detail));
    } else if (!result.value().committed) {
        m_openClaims.erase(claim->rowKey);
        resolveConflict(pending, result.value().current);
    } else {
        claim->version = result.value().current.version;
        if (pending->callback && maySend(*claim)) {
            complete(pending, Grant{.claim = claim});
        } else {
            release(claim);
            complete(pending,
                     storeDown("the claim was recorded after the deadline or store timeout"));
        }
    }
}

void ClaimManager::complete(const PendingClaimPtr &pending, Result<Grant> result)
{
    const auto it = std::find_if(m_pendingClaims.begin(), m_pendingClaims.end(),
                                 [&](const auto &entry) { return entry.second == pending; });
    if (it != m_pendingClaims.end())
        m_pendingClaims.erase(it);
    if (const ClaimCallback callback = std::exchange(pending->callback, nullptr))
        callback(std::move(result));
}

void ClaimManager::resolveConflict(const PendingClaimPtr &pending, const TableRow &found)
{
    const Result<ClaimRow> row = ClaimRow::decode(found.value);
    if (!row)
        complete(pending, row.error());
    else if (row.value().state == ClaimRow::State::Free)
        submitClaim(pending, found.version);
    else if (row.value().fingerprint != pending->claim->fingerprint)
        complete(pending, keyReused());
    else if (row.value().state == ClaimRow::State::Done)
        replay(pending, row.value());
    else
        refuseUnfinished(pending, row.value());
}

void ClaimManager::refuseUnfinished(const PendingClaimPtr &pending, const ClaimRow &row)
{
    const Duration left = row.until - m_options.clock.wallNow();
    if (row.state == ClaimRow::State::Claimed && left > Duration::zero())
        complete(pending, inProgress(std::min(left, InProgressRetryAfter)));
    else if (row.state == ClaimRow::State::Claimed)
        complete(pending,
                 unknownOutcome(fmt::format("router {} claimed the call and recorded no "
                                            "outcome before its deadline",
                                            row.router)));
    else
        complete(pending, unknownOutcome("the first attempt was sent and got no complete answer"));
}

void ClaimManager::replay(const PendingClaimPtr &pending, const ClaimRow &row)
{
    if (row.object.empty()) {
        complete(pending, Grant{.claim = nullptr, .answer = row.answer});
        return;
    }
    m_options.objects.get(
            row.object,
            [this, alive = m_alive, pending,
             answer = row.answer](Result<std::optional<std::string>> body) mutable {
                if (!*alive)
                    return;
                if (body && body.value()) {
                    answer.body = std::move(*body.value());
                    complete(pending, Grant{.claim = nullptr, .answer = std::move(answer)});
                    return;
                }
                complete(pending,
                         Error{.reason = Reason::OutcomeUnknown,
                               .verdict = Verdict::Ran,
                               .detail = "the call ran, but its recorded answer can't be read",
                               .retryAfter = InProgressRetryAfter});
            });
}

bool ClaimManager::maySend(const Claim &claim) const
{
    return m_options.clock.now() < claim.sendBefore && m_options.clock.wallNow() < claim.until;
}

void ClaimManager::recordAnswer(const ClaimPtr &claim, RecordedAnswer answer)
{
    ClaimRow row = rowOf(*claim, ClaimRow::State::Done);
    row.answer = std::move(answer);
    recordOutcome(claim, std::move(row));
}

void ClaimManager::recordUnknown(const ClaimPtr &claim)
{
    recordOutcome(claim, rowOf(*claim, ClaimRow::State::Unknown));
}

void ClaimManager::release(const ClaimPtr &claim)
{
    recordOutcome(claim, rowOf(*claim, ClaimRow::State::Free));
}

void ClaimManager::recordOutcome(const ClaimPtr &claim, ClaimRow row)
{
    if (m_pendingOutcomes.size() >= MaxPendingOutcomes) {
        m_openClaims.erase(claim->rowKey);
        m_options.metrics.count("catkinloft_claim_outcomes_dropped_total");
        return;
    }
    m_pendingOutcomes[claim->rowKey] = {.claim = claim, .row = std::move(row), .nextTry = {}};
    writeOutcome(claim->rowKey);
}

void ClaimManager::writeOutcome(const std::string &rowKey)
{
    PendingOutcome &it = m_pendingOutcomes.at(rowKey);
    it.writing = true;
    if (it.row.answer.body.size() > MaxInlineBody && it.row.object.empty())
        storeBody(rowKey, it.row);
    else
        submitOutcome(rowKey);
}

void ClaimManager::storeBody(const std::string &rowKey, ClaimRow row)
{
    const std::string name = "claims/" + row.attempt;
    m_options.objects.put(name, std::move(row.answer.body),
                          [this, alive = m_alive, rowKey, name](const Result<void> &result) {
                              if (!*alive || !m_pendingOutcomes.contains(rowKey))
                                  return;
                              if (!result) {
                                  retryLater(rowKey);
                                  return;
                              }
                              m_pendingOutcomes.at(rowKey).row.object = name;
                              submitOutcome(rowKey);
                          });
}

void ClaimManager::submitOutcome(const std::string &rowKey)
{
    const PendingOutcome &it = m_pendingOutcomes.at(rowKey);
    ClaimRow row = it.row;
    if (!row.object.empty())
        row.answer.body.clear();
    m_committer.submit({.key = rowKey, .expected = it.claim->version, .value = row.encode()},
                       [this, rowKey](const Result<GroupCommitter::WriteResult> &result) {
                           handleOutcomeWrite(rowKey, result);
                       });
    wake();
}

void ClaimManager::handleOutcomeWrite(const std::string &rowKey,
                                      const Result<GroupCommitter::WriteResult> &result)
{
    if (!result) {
        retryLater(rowKey);
        return;
    }
    const PendingOutcome &it = m_pendingOutcomes.at(rowKey);
    const TableRow &current = result.value().current;
    if (!result.value().committed && holdsClaim(current, *it.claim)) {
        // The write that created the claim took effect late; its version is only known now.
        it.claim->version = current.version;
        submitOutcome(rowKey);
        return;
    }
    if (!result.value().committed && it.row.state != ClaimRow::State::Free) {
        // Only ClaimSweeper changes rows of other holders, so the claim had expired before.
        m_options.metrics.count("catkinloft_claim_outcomes_dropped_total");
        Log::warning("claim_outcome_dropped", {{"row", rowKey}});
    }
    discard(rowKey);
}

void ClaimManager::retryLater(const std::string &rowKey)
{
    PendingOutcome &it = m_pendingOutcomes.at(rowKey);
    if (m_options.clock.wallNow() > it.claim->expires) {
        discard(rowKey);
        return;
    }
    it.writing = false;
    it.backoff = std::clamp(it.backoff * 2, FirstBackoff, MaxBackoff);
    it.nextTry = m_options.clock.now() + it.backoff;
    wake();
}

void ClaimManager::discard(const std::string &rowKey)
{
    m_openClaims.erase(rowKey);
    m_pendingOutcomes.erase(rowKey);
}

void ClaimManager::poll()
{
    const TimePoint now = m_options.clock.now();
    m_committer.poll();
    while (!m_pendingClaims.empty() && m_pendingClaims.begin()->first <= now) {
        // A write that is still in flight is released by handleClaimWrite() when it ends.
        complete(PendingClaimPtr(m_pendingClaims.begin()->second),
                 storeDown("the store did not answer in time"));
    }
    std::vector<std::string> due;
    for (const auto &[rowKey, it] : m_pendingOutcomes) {
        if (!it.writing && it.nextTry <= now)
            due.push_back(rowKey);
    }
    for (const std::string &it : due)
        writeOutcome(it);
}

TimePoint ClaimManager::nextDeadline() const
{
    TimePoint out = m_committer.nextDeadline();
    if (!m_pendingClaims.empty())
        out = std::min(out, m_pendingClaims.begin()->first);
    for (const auto &it : m_pendingOutcomes) {
        if (!it.second.writing)
            out = std::min(out, it.second.nextTry);
    }
    return out;
}

Error ClaimManager::storeDown(std::string detail) const
{
    return {.reason = Reason::ClaimStoreUnavailable,
            .detail = std::move(detail),
            .retryAfter = InProgressRetryAfter,
            .rule = "claims.before_sending",
            .figures = {{"store_timeout_seconds", toSeconds(m_options.storeTimeout)}}};
}

void ClaimManager::wake() const
{
    if (m_options.wake)
        m_options.wake();
}

} // namespace catkinloft
