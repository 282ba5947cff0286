#include "Decide/ReplicaPool.h"

#include "Base/Hash.h"
#include "Base/Log.h"
#include "Decide/ColdRateLimit.h"
#include "Decide/Rendezvous.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <optional>
#include <set>
#include <utility>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// A replica with more than this multiple of the mean, and LoadSlack, gets no prompt for what it
/// keeps of it. Twice the mean and three is the most that the users allow; the rest is left for
/// counts that are not known yet.
constexpr double MaxLoadRatio = 1.7;

/// Requests above the ratio that are always allowed: with a mean of one, a ratio alone would move
/// every second prompt.
constexpr double LoadSlack = 1.5;

/// What one request above the mean costs those that run beside it, in tokens to be read: it makes
/// their steps 2% longer, about 2 ms for each in the time of reading 150 tokens.
constexpr double TokensPerRequest = 150;

/// Costs that differ by less are equal, and the rendezvous order decides: this part of the prompt,
/// and at least so many tokens.
constexpr double EqualCostShare = 0.1;
constexpr double EqualCostTokens = 100;

/// A prompt that is kept nowhere, or by several, goes to the second of its order where the first
/// has this many more requests. Two choices spread 25 long chats over nine engines so that fewer
/// have to be copied later; a smaller gap would make routers disagree on counts that are 250 ms
/// old.
constexpr double SecondChoiceGap = 2;

/// A copy of fewer tokens costs more in its own exchange than reading them.
constexpr double MinCopiedTokens = 64;

/// Counts of a router that was not heard for so long say nothing about now; twice the slowest
/// pause between two of its messages.
constexpr Duration UpdateLifetime = 3s;

/// How often routers that fell silent are looked for.
constexpr Duration ExpiryCheckInterval = 500ms;

/// Other routers that have to have ejected a replica before it gets nothing here. One may be cut
/// off from it alone, and where one call in seven fails by itself a router ejects a sound replica
/// every fifty seconds; three at once are a fault of the replica.
constexpr int MinPeerEjections = 3;

/// A good answer in so short a time goes before what the others say.
constexpr Duration OwnSuccessLifetime = 2s;

/// How long an ejected replica waits for a call that may be repeated to try it. Where there is none
/// by then, one that may not be is sent: the loss of one call, instead of a replica for good.
constexpr Duration ProbeGrace = 5s;

/// Ejected replicas that one beat tells of, 15 bytes each. Of 28 silent engines a router ejects
/// some six itself before it hears of the others.
constexpr std::size_t MaxAnnouncedEjections = 16;

/// How often the usual cost of a call is worked out anew.
constexpr Duration BaselineInterval = 1s;

/// A call stays in its failure domain unless another domain's replica has this much less in
/// progress: leaving costs a millisecond, waiting behind another request costs its service time.
constexpr double LocalDomainFactor = 0.9;

/// How long an entry may be behind its replica: a heartbeat, a read of the store, and the telling.
constexpr Duration MaxEntryDelay = 3s;

/// How long a replica that was away counts as cold if it answers again: it is left out for some of
/// that time, and its entry is behind for the rest.
constexpr Duration UnreachableColdTime = 6s;

/// How long it is kept whether this router may send to a cold replica: it takes a look at all
/// routers.
constexpr Duration ColdSenderLifetime = 500ms;

