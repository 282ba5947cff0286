#include "Decide/WorkspaceShares.h"

#include <algorithm>
#include <cmath>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// Time constant of the usual rates, in seconds. Much longer than a surge that is not recognised at
/// once, and long enough for 45 requests of a workspace that sends 0.15 per second.
constexpr double UsualSeconds = 300;

/// Time without overload before rates are learned again. Admission control ends and resumes its
/// limits during one overload; the surge must not be learned in between.
constexpr Duration LearningDelay = 5s;

/// Least observation from which usual rates are derived. With so little only large workspaces can
/// exceed the margin for the uncertainty of their rates, which are those that displace the others.
constexpr double MinWindowSeconds = 5;
constexpr double MinHistory = 30;

/// Without a history workspaces are compared with a multiple of an equal part of the traffic, after
/// a time in which nearly all of them have sent a request. With a multiple of one, the usual
/// requests of large workspaces would be refused after each restart of a router.
constexpr Duration EqualPartDelay = 10s;
constexpr double EqualPartMultiple = 8;

/// The sequential tests compare the usual rate with these multiples of it: the smaller recognises
/// persistent surges of large workspaces, the greater one recognises large surges sooner.
constexpr std::array<double, 2> TestedMultiples = {2, 5};

/// Log-likelihood ratio from which a workspace is over its share. Fluctuation passes a test with a
/// probability of about exp(-10) per request. It takes at least seven requests to reach this; with
/// 12 a workspace that sends five requests per second is recognised half a second later.
constexpr double MinEvidence = 10;

/// Margin for the uncertainty of a usual rate, in standard deviations. A rate that was learned too
/// low by chance must not limit the workspace.
constexpr double UsualRateMargin = 1.5;

/// Bursts of as many requests as a workspace usually sends in this time are tolerated.
constexpr double BurstSeconds = 1;

/// Time by which the traffic of all may exceed the usual before shares grow with it. Without it the
/// random fluctuation of the others would make the shares greater.
constexpr double LeadSeconds = 0.5;

/// The bucket is filled a little faster than the share, so that a workspace that returns to its
/// usual rate is soon no longer over its share.
constexpr double RefillMargin = 1.1;
constexpr double BucketRequests = 3;
constexpr double BucketSeconds = 0.5;

/// A workspace that is over its share and sends nothing for this time is no longer over it.
constexpr Duration OverLifetime = 5s;
constexpr Duration IdleCheckInterval = 1s;

/// Period in which the active workspaces are counted.
constexpr Duration ActivePeriod = 30s;

/// Part of the names that may have come only once when a repeated one must be dropped.
constexpr std::size_t SinglePart = 8;

constexpr double MaxWeight = 1e9;

/// Updates a sequential test (CUSUM) after a request of one workspace.
/// \param part of the workspace in all requests, if it does not exceed its share.
/// \param requests of all since its last request, including this one.
void updateEvidence(std::array<double, 2> &evidence, double part, double requests)
{
    for (std::size_t i = 0; i < evidence.size(); ++i) {
        // Log-likelihood ratio of: the odds of a request to be of this workspace are a multiple.
        const double multiple = TestedMultiples[i];
        const double gain = std::log(multiple) - requests * std::log1p((multiple - 1) * part);
        evidence[i] = std::max(0.0, evidence[i] + gain);
    }
}

} // namespace

WorkspaceShares::WorkspaceShares(Options options) : m_options(options) { }

