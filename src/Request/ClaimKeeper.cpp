#include "Request/ClaimKeeper.h"

#include "Base/Hash.h"
#include "Base/Log.h"

#include <algorithm>

#include <fmt/format.h>

namespace catkinloft {

using namespace std::chrono_literals;

namespace {

/// A key is remembered this long. Callers repeat a call within minutes; a day covers a shift that
/// finds out in the morning. It is far beyond the longest deadline (an hour) plus any error of the
/// routers' calendars, so no holder can still send when its row goes.
constexpr auto Retention = 24h;

/// Rows whose outcome nobody knows stay longer: a person has to find out before the key is free.
constexpr auto UnsettledRetention = 30 * 24h;

/// A free row only has to outlast late effects of the store's writes.
constexpr auto FreeRetention = 1h;

/// Bodies up to this length travel in the row. Acknowledgements are far shorter, and 64 rows of it
/// make a transaction of 1 MB.
constexpr std::size_t MaxInlineBody = 16 * 1024;

/// Outcomes held for a store that is down: 1,000 of 16 KB are 16 MB, and at 11 calls a second and
/// router they last for a minute and a half. What does not fit ends as outcome_unknown.
constexpr std::size_t MaxSettlements = 1000;

constexpr Duration FirstBackoff = 100ms;
constexpr Duration MaxBackoff = 5s;

/// When a caller is asked to come back for the outcome of a call in progress.
constexpr Duration ProgressRetryAfter = 1s;

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
            .detail = "repeat with the same key to get the first attempt's answer",
            .retryAfter = retryAfter,
            .rule = "claims.one_holder"};
}

Error keyReused()
{
    return {.reason = Reason::KeyReused,
            .detail = "this key was used for another method, path or body",
            .rule = "claims.one_request_per_key"};
}

bool holdsClaim(const TableRow &row, const Claim &claim)
{
    const Result<ClaimRow> decoded = ClaimRow::decode(row.value);
    return decoded && decoded.value().state == ClaimRow::State::Claimed
            && decoded.value().attempt == claim.attempt;
}

} // namespace

ClaimKeeper::ClaimKeeper(Options options)
    : m_options(std::move(options)), m_committer({.table = m_options.table,
                                                  .clock = m_options.clock,
                                                  .window = m_options.window,
                                                  .maxRows = m_options.maxRows,
                                                  .wake = [this] { wake(); }})
{ }

ClaimKeeper::~ClaimKeeper()
{
    *m_alive = false;
}

std::string ClaimKeeper::fingerprint(std::string_view method, std::string_view target,
                                     std::string_view body)
{
    constexpr std::size_t Digits = 32;
    // Lengths keep the parts apart.
    return sha256Hex(fmt::format("{}:{}:{}:{}:{}", method.size(), target.size(), method, target,
                                 body))
            .substr(0, Digits);
}

ClaimPtr ClaimKeeper::makeClaim(const Request &request) const
{
    // The time before the commit counts: the row may exist from now on.
    const TimePoint now = m_options.clock.now();
    const WallTime wall = m_options.clock.wallNow();
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - now);
    return std::make_shared<Claim>(
            Claim{.rowKey = ClaimRow::key(request.workspace, request.key),
                  .fingerprint = request.fingerprint,
                  .attempt = fmt::format("{:016x}{:016x}", m_options.random(), m_options.random()),
                  .sendBefore = request.deadline,
                  .until = wall + left,
                  .expires = wall + UnsettledRetention});
}

ClaimRow ClaimKeeper::rowOf(const Claim &claim, ClaimRow::State state) const
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

/// A retry on the router that holds the claim needs no write, and gets an answer even while the
/// store is down.
bool ClaimKeeper::answerLocally(const ClaimPtr &claim, const Decided &decided)
{
    const auto it = m_settlements.find(claim->rowKey);
    if (it != m_settlements.end()) {
        const ClaimRow &row = it->second.row;
        if (row.state == ClaimRow::State::Free)
            decided(storeDown("the claim of an earlier attempt is still being withdrawn"));
        else if (row.fingerprint != claim->fingerprint)
            decided(keyReused());
        else if (row.state == ClaimRow::State::Done)
            decided(Grant{.claim = nullptr, .answer = row.answer});
        else
            decided(unknownOutcome("the first attempt was sent and got no whole answer"));
        return true;
    }
    const auto running = m_running.find(claim->rowKey);
    if (running == m_running.end())
        return false;
    if (running->second == claim->fingerprint)
        decided(inProgress(ProgressRetryAfter));
    else
        decided(keyReused());
    return true;
}

