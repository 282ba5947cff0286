#include "Net/CrashWatch.h"

#include "Base/Log.h"
#include "Base/Metrics.h"
#include "Decide/RequestQuarantine.h"
#include "Net/EventLoop.h"
#include "Net/Timer.h"
#include "Net/internal/ConnectProbe.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <utility>
#include <vector>

#include <fmt/ranges.h>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

using internal::ConnectProbe;
using Outcome = ConnectProbe::Outcome;

static_assert(ConnectProbe::CloseTimeout > ConnectProbe::DecisionTimeout,
              "a decision must not wait for the end of the check");
// An attempt that broke shortly before the crash is recorded with it, and RequestQuarantine
// excludes what is recorded later than CrashDetectionSpread after that.
static_assert(ConnectProbe::CloseTimeout <= RequestQuarantine::CrashDetectionSpread,
              "a crash must not be detected after the attempts that it broke are excluded");

/// Time for which a crash, or a refused connection that was not confirmed to be one, is remembered
/// for the other requests that the replica was processing. It is short because a replica whose
/// incarnation does not change with each start may be running again later.
constexpr Duration CrashMemory = 1s;

/// Longest time between the last evidence that a replica runs and its refusal of connections for
/// which the refusal is dated to when it began. All replicas of a lost path are found within it, so
/// that they count as lost at the same moment.
constexpr Duration MaxProofAge = 250ms;

/// Time after which a request continues as after a crash although the evidence is not complete. A
/// path that is lost closes the controls within a round trip; that they stay open takes 100 ms, and
/// requests should not wait for it.
constexpr Duration PresumptionDelay = 20ms;

CrashWatch::State stateOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Closed:
        return CrashWatch::State::Crashed;
    case Outcome::Connected:
    case Outcome::StayedOpen:
    case Outcome::ProvenOpen:
        return CrashWatch::State::Alive;
    case Outcome::Unreachable:
    case Outcome::Inconclusive:
        break;
    }
    return CrashWatch::State::Unknown;
}

/// An attempt whose connection broke lately.
struct RecentAttempt
{
    CrashWatch::BrokenAttempt attempt;
    TimePoint brokeAt;
    bool isReported = false; ///< Options::attemptCrashed was called.
};

using AttemptPtr = std::shared_ptr<RecentAttempt>;

struct PendingCheck
{
    AttemptPtr broken;
    CrashWatch::AliveCriterion criterion = CrashWatch::AliveCriterion::Accepts;
    std::function<void(CrashWatch::State)> decided; ///< Null after it was called.
};

/// The attempts that wait for one probe of their replica.
struct Check
{
    std::string replica; ///< Incarnation of the replica.
    TimePoint brokeAt; ///< When the first of the attempts broke.
    std::unique_ptr<ConnectProbe> probe;
    bool connected = false;
    bool confirming = false; ///< Other routers are asked whether it crashed.
    bool isPathLost = false; ///< The result is Finding::PathLost.
    bool isPresumed = false; ///< PresumptionDelay is over.
    std::unique_ptr<Timer> presumption; ///< Runs for PresumptionDelay.
    std::vector<PendingCheck> attempts;
};

using CheckPtr = std::shared_ptr<Check>;

/// An attempt that broke when its replica began to refuse connections.
struct Loss
{
    CrashWatch::BrokenAttempt attempt;
    TimePoint refusedAt;
};

/// A replica that has crashed, or has refused a connection without a confirmation of its crash.
struct Refusal
{
    TimePoint since; ///< When the first attempt broke.
    TimePoint foundAt; ///< When the last check ended.
};

} // namespace

struct CrashWatch::Private
{
    explicit Private(Options o) : options(std::move(o)) { }

    CheckPtr start(const BrokenAttempt &attempt);
    void found(const CheckPtr &check, Outcome result);
    void conclude(const CheckPtr &check, Outcome result);
    void presume(Check &check);
    void notConfirmed(const Check &check);
    std::vector<Loss> losses(const Check &check) const;
    void crashed(Check &check);
    void reportCrash(RecentAttempt &broken, TimePoint crashedAt);
    void reportTold(RecentAttempt &broken);
    static void dateBack(Check &check, TimePoint brokeAt);
    std::function<void(State)> requiringIdentity(const BrokenAttempt &attempt,
                                                 std::function<void(State)> decided) const;
    void closeToAttempts(const CheckPtr &check);
    void finish(const CheckPtr &check);
    void forgetOld();
    void forgetRestarted(const BrokenAttempt &attempt);