bool WorkspaceShares::count(std::string_view workspace, bool overloaded)
{
    const TimePoint now = m_options.clock.now();
    learn(now, overloaded);
    endIdle(now);

    Workspace &it = find(workspace);
    countActive(it, now);
    const double seconds = hasHistory() ? extendedSeconds(it, now) : 0;
    bool isOver = false;
    if (it.isOver)
        refill(it, seconds);
    else if (mayMark(now) && isOverByTests(it, seconds))
        setOver(it, true);
    if (it.isOver) {
        isOver = it.tokens < 1;
        if (!isOver)
            it.tokens -= 1;
    }

    ++m_total;
    if (!it.isOver)
        ++m_withinUsual;
    if (!overloaded && now - m_lastOverloadedAt >= LearningDelay) {
        it.usual += m_weight;
        m_usualTotal += m_weight;
        if (it.isOver)
            m_usualOver += m_weight;
    }
    it.lastAt = now;
    it.lastTotal = m_total;
    it.lastWithinUsual = m_withinUsual;
    return isOver;
}

std::size_t WorkspaceShares::overShare() const
{
    const TimePoint now = m_options.clock.now();
    return static_cast<std::size_t>(
            std::count_if(m_over.begin(), m_over.end(),
                          [=](const Workspace *it) { return now - it->lastAt <= OverLifetime; }));
}

/// Advances the window of the usual rates by the time since the last request, unless the service
/// was overloaded in it.
void WorkspaceShares::learn(TimePoint now, bool overloaded)
{
    if (overloaded) {
        if (m_overloadedSince == TimePoint())
            m_overloadedSince = now;
        m_lastOverloadedAt = now;
    } else if (now - m_lastOverloadedAt >= LearningDelay) {
        m_overloadedSince = {};
    }
    const TimePoint from = std::max(m_lastAt, m_lastOverloadedAt + LearningDelay);
    if (m_lastAt != TimePoint() && from < now) {
        const double passed = std::min(toSeconds(now - from) / UsualSeconds, 50.0);
        const double decay = std::exp(-passed);
        m_window = m_window * decay + UsualSeconds * (1 - decay);
        m_weight /= decay;
        if (m_weight > MaxWeight)
            rescale();
    }
    m_lastAt = now;
}

void WorkspaceShares::rescale()
{
    for (Workspaces *all : {&m_single, &m_repeated}) {
        for (Workspace &it : *all)
            it.usual /= m_weight;
    }
    m_usualTotal /= m_weight;
    m_usualOver /= m_weight;
    m_weight = 1;
}

WorkspaceShares::Workspace &WorkspaceShares::find(std::string_view name)
{
    if (const auto found = m_byName.find(name); found != m_byName.end()) {
        const Workspaces::iterator it = found->second;
        m_repeated.splice(m_repeated.begin(), it->isRepeated ? m_repeated : m_single, it);
        it->isRepeated = true;
        return *it;
    }
    if (m_byName.size() >= std::max<std::size_t>(1, m_options.maxWorkspaces))
        drop(m_repeated.empty() || m_single.size() > m_options.maxWorkspaces / SinglePart
                     ? m_single
                     : m_repeated);
    m_single.push_front({.name = std::string(name),
                         .lastAt = m_lastAt,
                         .lastTotal = m_total,
                         .lastWithinUsual = m_withinUsual});
    m_byName.emplace(m_single.front().name, m_single.begin());
    return m_single.front();
}

void WorkspaceShares::drop(Workspaces &from)
{
    Workspace &it = from.back();
    setOver(it, false);
    m_byName.erase(it.name);
    from.pop_back();
}

void WorkspaceShares::countActive(Workspace &it, TimePoint now)
{
    if (m_period == 0 || now - m_periodBeganAt >= ActivePeriod) {
        m_activeBefore = now - m_periodBeganAt < 2 * ActivePeriod ? m_activeNow : 0;
        m_activeNow = 0;
        m_periodBeganAt = now;
        ++m_period;
    }
    if (it.period != m_period) {
        it.period = m_period;
        ++m_activeNow;
    }
}

/// \returns the time since the last request of \a it, extended by the lead of the traffic of the
/// others if they send more than usual. Shares grow with it.
double WorkspaceShares::extendedSeconds(Workspace &it, TimePoint now)
{
    const double seconds = toSeconds(now - it.lastAt);
    const double others = static_cast<double>(m_withinUsual - it.lastWithinUsual);
    const double lead = it.lead + others / otherUsualRate(it) - seconds;
    it.lead = std::clamp(lead, -LeadSeconds, 0.0);
    return seconds + std::max(0.0, lead);
}

