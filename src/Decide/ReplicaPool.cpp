#include "Decide/ReplicaPool.h"

#include "Base/Hash.h"
#include "Base/Log.h"
#include "Decide/ColdRateLimit.h"
#include "Decide/Rendezvous.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <limits>
#include <optional>
#include <set>
#include <utility>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// A replica above this multiple of the mean load plus LoadSlack gets no prompt, even if it has
/// cached it. Users allow at most twice the mean plus three; the margin is for requests of other
/// routers that are not known here yet.
constexpr double MaxLoadRatio = 1.7;

/// Requests above the ratio that are always allowed: with a mean load of one, a ratio alone would
/// move every second prompt.
constexpr double LoadSlack = 1.5;

/// Cost of one request above the mean load for the other requests on the replica, in tokens to
/// process: it makes their decoding steps 2% longer, about 2 ms for each of them, the time in which
/// 150 tokens are processed.
constexpr double TokensPerRequest = 150;

/// Share of free slots from which no prompt is sent to an engine whose slots are all taken. The
/// counts of the other routers are 0.6 s old: if fewer slots are free, all routers would choose the
/// same few engines, whose queues then take longer than the wait for a slot that was avoided.
constexpr double MinFreeSlotShare = 0.3;

/// Costs that differ by less than this share of the prompt, or by less than EqualCostTokens, count
/// as equal; then the rendezvous order decides.
constexpr double EqualCostShare = 0.1;
constexpr double EqualCostTokens = 100;

/// Among replicas of equal cost, the second in rendezvous order is chosen if the first has more
/// than this number of additional requests. Two choices distribute a small number of long chats
/// more evenly, so that fewer have to be copied later. With a smaller gap routers would choose
/// differently because their counts of each other's requests are up to 250 ms old.
constexpr double SecondChoiceGap = 2;

/// Copying fewer tokens takes longer for the exchange itself than processing them.
constexpr double MinCopiedTokens = 64;

/// Age at which the update of a router is discarded as outdated: twice the longest interval between
/// two of its heartbeats.
constexpr Duration UpdateLifetime = 3s;

/// Interval at which updates are checked for their age.
constexpr Duration ExpiryCheckInterval = 500ms;

/// Number of other routers that must have ejected a replica before it gets no requests from this
/// one. A single router may be cut off from the replica, and if one call in seven fails for other
/// reasons, a router ejects a healthy replica every fifty seconds; three ejections at the same time
/// indicate a fault of the replica.
constexpr int MinPeerEjections = 3;

/// Invalid answers in a row after which a replica is ejected, each to a request that was sent after
/// the one before. Unlike a refused connection, this is no fault of the path. The replica is idle
/// all the while, so that it would attract most requests. One is enough if another router has
/// ejected the replica since its last successful answer here.
constexpr int MaxInvalidInRow = 2;

/// \returns whether something answered that was not the replica's answer to the request.
constexpr bool isInvalidAnswer(Reason reason)
{
    return reason == Reason::UpstreamInvalid || reason == Reason::AnswerMismatch;
}

/// Time during which an own successful answer takes precedence over ejections by other routers.
constexpr Duration OwnSuccessLifetime = 2s;

/// Time for which only calls that may be retried probe a half-open replica. If there was none, any
/// other call is sent afterwards: this may lose one call, but otherwise the replica would stay
/// ejected.
constexpr Duration ProbeGrace = 5s;

/// Maximum number of ejected replicas in one update, 15 bytes each. It may be less than the number
/// of failing replicas, because a router ejects only some of them itself (6 of 28) before it
/// receives the ejections of the others.
constexpr std::size_t MaxAnnouncedEjections = 16;

/// Interval at which the median cost of a call is recomputed.
constexpr Duration BaselineInterval = 1s;

/// Factor on the cost of replicas in this router's failure domain. A call leaves the domain only
/// for a replica with less load: leaving costs a millisecond, waiting behind another request costs
/// its service time.
constexpr double LocalDomainFactor = 0.9;

/// Time after which a reported load no longer counts. The counts of the other routers are as old on
/// average, so a more recent report replaces them in proportion to its age.
constexpr Duration LoadReportLifetime = 600ms;