    Options options;
    /// Undecided checks by incarnation. Further broken attempts join them.
    std::map<std::string, CheckPtr> undecided;
    std::set<CheckPtr> checks; ///< All, with those that only wait for a late close.
    std::map<std::string, Refusal> crashes; ///< By incarnation.
    /// The same for replicas whose crash was not confirmed. If most replicas of a service crash at
    /// once, it looks like a lost path first, and the crash is confirmed only by a later check. The
    /// requests that were sent in the meantime must not be blamed.
    std::map<std::string, Refusal> unconfirmed;
    /// Crashes that other routers have found, by incarnation.
    std::map<std::string, Refusal> told;
    std::deque<AttemptPtr> recentAttempts; ///< Attempts that broke within CrashMemory.
};

CrashWatch::CrashWatch(Options options) : m_d(std::make_unique<Private>(std::move(options))) { }

CrashWatch::~CrashWatch() = default;

void CrashWatch::checkReplica(BrokenAttempt attempt, AliveCriterion criterion,
                              std::function<void(State)> decided)
{
    m_d->forgetOld();
    m_d->forgetRestarted(attempt);
    if (criterion == AliveCriterion::Proven)
        decided = m_d->requiringIdentity(attempt, std::move(decided));
    const auto broken = std::make_shared<RecentAttempt>(
            RecentAttempt{.attempt = std::move(attempt), .brokeAt = m_d->options.loop.now()});
    m_d->recentAttempts.push_back(broken);
    const auto crashed = m_d->crashes.find(broken->attempt.replica);
    if (crashed != m_d->crashes.end()) {
        m_d->reportCrash(*broken, crashed->second.since);
        m_d->options.loop.post([decided = std::move(decided)] { decided(State::Crashed); });
        return;
    }
    m_d->reportTold(*broken);
    const auto known = m_d->undecided.find(broken->attempt.replica);
    const CheckPtr check =
            known == m_d->undecided.end() ? m_d->start(broken->attempt) : known->second;
    if (check->connected && criterion == AliveCriterion::Accepts)
        m_d->options.loop.post([late = std::exchange(decided, nullptr)] { late(State::Alive); });
    else if (check->isPresumed && criterion != AliveCriterion::Proven)
        m_d->options.loop.post([late = std::exchange(decided, nullptr)] { late(State::Crashed); });
    check->attempts.push_back({broken, criterion, std::move(decided)});
}

void CrashWatch::crashTold(const std::string &replica, TimePoint crashedAt)
{
    m_d->forgetOld();
    const TimePoint now = m_d->options.loop.now();
    Refusal &crash = m_d->told.try_emplace(replica, Refusal{crashedAt, now}).first->second;
    crash.foundAt = now;
    // Messages that are delayed make the same crash look younger.
    const bool isLater = crashedAt > crash.since + RequestQuarantine::CrashDetectionSpread;
    crash.since = isLater ? crashedAt : std::min(crash.since, crashedAt);
    for (const AttemptPtr &broken : m_d->recentAttempts) {
        if (broken->attempt.replica == replica)
            m_d->reportTold(*broken);
    }
}

std::optional<Duration> CrashWatch::brokenFor(const std::string &replica) const
{
    const TimePoint now = m_d->options.loop.now();
    TimePoint since = TimePoint::max();
    const auto note = [&](TimePoint it) {
        if (now - it <= CrashMemory)
            since = std::min(since, it);
    };
    for (const CheckPtr &it : m_d->checks) {
        if (it->replica == replica && it->confirming)
            note(it->brokeAt);
    }
    for (const std::map<std::string, Refusal> *refusals : {&m_d->crashes, &m_d->unconfirmed}) {
        if (const auto it = refusals->find(replica); it != refusals->end())
            note(it->second.since);
    }
    return since == TimePoint::max() ? std::nullopt : std::optional<Duration>(now - since);
}

void CrashWatch::brokenElsewhere(const std::string &replica, TimePoint brokeAt)
{
    for (const CheckPtr &it : m_d->checks) {
        if (it->replica == replica)
            Private::dateBack(*it, brokeAt);
    }
}

/// Dates the end of the replica of \a check back to \a brokeAt, unless that is another one.
void CrashWatch::Private::dateBack(Check &check, TimePoint brokeAt)
{
    const Duration earlier = check.brokeAt - brokeAt;
    if (earlier > Duration::zero() && earlier <= RequestQuarantine::CrashDetectionSpread)
        check.brokeAt = brokeAt;
}