/// \returns whether the requests of \a it show that it exceeds its share.
bool WorkspaceShares::isOverByTests(Workspace &it, double seconds)
{
    updateEvidence(it.overEqualPart, equalPart(), requestsOfAll(it));
    double burst = 0;
    if (hasHistory()) {
        // The requests of the others fluctuate as well, so the test is one of the part of this
        // workspace in all requests rather than of its rate.
        const double own = usualRate(it);
        const double others = otherUsualRate(it);
        updateEvidence(it.overUsual, own / (own + others), 1 + others * seconds);
        burst = BurstSeconds * own;
    }
    for (std::size_t i = 0; i < TestedMultiples.size(); ++i) {
        const double least = std::max(MinEvidence, std::log(TestedMultiples[i]) * burst);
        if (it.overEqualPart[i] > least && (!hasHistory() || it.overUsual[i] > least))
            return true;
    }
    return false;
}

/// Adds to the requests that are within the share; if there are many, the surge has ended.
void WorkspaceShares::refill(Workspace &it, double seconds)
{
    const double usual = hasHistory() ? usualRate(it) : 0;
    it.tokens += RefillMargin * std::max(usual * seconds, requestsOfAll(it) * equalPart());
    if (it.tokens >= BucketRequests + BucketSeconds * usual)
        setOver(it, false);
}

void WorkspaceShares::setOver(Workspace &it, bool isOver)
{
    if (it.isOver == isOver)
        return;
    it.isOver = isOver;
    it.tokens = 0;
    it.overUsual = {};
    it.overEqualPart = {};
    if (isOver) {
        m_over.push_back(&it);
        m_usualOver += it.usual;
    } else {
        m_over.remove(&it);
        m_usualOver = m_over.empty() ? 0 : m_usualOver - it.usual;
    }
}

void WorkspaceShares::endIdle(TimePoint now)
{
    if (m_over.empty() || now - m_idleCheckedAt < IdleCheckInterval)
        return;
    m_idleCheckedAt = now;
    const std::list<Workspace *> all = m_over;
    for (Workspace *it : all) {
        if (now - it->lastAt > OverLifetime)
            setOver(*it, false);
    }
}

bool WorkspaceShares::hasHistory() const
{
    return m_window >= MinWindowSeconds && m_usualTotal / m_weight >= MinHistory;
}

bool WorkspaceShares::mayMark(TimePoint now) const
{
    return hasHistory()
            || (m_overloadedSince != TimePoint() && now - m_overloadedSince >= EqualPartDelay);
}

/// \returns the requests of all workspaces since the last one of \a it, including the present one.
double WorkspaceShares::requestsOfAll(const Workspace &it) const
{
    return static_cast<double>(m_total - it.lastTotal) + 1;
}

/// \returns the part of all requests that every workspace may send.
double WorkspaceShares::equalPart() const
{
    const double active = static_cast<double>(std::max(m_activeNow, m_activeBefore));
    return std::min(1.0, (hasHistory() ? 1 : EqualPartMultiple) / active);
}

/// \returns the usual requests per second of \a it, including the margin for their uncertainty.
double WorkspaceShares::usualRate(const Workspace &it) const
{
    const double requests = it.usual / m_weight;
    return (requests + UsualRateMargin * std::sqrt(requests) + 1) / m_window;
}

/// \returns the usual requests per second of all others that are not over their share.
double WorkspaceShares::otherUsualRate(const Workspace &it) const
{
    const double requests = (m_usualTotal - m_usualOver - (it.isOver ? 0 : it.usual)) / m_weight;
    return std::max(1.0, requests) / m_window;
}

} // namespace catkinloft