/// Limits the sum of a report with wrong figures.
constexpr int MaxReportedRequests = 10'000;

/// Exponent of the expected time when calls are distributed at random among replicas of different
/// speed or with reported loads. A replica that is 2.5 times slower gets a sixteenth of the calls
/// of an equally loaded usual one. With much larger values the routers that received the same
/// reports all choose the same replica, with smaller ones a slow replica's queue grows.
constexpr double ExpectedTimeExponent = 3;

/// Maximum delay of a registry entry behind its replica: a heartbeat, a read of the store, and the
/// propagation to the routers.
constexpr Duration MaxEntryDelay = 3s;

/// Time for which a replica that was unreachable is assumed to be cold: for a part of it the
/// replica is excluded, for the rest its registry entry may be outdated.
constexpr Duration UnreachableColdTime = 6s;

/// Time for which isColdSender is cached, since computing it visits all routers.
constexpr Duration ColdSenderLifetime = 500ms;

bool contains(std::span<const std::string> ids, const std::string &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool isSelectable(const ReplicaPool::Query &query, const ReplicaRecord &record,
                  const std::string &incarnation)
{
    return !contains(query.excluded, incarnation)
            && (query.only.empty() || contains(query.only, incarnation))
            && (!query.software || record.software() == *query.software);
}

} // namespace

ReplicaPool::ReplicaPool(Options options)
    : m_options(std::move(options)), m_prompts({.clock = m_options.clock})
{ }

void ReplicaPool::setReplicas(std::span<const ReplicaRecord> replicas)
{
    std::vector<State> next;
    next.reserve(replicas.size());
    for (const ReplicaRecord &it : replicas) {
        std::string incarnation = it.incarnation();
        if (State *known = find(incarnation)) {
            known->record = it;
            next.push_back(std::move(*known));
            known->incarnation.clear();
        } else {
            const std::uint64_t hash = hash64(incarnation);
            const auto exclusion = m_exclusions.find(incarnation);
            next.push_back({.record = it,
                            .incarnation = std::move(incarnation),
                            .hash = hash,
                            .excludedUntil = exclusion == m_exclusions.end() ? TimePoint()
                                                                             : exclusion->second});
        }
    }
    const TimePoint now = m_options.clock.now();
    std::erase_if(m_exclusions, [now](const auto &it) { return it.second <= now; });
    for (const State &it : m_states) {
        if (it.incarnation.empty())
            continue;
        if (it.excludedUntil > now)
            m_exclusions[it.incarnation] = it.excludedUntil;
        m_health.removed(it.health);
        m_prompts.remove(it.hash);
    }
    m_states = std::move(next);
    rebuildIndex();
    if (!m_options.rejections)
        return;
    std::vector<RejectionLimit::Replica> limited;
    for (const State &it : m_states)
        limited.push_back({.id = it.incarnation, .slots = it.record.slots});
    m_options.rejections->setReplicas(std::move(limited));
}

void ReplicaPool::rebuildIndex()
{
    m_index.clear();
    for (std::size_t i = 0; i < m_states.size(); ++i) {
        m_index.emplace(m_states[i].incarnation, i);
        m_states[i].peersInProgress = 0;
        m_states[i].ejectedByPeers = 0;
    }
    for (const auto &[router, received] : m_receivedUpdates)
        add(received.update, 1);
}

void ReplicaPool::applyStatusUpdate(const std::string &router, ReplicaStatusUpdate update,
                                    TimePoint receivedAt)
{
    removeExpiredUpdates();
    ReceivedUpdate &known = m_receivedUpdates[router];
    add(known.update, -1);
    known = {std::move(update), receivedAt};
    add(known.update, 1);
}

void ReplicaPool::removeExpiredUpdates()
{
    const TimePoint now = m_options.clock.now();
    if (now - m_expiryCheckedAt < ExpiryCheckInterval)
        return;
    m_expiryCheckedAt = now;
    for (auto it = m_receivedUpdates.begin(); it != m_receivedUpdates.end();) {
        const bool expired = now - it->second.receivedAt > UpdateLifetime;
        if (expired)
            add(it->second.update, -1);
        it = expired ? m_receivedUpdates.erase(it) : std::next(it);
    }
}