/// Reports an attempt that broke when another router found that its replica crashed.
void CrashWatch::Private::reportTold(RecentAttempt &broken)
{
    const auto it = told.find(broken.attempt.replica);
    if (it == told.end())
        return;
    const Duration apart = broken.brokeAt - it->second.since;
    if (std::chrono::abs(apart) <= RequestQuarantine::CrashDetectionSpread)
        reportCrash(broken, it->second.since);
}

CheckPtr CrashWatch::Private::start(const BrokenAttempt &attempt)
{
    auto check = std::make_shared<Check>();
    check->replica = attempt.replica;
    check->brokeAt = options.loop.now();
    const std::weak_ptr<Check> weak = check;
    check->probe = std::make_unique<ConnectProbe>(options.loop, attempt.address, options.sourceIp,
                                                  [this, weak](Outcome it) {
                                                      if (const CheckPtr held = weak.lock())
                                                          found(held, it);
                                                  });
    undecided[attempt.replica] = check;
    checks.insert(check);
    return check;
}

void CrashWatch::Private::found(const CheckPtr &check, Outcome result)
{
    if (check->confirming)
        return;
    if (result == Outcome::ProvenOpen)
        unconfirmed.erase(check->replica);
    if (result != Outcome::Closed)
        return conclude(check, result);
    check->confirming = true;
    check->presumption = std::make_unique<Timer>(options.loop, [this, weak = std::weak_ptr(check)] {
        if (const CheckPtr held = weak.lock())
            presume(*held);
    });
    check->presumption->start(PresumptionDelay);
    const auto lost = std::make_shared<std::vector<Loss>>();
    const auto found = [this, weak = std::weak_ptr<Check>(check), lost](Finding it) {
        const CheckPtr held = weak.lock();
        if (!held)
            return;
        held->isPathLost = it == Finding::PathLost;
        if (it != Finding::Crashed) {
            notConfirmed(*held);
            *lost = losses(*held);
        }
        conclude(held, it == Finding::Crashed ? Outcome::Closed : Outcome::Unreachable);
    };
    options.confirm(check->replica, found, [this, lost] {
        for (const Loss &it : *lost)
            options.attemptLost(it.attempt, it.refusedAt);
    });
}

/// Only the requests are told. The crash is recorded when the evidence is complete.
void CrashWatch::Private::presume(Check &check)
{
    check.isPresumed = true;
    std::vector<std::function<void(State)>> hooks;
    for (PendingCheck &it : check.attempts) {
        if (it.decided && it.criterion != AliveCriterion::Proven)
            hooks.push_back(std::exchange(it.decided, nullptr));
    }
    for (const auto &it : hooks)
        it(State::Crashed);
}

void CrashWatch::Private::conclude(const CheckPtr &check, Outcome result)
{
    if (result == Outcome::Closed)
        crashed(*check);
    check->connected = result == Outcome::Connected;
    check->presumption.reset();
    // The callbacks may start the next check, so they run after the state is updated.
    std::vector<std::pair<std::function<void(State)>, State>> hooks;
    for (PendingCheck &it : check->attempts) {
        const bool isPending = check->connected && it.criterion != AliveCriterion::Accepts;
        const bool isUnproven = check->isPathLost && it.criterion == AliveCriterion::Proven;
        if (it.decided && !isPending)
            hooks.emplace_back(std::exchange(it.decided, nullptr),
                               isUnproven ? State::Crashed : stateOf(result));
    }
    if (result == Outcome::StayedOpen)
        closeToAttempts(check);
    else if (!check->connected)
        finish(check);
    for (const auto &[decided, state] : hooks)
        decided(state);
}

void CrashWatch::Private::notConfirmed(const Check &check)
{
    const TimePoint now = options.loop.now();
    unconfirmed.try_emplace(check.replica, Refusal{check.brokeAt, now}).first->second.foundAt = now;
}

/// \returns the attempts of \a check that were in progress when its replica first refused a
/// connection, if it was running shortly before.
std::vector<Loss> CrashWatch::Private::losses(const Check &check) const
{
    const TimePoint since = unconfirmed.at(check.replica).since;
    std::vector<Loss> out;
    for (const PendingCheck &it : check.attempts) {
        const BrokenAttempt &attempt = it.broken->attempt;
        if (attempt.sentAt <= since && attempt.provenAt >= since - MaxProofAge)
            out.push_back({attempt, since});
    }
    return out;
}