bool contains(std::span<const std::string> ids, const std::string &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool isSelectable(const ReplicaPool::Query &query, const std::string &incarnation)
{
    return !contains(query.excluded, incarnation)
            && (query.only.empty() || contains(query.only, incarnation));
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
            const auto pause = m_exclusions.find(incarnation);
            next.push_back(
                    {.record = it,
                     .incarnation = std::move(incarnation),
                     .hash = hash,
                     .excludedUntil = pause == m_exclusions.end() ? TimePoint() : pause->second});
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
}

void ReplicaPool::rebuildIndex()
{
    m_index.clear();
    for (std::size_t i = 0; i < m_states.size(); ++i) {
        m_index.emplace(m_states[i].incarnation, i);
        m_states[i].others = 0;
        m_states[i].ejectedByPeers = 0;
    }
    for (const auto &[router, heard] : m_receivedUpdates)
        add(heard.news, 1);
}

void ReplicaPool::applyStatusUpdate(const std::string &router, ReplicaStatusUpdate news,
                                    TimePoint heard)
{
    removeExpiredUpdates();
    ReceivedUpdate &known = m_receivedUpdates[router];
    add(known.news, -1);
    known = {std::move(news), heard};
    add(known.news, 1);
}

void ReplicaPool::removeExpiredUpdates()
{
    const TimePoint now = m_options.clock.now();
    if (now - m_expiryCheckedAt < ExpiryCheckInterval)
        return;
    m_expiryCheckedAt = now;
    for (auto it = m_receivedUpdates.begin(); it != m_receivedUpdates.end();) {
        const bool silent = now - it->second.at > UpdateLifetime;
        if (silent)
            add(it->second.news, -1);
        it = silent ? m_receivedUpdates.erase(it) : std::next(it);
    }
}

void ReplicaPool::add(const ReplicaStatusUpdate &news, int sign)
{
    for (const auto &[id, n] : news.counts) {
        if (State *it = find(id))
            it->others += sign * n;
    }
    for (const std::string &id : news.ejected) {
        if (State *it = find(id))
            it->ejectedByPeers += sign;
    }
}

ReplicaPool::Choice ReplicaPool::choose(const Query &query)
{
    updateBaseline();
    std::vector<Candidate> list = candidates(query, true);
    // Where all look bad, one that looks bad is better than none.
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
            .load = it.own + it.others,
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
        out.push_back({&it, static_cast<double>(it.own + it.others), 0});
    }
    return out;
}

