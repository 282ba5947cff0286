#include "Decide/Placement.h"

#include "Base/Hash.h"
#include "Decide/OwnerGroups.h"

#include <algorithm>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// Places of a chat's own order that are tried. With 1.25 as the bound about one engine in five is
/// full under an even load, so eight places fail once in 400,000 placements.
constexpr unsigned MaxProbes = 8;

/// Upstreams looked at when the chat's own order is full. It bounds a placement to some
/// microseconds; where 256 in a row are full, the pool is saturated and the job waits.
constexpr std::size_t MaxScan = 256;

/// Samples for a job without a chat: two choices avoid the herd that "least loaded" makes of
/// lagging reports.
constexpr int RandomChoices = 2;

/// A report that was not renewed for so long comes from a router that is gone.
constexpr Duration ReportLifetime = 10s;

constexpr Duration BaselinePeriod = 1s;

/// Room over the mean that is left to the pool while engines start slowly.
constexpr double RampHeadroom = 1.05;

} // namespace

Placement::Placement(Options options) : m_options(std::move(options)) { }

void Placement::setUpstreams(std::vector<Upstream> upstreams, const Rules &rules,
                             std::uint64_t pool)
{
    m_now = m_options.clock.now();
    m_rules = rules;
    m_health.setMaxEjectedShare(rules.maxEjectedShare);
    std::vector<State> before = std::move(m_states);
    const auto byId = std::move(m_byId);
    m_states.clear();
    m_byId.clear();
    std::vector<ChatOrder::Node> nodes;
    for (Upstream &it : upstreams) {
        const std::uint64_t id = hash64(it.name);
        const auto old = byId.find(id);
        State state = old == byId.end() ? State() : std::move(before[old->second]);
        const bool returned = state.upstream.leaving && !it.leaving;
        state.id = id;
        state.limit.setMaximum(it.slots);
        if (!m_isInitial && (old == byId.end() || returned)) {
            joined(state, it.name);
        }
        state.upstream = std::move(it);
        nodes.push_back({.id = id, .weight = state.upstream.weight});
        m_byId[id] = m_states.size();
        m_states.push_back(std::move(state));
    }
    for (const auto &[id, i] : byId) {
        if (!m_byId.contains(id))
            m_health.removed(before[i].health);
    }
    // Those leaving stay in the order: when one comes back, its chats find it in the same place.
    m_order.assign(nodes);
    buildGroups(pool);
    m_isInitial = m_isInitial && m_states.empty();
    recount();
}

void Placement::joined(State &it, const std::string &name)
{
    // An engine that left the inventory and came back within minutes flaps; its record outlives it.
    std::erase_if(m_setbacks, [&](const auto &old) {
        return m_now - old.second.at > HealthTracker::SetbackLifetime;
    });
    if (const auto known = m_setbacks.find(name); known != m_setbacks.end()) {
        it.health.setbacks = std::max(it.health.setbacks, known->second.count);
        it.health.setbackAt = known->second.at;
    }
    m_health.joined(it.health, m_now);
    m_setbacks[name] = {.count = it.health.setbacks, .at = m_now};
}

void Placement::addReports(std::span<const LoadReport> reports)
{
    m_now = m_options.clock.now();
    for (const LoadReport &report : reports) {
        const auto found = m_byId.find(hash64(report.upstream));
        if (found == m_byId.end())
            continue;
        State &it = m_states[found->second];
        const std::uint64_t router = hash64(report.router);
        auto peerLoads = std::find_if(it.peerLoads.begin(), it.peerLoads.end(),
                                      [&](const PeerLoad &h) { return h.router == router; });
        if (peerLoads == it.peerLoads.end())
            peerLoads =
                    it.peerLoads.insert(it.peerLoads.end(), PeerLoad{.router = router, .at = {}});
        else if (peerLoads->at >= report.measuredAt)
            continue;
        addToTotals(it, -1);
        peerLoads->work = report.work;
        peerLoads->inFlight = report.inFlight;
        peerLoads->at = report.measuredAt;
        sumPeerLoads(it);
        addToTotals(it, 1);
    }
}

void Placement::refresh()
{
    m_now = m_options.clock.now();
    for (State &it : m_states) {
        std::erase_if(it.peerLoads,
                      [&](const PeerLoad &h) { return m_now - h.at > ReportLifetime; });
        sumPeerLoads(it);
    }
    recount();
}