void ReplicaPool::add(const ReplicaStatusUpdate &update, int sign)
{
    const TimePoint now = m_options.clock.now();
    for (const auto &[id, n] : update.counts) {
        if (State *it = find(id))
            it->peersInProgress += sign * n;
    }
    for (const std::string &id : update.ejected) {
        State *it = find(id);
        if (!it)
            continue;
        it->ejectedByPeers += sign;
        // A router replaces its update with each heartbeat.
        if (sign > 0 && now - it->peerEjectionAt > UpdateLifetime)
            it->peersEjectedSince = now;
        if (sign > 0)
            it->peerEjectionAt = now;
    }
}

ReplicaPool::Choice ReplicaPool::choose(const Query &query)
{
    updateBaseline();
    std::vector<Candidate> list = candidates(query, true);
    // If all replicas look unhealthy, an unhealthy one is better than none.
    if (list.empty())
        list = candidates(query, false);
    if (list.empty())
        return {};
    double total = 0;
    for (const Candidate &it : list)
        total += it.load;
    const std::size_t n = list.size();
    if (!m_options.isEngine || !m_options.mechanisms.promptPlacement || query.prompt.empty())
        return makeChoice(*chooseByLoad(list), {}, total, n);
    return makeChoice(*chooseByPrompt(list, query.prompt), query.prompt, total, n);
}

ReplicaPool::Choice ReplicaPool::makeChoice(const State &it, std::span<const PromptPart> prompt,
                                            double total, std::size_t n) const
{
    return {.replica = &it.record,
            .copyFrom = prompt.empty() ? nullptr : copySource(it, prompt),
            .load = it.ownInProgress + it.peersInProgress,
            .meanLoad = total / static_cast<double>(n),
            .candidates = static_cast<int>(n),
            .cachedPromptTokens = m_prompts.cachedTokens(it.hash, prompt)};
}

std::vector<ReplicaPool::Candidate> ReplicaPool::candidates(const Query &query, bool checkHealth)
{
    const TimePoint now = m_options.clock.now();
    const bool usePeerEjections = mayUsePeerEjections();
    std::vector<Candidate> out;
    out.reserve(m_states.size());
    for (State &it : m_states) {
        if (!isEligible(it, query, now))
            continue;
        if (checkHealth && !isHealthy(it, query, usePeerEjections))
            continue;
        out.push_back({&it, static_cast<double>(it.ownInProgress + it.peersInProgress)});
        setExpectedTime(out.back(), now);
    }
    return out;
}

double ReplicaPool::loadReportWeight(const State &it, TimePoint now) const
{
    if (it.loadReportedAt == TimePoint::min())
        return 0;
    return std::max(0.0, 1 - toSeconds(now - it.loadReportedAt) / toSeconds(LoadReportLifetime));
}

void ReplicaPool::setExpectedTime(Candidate &it, TimePoint now) const
{
    it.expectedLoad = it.load;
    if (!m_options.mechanisms.expectedTimePlacement)
        return;
    it.pace = it.state->speed.pace(now);
    it.slowness = it.state->speed.factor(now);
    const double reported = std::max(it.state->reportedLoad, it.state->ownInProgress);
    it.expectedLoad += loadReportWeight(*it.state, now) * (reported - it.load);
}

bool ReplicaPool::isEligible(State &it, const Query &query, TimePoint now) const
{
    return !it.record.draining && now >= excludedUntil(it)
            && isSelectable(query, it.record, it.incarnation) && !isEvacuated(it)
            && isRegionAllowed(it, query) && !isColdRateLimited(it, now)
            && (!m_options.rejections
                || m_options.rejections->admits(it.incarnation, it.ownInProgress));
}

void ReplicaPool::setEvacuated(std::set<std::string> domains)
{
    const TimePoint until = m_options.clock.now() + MaxEntryDelay;
    for (State &it : m_states) {
        if (isEvacuated(it) && !domains.contains(it.record.failureDomain))
            it.assumedColdUntil = std::max(it.assumedColdUntil, until);
    }
    m_evacuated = std::move(domains);
}