void ClaimKeeper::claim(const Request &request, Decided decided)
{
    const ClaimPtr claim = makeClaim(request);
    if (answerLocally(claim, decided))
        return;
    const auto waiting = std::make_shared<Waiting>(Waiting{claim, std::move(decided)});
    const TimePoint limit = m_options.clock.now() + m_options.storeTimeout;
    m_waiting.emplace(std::min(limit, request.deadline), waiting);
    submitClaim(waiting, 0);
}

void ClaimKeeper::submitClaim(const WaitingPtr &waiting, std::uint64_t expected)
{
    const ClaimPtr &claim = waiting->claim;
    claim->version = expected;
    m_running.insert_or_assign(claim->rowKey, claim->fingerprint);
    m_committer.submit({.key = claim->rowKey,
                        .expected = expected,
                        .value = rowOf(*claim, ClaimRow::State::Claimed).encode()},
                       [this, waiting](const Result<GroupCommitter::Settled> &result) {
                           claimed(waiting, result);
                       });
    wake();
}

void ClaimKeeper::claimed(const WaitingPtr &waiting, const Result<GroupCommitter::Settled> &result)
{
    const ClaimPtr &claim = waiting->claim;
    if (!result) {
        m_running.erase(claim->rowKey);
        // The row may come into being, even later, but this attempt will not send any more: "not
        // run" is true, and stays so for a retry once the claim is withdrawn.
        if (result.error().verdict != Verdict::NotRun)
            release(claim);
        tell(waiting, storeDown(result.error().detail));
    } else if (!result.value().committed) {
        m_running.erase(claim->rowKey);
        judge(waiting, result.value().current);
    } else {
        claim->version = result.value().current.version;
        if (waiting->decided && maySend(*claim)) {
            tell(waiting, Grant{.claim = claim});
        } else {
            release(claim);
            tell(waiting, storeDown("the claim was recorded too late"));
        }
    }
}

void ClaimKeeper::tell(const WaitingPtr &waiting, Result<Grant> result)
{
    const auto it = std::find_if(m_waiting.begin(), m_waiting.end(),
                                 [&](const auto &entry) { return entry.second == waiting; });
    if (it != m_waiting.end())
        m_waiting.erase(it);
    if (const Decided decided = std::exchange(waiting->decided, nullptr))
        decided(std::move(result));
}

void ClaimKeeper::judge(const WaitingPtr &waiting, const TableRow &found)
{
    const Result<ClaimRow> row = ClaimRow::decode(found.value);
    if (!row)
        tell(waiting, row.error());
    else if (row.value().state == ClaimRow::State::Free)
        submitClaim(waiting, found.version);
    else if (row.value().fingerprint != waiting->claim->fingerprint)
        tell(waiting, keyReused());
    else if (row.value().state == ClaimRow::State::Done)
        replay(waiting, row.value());
    else
        judgeUnfinished(waiting, row.value());
}

void ClaimKeeper::judgeUnfinished(const WaitingPtr &waiting, const ClaimRow &row)
{
    const Duration left = row.until - m_options.clock.wallNow();
    if (row.state == ClaimRow::State::Claimed && left > Duration::zero())
        tell(waiting, inProgress(std::min(left, ProgressRetryAfter)));
    else if (row.state == ClaimRow::State::Claimed)
        tell(waiting,
             unknownOutcome(fmt::format("router {} claimed the call and recorded no "
                                        "outcome within its deadline",
                                        row.router)));
    else
        tell(waiting, unknownOutcome("the first attempt was sent and got no whole answer"));
}

void ClaimKeeper::replay(const WaitingPtr &waiting, const ClaimRow &row)
{
    if (row.object.empty()) {
        tell(waiting, Grant{.claim = nullptr, .answer = row.answer});
        return;
    }
    m_options.objects.get(
            row.object,
            [this, alive = m_alive, waiting,
             answer = row.answer](Result<std::optional<std::string>> body) mutable {
                if (!*alive)
                    return;
                if (body && body.value()) {
                    answer.body = std::move(*body.value());
                    tell(waiting, Grant{.claim = nullptr, .answer = std::move(answer)});
                    return;
                }
                tell(waiting,
                     Error{.reason = Reason::OutcomeUnknown,
                           .verdict = Verdict::Ran,
                           .detail = "the call ran; its recorded answer can't be read",
                           .retryAfter = ProgressRetryAfter});
            });
}

bool ClaimKeeper::maySend(const Claim &claim) const
{
    return m_options.clock.now() < claim.sendBefore && m_options.clock.wallNow() < claim.until;
}

void ClaimKeeper::recordAnswer(const ClaimPtr &claim, RecordedAnswer answer)
{
    ClaimRow row = rowOf(*claim, ClaimRow::State::Done);
    row.answer = std::move(answer);
    settle(claim, std::move(row));
}

void ClaimKeeper::recordUnknown(const ClaimPtr &claim)
{
    settle(claim, rowOf(*claim, ClaimRow::State::Unknown));
}