void CrashWatch::Private::crashed(Check &check)
{
    if (const auto other = told.find(check.replica); other != told.end())
        dateBack(check, other->second.since);
    const auto earlier = unconfirmed.find(check.replica);
    if (earlier != unconfirmed.end()) {
        check.brokeAt = std::min(check.brokeAt, earlier->second.since);
        unconfirmed.erase(earlier);
    }
    const auto [crash, isNew] =
            crashes.try_emplace(check.replica, Refusal{check.brokeAt, options.loop.now()});
    crash->second.since = std::min(crash->second.since, check.brokeAt);
    if (isNew) {
        options.metrics.count("catkinloft_replica_ends_total");
        Log::warning("replica_ended",
                     {{"replica", check.replica},
                      {"address", check.attempts.front().broken->attempt.address},
                      {"requests", check.attempts.size()}});
        options.replicaCrashed(check.replica);
    }
    for (const PendingCheck &it : check.attempts)
        reportCrash(*it.broken, check.brokeAt);
}

/// \returns \a decided with the state of the replica of \a attempt itself. Whatever listens at its
/// address is alive for the probe: also the next replica there, or a socket that nobody reads.
std::function<void(CrashWatch::State)>
CrashWatch::Private::requiringIdentity(const BrokenAttempt &attempt,
                                       std::function<void(State)> decided) const
{
    return [identify = options.identify, attempt, decided = std::move(decided)](State state) {
        if (state != State::Alive)
            return decided(state);
        identify(attempt, [attempt, decided](std::optional<bool> isSame) {
            if (!isSame.value_or(false))
                Log::warning("replica_not_identified",
                             {{"request_id", attempt.requestId},
                              {"replica", attempt.replica},
                              {"address", attempt.address},
                              {"finding", isSame ? "another_replica" : "no_answer"}});
            decided(!isSame ? State::Unknown : *isSame ? State::Alive : State::Crashed);
        });
    };
}

/// Ends the time in which broken attempts join \a check. Later ones get a probe of their own,
/// because the replica may have crashed only after the probe of \a check had connected.
void CrashWatch::Private::closeToAttempts(const CheckPtr &check)
{
    const auto known = undecided.find(check->replica);
    if (known != undecided.end() && known->second == check)
        undecided.erase(known);
}

/// The probe must not be destroyed from within its own callback.
void CrashWatch::Private::finish(const CheckPtr &check)
{
    closeToAttempts(check);
    checks.erase(check);
    options.loop.post([held = check] {});
}

void CrashWatch::Private::reportCrash(RecentAttempt &broken, TimePoint crashedAt)
{
    const BrokenAttempt &attempt = broken.attempt;
    // Requests sent after the crash only reached the proxy in front of the replica.
    if (attempt.sentAt > crashedAt || std::exchange(broken.isReported, true))
        return;
    const std::span<const std::string> suspects = attempt.suspects;
    const std::size_t requests = std::min<std::size_t>(1, suspects.size());
    Log::info("run_ended_with_replica",
              {{"request_id", attempt.requestId},
               {"fingerprint", fmt::format("{}", fmt::join(suspects.first(requests), " "))},
               {"prompt_parts", fmt::format("{}", fmt::join(suspects.subspan(requests), " "))},
               {"replica", attempt.replica},
               {"software", attempt.software},
               {"ran_ms", (crashedAt - attempt.sentAt) / std::chrono::milliseconds(1)}});
    options.attemptCrashed(attempt, crashedAt);
}

void CrashWatch::Private::forgetOld()
{
    const TimePoint now = options.loop.now();
    const auto isOld = [&](const auto &it) { return now - it.second.foundAt > CrashMemory; };
    std::erase_if(crashes, isOld);
    std::erase_if(unconfirmed, isOld);
    std::erase_if(told, isOld);
    while (!recentAttempts.empty() && now - recentAttempts.front()->brokeAt > CrashMemory)
        recentAttempts.pop_front();
}

/// Forgets earlier refusals of a replica that was known to run after them.
void CrashWatch::Private::forgetRestarted(const BrokenAttempt &attempt)
{
    for (std::map<std::string, Refusal> *refusals : {&crashes, &unconfirmed}) {
        const auto it = refusals->find(attempt.replica);
        // A connection may be read for a moment after another one to the same replica broke.
        if (it != refusals->end()
            && attempt.provenAt > it->second.since + RequestQuarantine::CrashDetectionSpread)
            refusals->erase(it);
    }
}

} // namespace catkinloft