void ReplicaPool::noteUnreachable(std::string_view id, Duration pause)
{
    State *it = find(id);
    if (!it)
        return;
    const TimePoint now = m_options.clock.now();
    it->unreachableUntil = std::max(it->unreachableUntil, now + pause);
    it->coldAfterReturnUntil = std::max(it->coldAfterReturnUntil, now + UnreachableColdTime);
}

void ReplicaPool::forgetFailures(std::string_view id)
{
    State *it = find(id);
    if (!it)
        return;
    it->unreachableUntil = {};
    it->coldAfterReturnUntil = {};
    m_health.removed(it->health);
    it->health = {};
}

TimePoint ReplicaPool::excludedUntil(const State &it) const
{
    return m_relaying ? it.excludedUntil : std::max(it.excludedUntil, it.unreachableUntil);
}

TimePoint ReplicaPool::coldUntil(const State &it) const
{
    const TimePoint known = std::max(it.record.coldUntil, it.assumedColdUntil);
    return m_relaying ? known : std::max(known, it.coldAfterReturnUntil);
}

bool ReplicaPool::isEvacuated(const State &it) const
{
    return !m_evacuated.empty() && m_evacuated.contains(it.record.failureDomain);
}

bool ReplicaPool::isRegionAllowed(const State &it, const Query &query) const
{
    if (query.regions.empty() && query.workspaceRegions.empty())
        return true;
    const std::string region = m_options.regionOf(it.record.failureDomain);
    return (query.regions.empty() || contains(query.regions, region))
            && (query.workspaceRegions.empty() || contains(query.workspaceRegions, region));
}

bool ReplicaPool::isColdRateLimited(State &it, TimePoint now) const
{
    if (m_coldRateLimit <= 0 || now >= coldUntil(it))
        return false;
    const ColdRateLimit limit = ColdRateLimit::fromFleetLimit(m_coldRateLimit, m_options.routers());
    if (it.senderCheckedAt == TimePoint::min() || now - it.senderCheckedAt >= ColdSenderLifetime) {
        it.senderCheckedAt = now;
        it.isColdSender = m_options.isColdSender(it.incarnation, limit.senders);
    }
    return !it.isColdSender
            || (it.lastSentAt != TimePoint::min() && now - it.lastSentAt < limit.minInterval);
}

bool ReplicaPool::isHealthy(State &it, const Query &query, bool usePeerEjections)
{
    const TimePoint now = m_options.clock.now();
    if (!m_health.admits(it.health, now) || (usePeerEjections && isEjectedByPeers(it)))
        return false;
    const bool probe = it.health.state == HealthTracker::State::HalfOpen;
    return !probe || query.mayProbe || now - it.health.ejectedUntil > ProbeGrace;
}

bool ReplicaPool::isEjectedByPeers(const State &it) const
{
    return m_options.mechanisms.announcedEjections && it.ejectedByPeers >= MinPeerEjections
            && it.health.state == HealthTracker::State::Healthy
            && m_options.clock.now() - it.lastSuccessAt > OwnSuccessLifetime;
}

bool ReplicaPool::mayUsePeerEjections() const
{
    const auto avoided = std::count_if(m_states.begin(), m_states.end(),
                                       [this](const State &it) { return isEjectedByPeers(it); });
    const double share = m_health.maxEjectedShare();
    return static_cast<double>(avoided + m_health.ejectedCount())
            <= share * static_cast<double>(m_states.size());
}

