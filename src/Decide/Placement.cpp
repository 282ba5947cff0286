#include "Decide/Placement.h"

#include "Base/Hash.h"
#include "Decide/OwnerGroups.h"

#include <algorithm>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// Maximum number of positions of a chat's order that are tried. With a load bound of 1.25, about
/// one engine in five is full under an even load, so that all eight are full once in 400,000
/// placements.
constexpr unsigned MaxProbes = 8;

/// Maximum number of upstreams that are tried when those of the chat's order are full. It limits a
/// placement to a few microseconds. If 256 consecutive upstreams are full, the pool is saturated
/// and the job waits.
constexpr std::size_t MaxScan = 256;

/// Random samples for a job without a chat. With the power of two choices, routers with outdated
/// reports do not all choose the same least loaded upstream.
constexpr int RandomChoices = 2;

/// A report that was not renewed within this time is removed, because its router is gone.
constexpr Duration ReportLifetime = 10s;

constexpr Duration BaselinePeriod = 1s;

/// Minimum ratio of the sum of all load bounds to the work of the pool, also while upstreams are in
/// slow start.
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
    // Leaving upstreams stay in the order, so that their chats use them again if they return.
    m_order.assign(nodes);
    buildGroups(pool);
    m_isInitial = m_isInitial && m_states.empty();
    recount();
}

void Placement::joined(State &it, const std::string &name)
{
    // An upstream that leaves the inventory and returns within minutes is flapping, so its setbacks
    // are kept after its removal.
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
        auto stored = std::find_if(it.peerLoads.begin(), it.peerLoads.end(),
                                   [&](const PeerLoad &h) { return h.router == router; });
        if (stored == it.peerLoads.end())
            stored = it.peerLoads.insert(it.peerLoads.end(), PeerLoad{.router = router, .at = {}});
        else if (stored->at >= report.measuredAt)
            continue;
        addToTotals(it, -1);
        stored->work = report.work;
        stored->inFlight = report.inFlight;
        stored->at = report.measuredAt;
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
    // Jobs that this router relayed are not included. The owner counts them exactly. If they were
    // included here until the owner's next report, routers would skip engines that have capacity.
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
    // While many upstreams are in slow start, the others must have capacity for all of the work.
    const double weight =
            std::min(m_totalWeight, m_rules.loadBound * m_rampedWeight / RampHeadroom);
    // The mean includes the job, so that an idle pool has capacity for it.
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
    // The job will be relayed to the owner, which has the exact count. A decision based on a report
    // that can be a second old could needlessly lose the chat's cached context.
    if (!it.owned && job.chatKey != 0 && job.hops == 0)
        return isUsable(it) && !isExcluded(it, job);
    if (!it.limit.allows(knownInFlight(it)))
        return false;
    if (it.health.state != HealthTracker::State::Healthy && !m_health.admits(it.health, m_now))
        return false;
    // The load may exceed the bound by this one job. If the job were included, an idle engine would
    // accept no job that is larger than the bound.
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

/// Jobs over the bound of their first engine go to the other engines of the same owner, in an order
/// given by the chat's key. Their load is exact too, and no other hop is needed.
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
        // With equal loads, an upstream in the router's failure domain is preferred: it has half a
        // millisecond less latency and is not affected by the loss of another failure domain.
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
        // An idle upstream is still reported for ReportLifetime, so that after a lost message no
        // router keeps counting the former load.
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