void ClaimKeeper::release(const ClaimPtr &claim)
{
    settle(claim, rowOf(*claim, ClaimRow::State::Free));
}

void ClaimKeeper::settle(const ClaimPtr &claim, ClaimRow row)
{
    if (m_settlements.size() >= MaxSettlements) {
        m_running.erase(claim->rowKey);
        m_options.metrics.count("catkinloft_claim_outcomes_dropped_total");
        return;
    }
    m_settlements[claim->rowKey] = {.claim = claim, .row = std::move(row), .nextTry = {}};
    trySettlement(claim->rowKey);
}

void ClaimKeeper::trySettlement(const std::string &rowKey)
{
    Settlement &it = m_settlements.at(rowKey);
    it.writing = true;
    if (it.row.answer.body.size() > MaxInlineBody && it.row.object.empty())
        storeBody(rowKey, it.row);
    else
        writeSettlement(rowKey);
}

void ClaimKeeper::storeBody(const std::string &rowKey, ClaimRow row)
{
    const std::string name = "claims/" + row.attempt;
    m_options.objects.put(name, std::move(row.answer.body),
                          [this, alive = m_alive, rowKey, name](const Result<void> &result) {
                              if (!*alive || !m_settlements.contains(rowKey))
                                  return;
                              if (!result) {
                                  retryLater(rowKey);
                                  return;
                              }
                              m_settlements.at(rowKey).row.object = name;
                              writeSettlement(rowKey);
                          });
}

void ClaimKeeper::writeSettlement(const std::string &rowKey)
{
    const Settlement &it = m_settlements.at(rowKey);
    ClaimRow row = it.row;
    if (!row.object.empty())
        row.answer.body.clear();
    m_committer.submit({.key = rowKey, .expected = it.claim->version, .value = row.encode()},
                       [this, rowKey](const Result<GroupCommitter::Settled> &result) {
                           settled(rowKey, result);
                       });
    wake();
}

void ClaimKeeper::settled(const std::string &rowKey, const Result<GroupCommitter::Settled> &result)
{
    if (!result) {
        retryLater(rowKey);
        return;
    }
    const Settlement &it = m_settlements.at(rowKey);
    const TableRow &current = result.value().current;
    if (!result.value().committed && holdsClaim(current, *it.claim)) {
        // The claim's own write took effect after all.
        it.claim->version = current.version;
        writeSettlement(rowKey);
        return;
    }
    if (!result.value().committed && it.row.state != ClaimRow::State::Free) {
        // Only the sweeper changes another's row, so this outcome came after its expiry.
        m_options.metrics.count("catkinloft_claim_outcomes_dropped_total");
        Log::warning("claim_outcome_dropped", {{"row", rowKey}});
    }
    forget(rowKey);
}

void ClaimKeeper::retryLater(const std::string &rowKey)
{
    Settlement &it = m_settlements.at(rowKey);
    if (m_options.clock.wallNow() > it.claim->expires) {
        forget(rowKey);
        return;
    }
    it.writing = false;
    it.backoff = std::clamp(it.backoff * 2, FirstBackoff, MaxBackoff);
    it.nextTry = m_options.clock.now() + it.backoff;
    wake();
}

void ClaimKeeper::forget(const std::string &rowKey)
{
    m_running.erase(rowKey);
    m_settlements.erase(rowKey);
}

void ClaimKeeper::poll()
{
    const TimePoint now = m_options.clock.now();
    m_committer.poll();
    while (!m_waiting.empty() && m_waiting.begin()->first <= now) {
        // What is still under way is released by claimed() when it settles.
        tell(WaitingPtr(m_waiting.begin()->second), storeDown("the store did not answer in time"));
    }
    std::vector<std::string> due;
    for (const auto &[rowKey, it] : m_settlements) {
        if (!it.writing && it.nextTry <= now)
            due.push_back(rowKey);
    }
    for (const std::string &it : due)
        trySettlement(it);
}

TimePoint ClaimKeeper::nextDeadline() const
{
    TimePoint out = m_committer.nextDeadline();
    if (!m_waiting.empty())
        out = std::min(out, m_waiting.begin()->first);
    for (const auto &it : m_settlements) {
        if (!it.second.writing)
            out = std::min(out, it.second.nextTry);
    }
    return out;
}

Error ClaimKeeper::storeDown(std::string detail) const
{
    return {.reason = Reason::ClaimStoreDown,
            .detail = std::move(detail),
            .retryAfter = ProgressRetryAfter,
            .rule = "claims.before_sending",
            .figures = {{"store_timeout_seconds", toSeconds(m_options.storeTimeout)}}};
}

void ClaimKeeper::wake() const
{
    if (m_options.wake)
        m_options.wake();
}

} // namespace catkinloft