ReplicaPool::State *ReplicaPool::chooseByPrompt(std::vector<Candidate> &list,
                                                std::span<const PromptPart> prompt) const
{
    double tokens = 0;
    for (const PromptPart &it : prompt)
        tokens += it.tokens;
    double total = 0;
    for (const Candidate &it : list)
        total += it.load;
    const double mean = total / static_cast<double>(list.size());
    std::erase_if(list, [=](const Candidate &it) {
        return it.load + 1 > mean * MaxLoadRatio + LoadSlack;
    });
    if (m_options.mechanisms.expectedTimePlacement)
        removeFull(list, m_options.clock.now());
    double minCost = std::numeric_limits<double>::max();
    for (Candidate &it : list) {
        // What an engine reads also delays the requests that run on it, so the tokens count in
        // proportion to the time that they take there, as do the requests above the mean. An engine
        // that is always slower still gets its share of the load, or the others would have to carry
        // it: the longer reading counts only above that share.
        const bool aboveShare = it.slowness * (it.load + 1) > mean + 1;
        const double uncached = tokens - m_prompts.cachedTokens(it.state->hash, prompt);
        it.cost = (aboveShare ? it.slowness : it.pace) * uncached
                + TokensPerRequest * std::max(0.0, it.slowness * it.load - mean);
        minCost = std::min(minCost, it.cost);
    }
    const double maxCost = minCost + std::max(EqualCostTokens, EqualCostShare * tokens);
    std::erase_if(list, [=](const Candidate &it) { return it.cost > maxCost; });
    return chooseByRendezvous(list, prompt.back().id);
}

void ReplicaPool::removeFull(std::vector<Candidate> &list, TimePoint now) const
{
    double slots = 0;
    double taken = 0;
    for (const Candidate &it : list) {
        slots += it.state->record.slots;
        taken += std::min<double>(it.load, it.state->record.slots);
    }
    const bool manyFree = slots - taken >= MinFreeSlotShare * slots;
    const auto isFull = [=, this](const Candidate &it) {
        const int limit = it.state->record.slots;
        // Only this router has received the report, so the others do not avoid the engine as well.
        const bool reported =
                it.state->reportedLoad >= limit && loadReportWeight(*it.state, now) > 0;
        return reported || (manyFree && it.load >= limit);
    };
    if (!std::all_of(list.begin(), list.end(), isFull))
        std::erase_if(list, isFull);
}

ReplicaPool::State *ReplicaPool::chooseByRendezvous(const std::vector<Candidate> &list,
                                                    std::uint64_t key)
{
    const Candidate *first = nullptr;
    const Candidate *second = nullptr;
    double firstScore = 0;
    double secondScore = 0;
    for (const Candidate &it : list) {
        const double score = rendezvousScore(key, it.state->hash, it.state->record.slots);
        if (!first || score > firstScore) {
            second = std::exchange(first, &it);
            secondScore = std::exchange(firstScore, score);
        } else if (!second || score > secondScore) {
            second = &it;
            secondScore = score;
        }
    }
    const bool firstIsBusier = second && first->load > second->load + SecondChoiceGap;
    return firstIsBusier ? second->state : first->state;
}

const ReplicaRecord *ReplicaPool::copySource(const State &target,
                                             std::span<const PromptPart> prompt) const
{
    if (!m_options.mechanisms.promptCopies)
        return nullptr;
    const TimePoint now = m_options.clock.now();
    const ReplicaRecord *best = nullptr;
    double bestTokens = m_prompts.cachedTokens(target.hash, prompt) + MinCopiedTokens;
    for (const State &it : m_states) {
        if (&it == &target || now < excludedUntil(it))
            continue;
        const double tokens = m_prompts.cachedTokens(it.hash, prompt);
        if (tokens > bestTokens) {
            best = &it.record;
            bestTokens = tokens;
        }
    }
    return best;
}

ReplicaPool::State *ReplicaPool::chooseByLoad(const std::vector<Candidate> &list) const
{
    const bool differ = std::any_of(list.begin(), list.end(), [](const Candidate &it) {
        return it.slowness != 1 || it.expectedLoad != it.load;
    });
    State *best = nullptr;
    double bestCost = 0;
    for (const Candidate &it : list) {
        const bool isLocal = it.state->record.failureDomain == m_options.failureDomain;
        const double share = (it.expectedLoad + 1) / std::max(1, it.state->record.slots);
        // The random factor prevents all routers with the same figures from choosing the same
        // replica.
        const double cost = share * it.slowness * (isLocal ? LocalDomainFactor : 1)
                * (differ ? expectedTimeFactor() : 1 + 0.05 * uniform(m_options.random));
        if (!best || cost < bestCost) {
            best = it.state;
            bestCost = cost;
        }
    }
    return best;
}