void Placement::sumPeerLoads(State &it)
{
    it.peerWork = 0;
    it.peerInFlight = 0;
    for (const PeerLoad &h : it.peerLoads) {
        it.peerWork += h.work;
        it.peerInFlight += h.inFlight;
    }
}

bool Placement::isUsable(const State &it) const
{
    return !it.upstream.leaving && it.health.state == HealthTracker::State::Healthy;
}

double Placement::knownWork(const State &it)
{
    // What this router relayed is not in it: the owner counts it exactly, and counting it here
    // until the owner's next report had routers pass over engines that had room.
    return it.work + it.peerWork;
}

int Placement::knownInFlight(const State &it)
{
    return it.inFlight + it.peerInFlight;
}

void Placement::recount()
{
    m_totalWork = 0;
    m_totalWeight = 0;
    m_rampedWeight = 0;
    for (State &it : m_states) {
        it.countsInMean = isUsable(it);
        it.ramp = HealthTracker::ramp(it.health, m_now);
        addToTotals(it, 1);
    }
}

void Placement::addToTotals(State &it, double sign)
{
    if (!it.countsInMean)
        return;
    m_totalWork += sign * knownWork(it);
    m_totalWeight += sign * it.upstream.weight;
    m_rampedWeight += sign * it.upstream.weight * it.ramp;
}

double Placement::meanLoad() const
{
    return m_totalWeight <= 0 ? 0 : std::max(0.0, m_totalWork) / m_totalWeight;
}

double Placement::loadOf(std::size_t i) const
{
    return knownWork(m_states[i]);
}

double Placement::boundOf(std::size_t i, double work) const
{
    const State &it = m_states[i];
    if (m_totalWeight <= 0)
        return m_rules.loadBound * work;
    // Where many start slowly at once, the others together must still have room for all the work.
    const double weight =
            std::min(m_totalWeight, m_rules.loadBound * m_rampedWeight / RampHeadroom);
    // The job counts into the mean that it is measured by, so an idle pool has room for it.
    const double mean = (std::max(0.0, m_totalWork) + work) / weight;
    return m_rules.loadBound * mean * it.upstream.weight * it.ramp;
}

bool Placement::isExcluded(const State &it, const Job &job)
{
    return std::find(job.excluded.begin(), job.excluded.end(), it.upstream.name)
            != job.excluded.end();
}

bool Placement::fits(std::size_t i, const Job &job)
{
    State &it = m_states[i];
    if (it.upstream.leaving)
        return false;
    // Another router counts it exactly and will be asked; to judge it here by what was reported
    // a second ago would lose the chat's context for nothing.
    if (!it.owned && job.chatKey != 0 && job.hops == 0)
        return isUsable(it) && !isExcluded(it, job);
    if (!it.limit.allows(knownInFlight(it)))
        return false;
    if (it.health.state != HealthTracker::State::Healthy && !m_health.admits(it.health, m_now))
        return false;
    // Load may reach the bound plus this one job: a rule that counted the job in would leave an
    // engine idle whenever one job is larger than the bound.
    return knownWork(it) < boundOf(i, job.work) && (job.excluded.empty() || !isExcluded(it, job));
}

std::size_t Placement::choose(const Job &job, std::size_t hint)
{
    if (m_states.empty())
        return None;
    m_now = m_options.clock.now();
    if (job.chatKey == 0)
        return chooseByLoad(job);
    const std::size_t first = m_order.at(job.chatKey);
    if (fits(first, job))
        return first;
    if (const std::size_t near = m_states[first].owned ? chooseInGroup(job, first) : None;
        near != None)
        return near;
    for (unsigned probe = 1; probe < MaxProbes; ++probe) {
        const std::size_t i = m_order.at(job.chatKey, probe);
        if (fits(i, job))
            return i;
    }
    if (hint != None && fits(hint, job))
        return hint;
    return scan(job, job.chatKey % m_states.size());
}

/// What is over the bound stays with the engines whose count this router keeps, in the chat's own
/// order among them: exact again, without another hop.
std::size_t Placement::chooseInGroup(const Job &job, std::size_t first)
{
    std::size_t best = None;
    std::uint64_t bestDraw = 0;
    for (const std::size_t i : m_groups[m_states[first].group]) {
        const std::uint64_t draw = hashCombine(job.chatKey, m_states[i].id);
        if ((best == None || draw > bestDraw) && i != first && fits(i, job)) {
            best = i;
            bestDraw = draw;
        }
    }
    return best;
}