bool ReplicaPool::isEligible(State &it, const Query &query, TimePoint now) const
{
    return !it.record.draining && now >= it.excludedUntil && isSelectable(query, it.incarnation)
            && !isEvacuated(it) && isRegionAllowed(it, query) && !isColdRateLimited(it, now);
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

void ReplicaPool::noteUnreachable(std::string_view id)
{
    if (State *it = find(id))
        it->assumedColdUntil =
                std::max(it->assumedColdUntil, m_options.clock.now() + UnreachableColdTime);
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
    if (m_coldRateLimit <= 0 || now >= std::max(it.record.coldUntil, it.assumedColdUntil))
        return false;
    const ColdRateLimit pace = ColdRateLimit::fromFleetLimit(m_coldRateLimit, m_options.routers());
    if (it.senderCheckedAt == TimePoint::min() || now - it.senderCheckedAt >= ColdSenderLifetime) {
        it.senderCheckedAt = now;
        it.isColdSender = m_options.isColdSender(it.incarnation, pace.senders);
    }
    return !it.isColdSender
            || (it.lastSentAt != TimePoint::min() && now - it.lastSentAt < pace.minInterval);
}

bool ReplicaPool::isHealthy(State &it, const Query &query, bool usePeerEjections)
{
    const TimePoint now = m_options.clock.now();
    if (!m_health.admits(it.health, now) || (usePeerEjections && isEjectedByPeers(it)))
        return false;
    const bool probe = it.health.state == HealthTracker::State::HalfOpen;
    return !probe || query.retryable || now - it.health.ejectedUntil > ProbeGrace;
}

bool ReplicaPool::isEjectedByPeers(const State &it) const
{
    return m_options.mechanisms.toldEjections && it.ejectedByPeers >= MinPeerEjections
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
    double least = std::numeric_limits<double>::max();
    for (Candidate &it : list) {
        it.cost = tokens - m_prompts.cachedTokens(it.state->hash, prompt)
                + TokensPerRequest * std::max(0.0, it.load - mean);
        least = std::min(least, it.cost);
    }
    const double equal = least + std::max(EqualCostTokens, EqualCostShare * tokens);
    std::erase_if(list, [=](const Candidate &it) { return it.cost > equal; });
    return chooseByRendezvous(list, prompt.back().id);
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
    const bool crowded = second && first->load > second->load + SecondChoiceGap;
    return crowded ? second->state : first->state;
}

const ReplicaRecord *ReplicaPool::copySource(const State &target,
                                             std::span<const PromptPart> prompt) const
{
    if (!m_options.mechanisms.promptCopies)
        return nullptr;
    const TimePoint now = m_options.clock.now();
    const ReplicaRecord *best = nullptr;
    double most = m_prompts.cachedTokens(target.hash, prompt) + MinCopiedTokens;
    for (const State &it : m_states) {
        if (&it == &target || now < it.excludedUntil)
            continue;
        const double tokens = m_prompts.cachedTokens(it.hash, prompt);
        if (tokens > most) {
            best = &it.record;
            most = tokens;
        }
    }
    return best;
}

ReplicaPool::State *ReplicaPool::chooseByLoad(const std::vector<Candidate> &list) const
{
    State *best = nullptr;
    double bestCost = 0;
    for (const Candidate &it : list) {
        const bool near = it.state->record.failureDomain == m_options.failureDomain;
        const double share = (it.load + 1) / std::max(1, it.state->record.slots);
        // Routers that all hear the same counts would otherwise all take the same replica.
        const double cost =
                share * (near ? LocalDomainFactor : 1) * (1 + 0.05 * uniform(m_options.random));
        if (!best || cost < bestCost) {
            best = it.state;
            bestCost = cost;
        }
    }
    return best;
}

void ReplicaPool::updateBaseline()
{
    const TimePoint now = m_options.clock.now();
    // Prompts differ by more than a slow engine does, so engines are judged by failures only.
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
    ++it->own;
    it->lastSentAt = m_options.clock.now();
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

PromptsByReplica ReplicaPool::prompts(std::size_t most) const
{
    PromptsByReplica out;
    auto parts = m_prompts.partsByReplica(most / std::max<std::size_t>(1, m_states.size()));
    for (const State &it : m_states) {
        const auto kept = parts.find(it.hash);
        if (kept != parts.end() && !kept->second.empty())
            out.emplace(it.incarnation, std::move(kept->second));
    }
    return out;
}

bool ReplicaPool::finished(std::string_view id, const AttemptReport &report)
{
    State *it = find(id);
    if (!it)
        return false;
    it->own = std::max(0, it->own - 1);
    if (!report.succeeded && (report.reason == Reason::CallerGone || report.ignoredForHealth)) {
        it->health.probing = false;
        return false;
    }
    const TimePoint now = m_options.clock.now();
    if (report.succeeded)
        it->lastSuccessAt = now;
    bool changed = m_health.record(it->health, 1, report, m_states.size(), now);
    // A router sends each of 140 engines a request in twelve seconds; it can't wait for a third
    // one.
    const bool silent = !report.succeeded && report.reason == Reason::UpstreamTimeout;
    if (m_options.isEngine && silent)
        changed = m_health.ejectImmediately(it->health, m_states.size(), now) || changed;
    if (!changed)
        return false;
    const bool ejected = it->health.state == HealthTracker::State::Ejected;
    Log::info(ejected ? "replica_ejected" : "replica_recovered",
              {{"replica", it->record.id},
               {"service", it->record.service},
               {"failures_in_row", it->health.failuresInRow},
               {"error_rate", it->health.errorRate},
               {"ejected_by_others", it->ejectedByPeers},
               {"for_ms", ejected ? (it->health.ejectedUntil - now) / 1ms : 0}});
    return ejected;
}

void ReplicaPool::excludeFor(std::string_view id, Duration pause)
{
    if (State *it = find(id))
        it->excludedUntil = std::max(it->excludedUntil, m_options.clock.now() + pause);
}

Duration ReplicaPool::timeUntilAvailable() const
{
    const TimePoint now = m_options.clock.now();
    std::optional<Duration> out;
    for (const State &it : m_states) {
        if (!it.record.draining && !isEvacuated(it))
            out = std::min(out.value_or(Duration::max()), it.excludedUntil - now);
    }
    return std::max(Duration::zero(), out.value_or(Duration::zero()));
}

ReplicaStatusUpdate ReplicaPool::ownStatusUpdate() const
{
    const TimePoint now = m_options.clock.now();
    ReplicaStatusUpdate out;
    for (const State &it : m_states) {
        if (it.own > 0)
            out.counts.emplace(it.incarnation, it.own);
        if (it.health.state == HealthTracker::State::Ejected && now < it.health.ejectedUntil
            && out.ejected.size() < MaxAnnouncedEjections)
            out.ejected.push_back(it.incarnation);
    }
    return out;
}

int ReplicaPool::inProgress(std::string_view id) const
{
    const State *it = find(id);
    return it ? it->own + it->others : 0;
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
                return !it.record.draining && now >= it.excludedUntil && !isEvacuated(it);
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