double ReplicaPool::expectedTimeFactor() const
{
    // The smallest of several costs, each multiplied by such a number, is a given one with a
    // probability proportional to cost^-ExpectedTimeExponent.
    return std::pow(-std::log(1 - uniform(m_options.random)), 1 / ExpectedTimeExponent);
}

void ReplicaPool::updateBaseline()
{
    const TimePoint now = m_options.clock.now();
    // Prompts differ in cost by more than a slow engine does, so engines are ejected only for
    // failures.
    if (m_options.isEngine || now - m_baselineAt < BaselineInterval)
        return;
    m_baselineAt = now;
    std::vector<double> costs;
    for (const State &it : m_states) {
        if (it.health.samples > 0)
            costs.push_back(it.health.cost);
    }
    m_health.updateBaseline(std::move(costs));
}

void ReplicaPool::started(std::string_view id, std::span<const PromptPart> prompt)
{
    State *it = find(id);
    if (!it)
        return;
    ++it->ownInProgress;
    it->lastSentAt = m_options.clock.now();
    if (m_options.rejections)
        m_options.rejections->sent(it->incarnation);
    it->health.probing = it->health.state == HealthTracker::State::HalfOpen;
    for (const PromptPart &part : prompt)
        m_prompts.note(it->hash, part.id);
}

void ReplicaPool::notePrompt(std::string_view id, std::span<const std::uint64_t> parts)
{
    const State *it = find(id);
    if (!it)
        return;
    for (const std::uint64_t part : parts)
        m_prompts.note(it->hash, part);
}

PromptsByReplica ReplicaPool::prompts(std::size_t maxParts) const
{
    PromptsByReplica out;
    auto parts = m_prompts.partsByReplica(maxParts / std::max<std::size_t>(1, m_states.size()));
    for (const State &it : m_states) {
        const auto cached = parts.find(it.hash);
        if (cached != parts.end() && !cached->second.empty())
            out.emplace(it.incarnation, std::move(cached->second));
    }
    return out;
}

/// Counts the invalid answers of \a it in a row. \returns whether they show that the replica is at
/// fault. Answers that were in progress together count once: the path may have cut them all.
bool ReplicaPool::recordAnswer(State &it, const AttemptReport &report) const
{
    if (report.succeeded)
        it.invalidInRow = 0;
    if (report.succeeded || !isInvalidAnswer(report.reason))
        return false;
    const TimePoint now = m_options.clock.now();
    if (now - report.total >= it.lastInvalidAt)
        ++it.invalidInRow;
    it.lastInvalidAt = now;
    return it.invalidInRow >= MaxInvalidInRow
            || (it.ejectedByPeers > 0 && it.peersEjectedSince > it.lastSuccessAt);
}

bool ReplicaPool::finished(std::string_view id, const AttemptReport &report)
{
    State *it = find(id);
    if (!it)
        return false;
    it->ownInProgress = std::max(0, it->ownInProgress - 1);
    if (!report.succeeded && (report.reason == Reason::CallerGone || report.ignoredForHealth)) {
        it->health.probing = false;
        return false;
    }
    const TimePoint now = m_options.clock.now();
    if (report.succeeded) {
        it->lastSuccessAt = now;
        // The time of a call that waited for a slot depends on the load of the replica.
        if (!m_options.isEngine && !(it->reportedWaiting > 0 && loadReportWeight(*it, now) > 0))
            it->speed.observe(m_usualTime.observe(report.total), now);
    }
    bool changed = m_health.record(it->health, 1, report, m_states.size(), now);
    // With 140 engines a router sends each of them only one request in twelve seconds, so waiting
    // for a third timeout would take too long.
    const bool timedOut = !report.succeeded && report.reason == Reason::UpstreamTimeout;
    if (m_options.isEngine && timedOut)
        changed = m_health.ejectImmediately(it->health, m_states.size(), now) || changed;
    if (recordAnswer(*it, report))
        changed = m_health.ejectFaulty(it->health, m_states.size(), now) || changed;
    if (!changed)
        return false;
    const bool ejected = it->health.state == HealthTracker::State::Ejected;
    Log::info(ejected ? "replica_ejected" : "replica_recovered",
              {{"replica", it->record.id},
               {"service", it->record.service},
               {"failures_in_row", it->health.failuresInRow},
               {"error_rate", it->health.errorRate},
               {"cost_ratio", m_health.costRatio(it->health)},
               {"ejected_by_others", it->ejectedByPeers},
               {"for_ms", ejected ? (it->health.ejectedUntil - now) / 1ms : 0}});
    return ejected;
}