void Placement::buildGroups(std::uint64_t pool)
{
    const OwnerGroups groups(pool, m_states.size(), m_options.ownerGroup);
    m_groups.clear();
    for (std::size_t i = 0; i < m_states.size(); ++i) {
        State &it = m_states[i];
        it.group = groups.of(it.id);
        m_groups[it.group].push_back(i);
    }
}

std::size_t Placement::chooseByLoad(const Job &job)
{
    const auto better = [&](std::size_t a, std::size_t b) {
        const double loadA = knownWork(m_states[a]) / m_states[a].upstream.weight;
        const double loadB = knownWork(m_states[b]) / m_states[b].upstream.weight;
        if (loadA != loadB)
            return loadA < loadB;
        // Equal loads: the near one saves half a millisecond and survives the loss of another
        // failure domain.
        const auto &own = m_options.failureDomain;
        return m_states[a].upstream.failureDomain == own
                && m_states[b].upstream.failureDomain != own;
    };
    std::size_t best = None;
    for (int i = 0; i < RandomChoices; ++i) {
        const std::size_t it = below(m_options.random, m_states.size());
        if (fits(it, job) && (best == None || better(it, best)))
            best = it;
    }
    return best != None ? best : scan(job, below(m_options.random, m_states.size()));
}

std::size_t Placement::scan(const Job &job, std::size_t first)
{
    const std::size_t n = m_states.size();
    for (std::size_t i = 0; i < std::min(n, MaxScan); ++i) {
        const std::size_t it = (first + i) % n;
        if (fits(it, job))
            return it;
    }
    return None;
}

std::size_t Placement::firstUsable(const Job &job)
{
    for (unsigned probe = 0; probe < MaxProbes && !m_states.empty(); ++probe) {
        const std::size_t i = m_order.at(job.chatKey, probe);
        if (isUsable(m_states[i]) && !isExcluded(m_states[i], job))
            return i;
    }
    return None;
}

bool Placement::hasCandidate(const Job &job)
{
    return std::any_of(m_states.begin(), m_states.end(), [&](const State &it) {
        return !it.upstream.leaving && !isExcluded(it, job);
    });
}

Placement::Running Placement::start(std::size_t i, const Job &job, bool relayed)
{
    State &it = m_states[i];
    if (!relayed) {
        addToTotals(it, -1);
        it.work += job.work;
        ++it.inFlight;
        it.health.probing = it.health.state == HealthTracker::State::HalfOpen;
        addToTotals(it, 1);
    }
    return {.upstream = it.id, .work = job.work, .relayed = relayed};
}

std::size_t Placement::stop(const Running &running, const AttemptReport &report)
{
    const auto found = m_byId.find(running.upstream);
    if (found == m_byId.end())
        return None;
    if (running.relayed)
        return None;
    m_now = m_options.clock.now();
    State &it = m_states[found->second];
    addToTotals(it, -1);
    it.work = --it.inFlight == 0 ? 0 : it.work - running.work;
    it.limit.record(report);
    m_health.record(it.health, running.work, report, m_states.size(), m_now);
    it.lastBusy = m_now;
    it.countsInMean = isUsable(it);
    it.ramp = HealthTracker::ramp(it.health, m_now);
    addToTotals(it, 1);
    if (m_now - m_baselineAt >= BaselinePeriod) {
        m_baselineAt = m_now;
        std::vector<double> costs;
        for (const State &other : m_states) {
            if (other.health.cost > 0)
                costs.push_back(other.health.cost);
        }
        m_health.updateBaseline(std::move(costs));
    }
    return found->second;
}

std::vector<LoadReport> Placement::ownLoad(const std::string &self) const
{
    const TimePoint now = m_options.clock.now();
    std::vector<LoadReport> out;
    for (const State &it : m_states) {
        // One that became idle is still told for a while, so that a lost message leaves no ghost.
        if (it.inFlight == 0 && now - it.lastBusy > ReportLifetime)
            continue;
        out.push_back({.upstream = it.upstream.name,
                       .router = self,
                       .work = it.work,
                       .inFlight = it.inFlight,
                       .measuredAt = now});
    }
    return out;
}

} // namespace catkinloft