void ReplicaPool::loadReported(std::string_view id, const ReplicaLoad &load)
{
    State *it = find(id);
    if (!it)
        return;
    const TimePoint now = m_options.clock.now();
    it->speed.paceReported(load.pace, now);
    it->reportedLoad = std::clamp(load.running, 0, MaxReportedRequests)
            + std::clamp(load.waiting, 0, MaxReportedRequests);
    it->reportedWaiting = load.waiting;
    it->loadReportedAt = now;
}

void ReplicaPool::eventTimeObserved(std::string_view id, Duration perEvent)
{
    State *it = find(id);
    if (!it || !m_options.isEngine || perEvent <= Duration::zero())
        return;
    it->speed.observe(m_usualTime.observe(perEvent), m_options.clock.now());
}

void ReplicaPool::excludeFor(std::string_view id, Duration duration)
{
    if (State *it = find(id))
        it->excludedUntil = std::max(it->excludedUntil, m_options.clock.now() + duration);
}

Duration ReplicaPool::timeUntilAvailable() const
{
    const TimePoint now = m_options.clock.now();
    std::optional<Duration> out;
    for (const State &it : m_states) {
        if (!it.record.draining && !isEvacuated(it))
            out = std::min(out.value_or(Duration::max()), excludedUntil(it) - now);
    }
    return std::max(Duration::zero(), out.value_or(Duration::zero()));
}

ReplicaStatusUpdate ReplicaPool::ownStatusUpdate() const
{
    const TimePoint now = m_options.clock.now();
    ReplicaStatusUpdate out;
    for (const State &it : m_states) {
        if (it.ownInProgress > 0)
            out.counts.emplace(it.incarnation, it.ownInProgress);
        if (it.health.state == HealthTracker::State::Ejected && now < it.health.ejectedUntil
            && out.ejected.size() < MaxAnnouncedEjections)
            out.ejected.push_back(it.incarnation);
    }
    return out;
}

int ReplicaPool::inProgress(std::string_view id) const
{
    const State *it = find(id);
    return it ? it->ownInProgress + it->peersInProgress : 0;
}

bool ReplicaPool::isServing(std::string_view id) const
{
    const State *it = find(id);
    return it && !it->record.draining;
}

std::vector<std::string> ReplicaPool::software() const
{
    std::set<std::string> out;
    for (const State &it : m_states)
        out.insert(it.record.software());
    return {out.begin(), out.end()};
}

std::size_t ReplicaPool::usableCount() const
{
    const TimePoint now = m_options.clock.now();
    return static_cast<std::size_t>(
            std::count_if(m_states.begin(), m_states.end(), [this, now](const State &it) {
                return !it.record.draining && now >= excludedUntil(it) && !isEvacuated(it);
            }));
}

std::size_t ReplicaPool::heldBackCount() const
{
    const TimePoint now = m_options.clock.now();
    return static_cast<std::size_t>(
            std::count_if(m_states.begin(), m_states.end(), [this, now](const State &it) {
                return m_options.rejections && !it.record.draining && now >= excludedUntil(it)
                        && !isEvacuated(it)
                        && !m_options.rejections->admits(it.incarnation, it.ownInProgress);
            }));
}

ReplicaPool::State *ReplicaPool::find(std::string_view id)
{
    const auto it = m_index.find(id);
    return it == m_index.end() ? nullptr : &m_states[it->second];
}

const ReplicaPool::State *ReplicaPool::find(std::string_view id) const
{
    return const_cast<ReplicaPool *>(this)->find(id);
}

} // namespace catkinloft
