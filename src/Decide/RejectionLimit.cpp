#include "Decide/RejectionLimit.h"

#include "Base/Log.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// The second in which a replica counts its rejections, plus 100 ms by which two of them may come
/// closer on their way.
constexpr Duration Window = 1100ms;

/// \returns the mean of a total of independent random draws that stays below \a limit, with two
/// standard deviations, while twice as many routers draw as are known. The variance is that of a
/// Poisson distribution at most: 8.4 for a limit of 25, but 0.09 for 1, since a small limit leaves
/// little room for chance. Seven tenths of the half at most, for what arrives within the second
/// beyond that.
double safeMean(double limit)
{
    const double root = std::sqrt(1 + limit) - 1;
    return std::min(root * root / 2, 0.35 * limit);
}

/// Interval at which the permits are redrawn. Several times Window: a router without a permit now
/// may have been rejected with it within the same second, so a short interval adds rejections.
constexpr Duration DrawInterval = 10s;

/// Time for which a larger number of routers counts after a smaller one was seen. FleetView counts
/// silent routers for 30 s already; this covers changes of the list in the store.
constexpr Duration RoutersHoldTime = 10s;

/// Age up to which a load report counts. A router that just got an answer has one, so the number of
/// routers with a report is at most the answers of this time: 20 at 6 slots and calls of 30 ms.
constexpr Duration ReportLifetime = 100ms;

/// Part of the slots up to which a request beyond the permits is sent. Several routers may have the
/// same report.
constexpr double SafeOccupancy = 0.5;

/// Smallest N with which reports admit requests beyond the permits. With less, the few that several
/// routers send on similar reports are too many already.
constexpr int MinRejectionsForReports = 3;

/// Bounds the effect of a wrong announcement; more than the largest fleet.
constexpr int MaxRouters = 1000;

/// Mean time after which a refused caller may try again. In a large fleet most routers have no
/// permit, so a caller needs several attempts although replicas have room; the time is short while
/// this router refuses few requests. It grows with them, so that their repetitions stay bounded.
constexpr Duration MinRetryAfter = 100ms;
constexpr Duration MaxRetryAfter = 400ms;
constexpr Duration RetryAfterPerRefusal = 10ms;
constexpr std::size_t MaxCountedRefusals = MaxRetryAfter / RetryAfterPerRefusal;

constexpr Duration MalformedLogInterval = 10s;

} // namespace

RejectionLimit::RejectionLimit(Options options) : m_options(std::move(options)) { }

void RejectionLimit::setReplicas(std::vector<Replica> replicas)
{
    m_replicas = std::move(replicas);
    m_arePermitsCurrent = false;
    std::map<std::string, State, std::less<>> kept;
    for (const Replica &it : m_replicas) {
        if (const auto known = m_states.find(it.id); known != m_states.end())
            kept.emplace(it.id, std::move(known->second));
    }
    m_states = std::move(kept);
}

void RejectionLimit::answered(std::string_view replica, const Answer &answer)
{
    if (!m_options.isEnabled)
        return;
    const TimePoint now = m_options.clock.now();
    if (answer.isMalformed)
        logMalformed(replica, now);
    else if (answer.maxRejections)
        noteEvidence(replica, *answer.maxRejections, now, true);
    else
        m_lastPlainAt = now;
    if (!isBrittle())
        return;
    State &it = m_states.try_emplace(std::string(replica)).first->second;
    if (answer.isRejection) {
        ++m_totals.rejections;
        it.rejections.push_back(now);
    }
    if (answer.load) {
        it.load = *answer.load;
        it.loadAt = now;
        it.sentSinceLoad = 0;
    }
}

void RejectionLimit::announced(std::string_view router, const BrittleService &state)
{
    if (!m_options.isEnabled || state.maxRejections < 1 || state.age < Duration::zero()
        || state.age >= HoldTime)
        return;
    const TimePoint now = m_options.clock.now();
    // A router that has just started knows fewer routers than the others do.
    if (const int n = std::min(state.routers, MaxRouters); n > m_routers) {
        m_routers = n;
        m_routersAt = now;
        m_arePermitsCurrent = false;
    }
    noteEvidence(router, state.maxRejections, now - state.age, false);
}

void RejectionLimit::noteEvidence(std::string_view source, int maxRejections, TimePoint at,
                                  bool isReplica)
{
    m_lastEvidenceAt = std::max(m_lastEvidenceAt, at);
    const TimePoint now = m_options.clock.now();
    // An announcement that is older than an answer without the header does not begin the state.
    if (!m_isBrittle && !isReplica && m_lastPlainAt != TimePoint::min()
        && at + HoldTime / 2 < m_lastPlainAt)
        return;
    if (!std::exchange(m_isBrittle, true)) {
        m_brittleSince = now;
        m_reporter = source;
        m_maxRejections = maxRejections;
        m_drawnAt = TimePoint::min();
        ++m_totals.begins;
        Log::warning("service_brittle",
                     {{"service", m_options.service},
                      {"max_rejections", maxRejections},
                      {isReplica ? "replica" : "router", std::string(source)},
                      {"routers", m_routers}});
    }
    if (maxRejections < m_maxRejections) {
        m_maxRejections = maxRejections;
        m_arePermitsCurrent = false;
    }
}

bool RejectionLimit::isBrittle()
{
    if (!m_isBrittle)
        return false;
    const TimePoint now = m_options.clock.now();
    const Duration silence = now - m_lastEvidenceAt;
    const bool isDisproved = silence >= HoldTime && m_lastPlainAt > m_lastEvidenceAt;
    if (isDisproved || silence >= MaxUnconfirmedTime)
        end(now);
    return m_isBrittle;
}

void RejectionLimit::end(TimePoint now)
{
    Log::info("service_no_longer_brittle",
              {{"service", m_options.service},
               {"max_rejections", m_maxRejections},
               {"reported_by", m_reporter},
               {"for_ms", (now - m_brittleSince) / 1ms},
               {"rejections", m_totals.rejections}});
    m_isBrittle = false;
    ++m_totals.ends;
    m_states.clear();
}

Duration RejectionLimit::brittleFor() const
{
    return m_isBrittle ? m_options.clock.now() - m_brittleSince : Duration::zero();
}

void RejectionLimit::logMalformed(std::string_view replica, TimePoint now)
{
    ++m_totals.malformed;
    if (m_malformedLoggedAt != TimePoint::min() && now - m_malformedLoggedAt < MalformedLogInterval)
        return;
    m_malformedLoggedAt = now;
    Log::warning("brittle_header_malformed",
                 {{"service", m_options.service},
                  {"replica", std::string(replica)},
                  {"total", m_totals.malformed}});
}

std::optional<BrittleService> RejectionLimit::ownAnnouncement()
{
    updateRouters(m_options.clock.now());
    if (!isBrittle())
        return std::nullopt;
    const TimePoint now = m_options.clock.now();
    const Duration age = now - m_lastEvidenceAt;
    if (age >= HoldTime)
        return std::nullopt;
    return BrittleService{.service = m_options.service,
                          .maxRejections = m_maxRejections,
                          .age = age,
                          .routers = m_routers};
}

void RejectionLimit::updateRouters(TimePoint now)
{
    const int known = std::max(1, m_options.routers());
    // A router that hears no other one may be cut off; the others still send.
    const bool isHeld =
            known == 1 || (m_routersAt != TimePoint::min() && now - m_routersAt < RoutersHoldTime);
    if (known < m_routers && isHeld)
        return;
    m_routersAt = now;
    if (std::exchange(m_routers, known) != known)
        m_arePermitsCurrent = false;
}

void RejectionLimit::updatePermits(TimePoint now)
{
    updateRouters(now);
    if (m_drawnAt == TimePoint::min() || now - m_drawnAt >= DrawInterval) {
        m_drawnAt = now;
        m_permitPhase = uniform(m_options.random);
        m_budgetPhase = uniform(m_options.random);
        m_arePermitsCurrent = false;
    }
    if (std::exchange(m_arePermitsCurrent, true))
        return;
    double sum = m_permitPhase;
    for (const Replica &it : m_replicas) {
        const double total = safeMean(it.slots + m_maxRejections - 1);
        const double before = std::floor(sum);
        sum += total / m_routers;
        m_states[it.id].permits = static_cast<int>(std::floor(sum) - before);
    }
}

double RejectionLimit::share() const
{
    return safeMean(m_maxRejections) / m_routers;
}

int RejectionLimit::rejectionBudget() const
{
    return std::max(1, static_cast<int>(std::floor(share() + m_budgetPhase)));
}

Duration RejectionLimit::rejectionWindow() const
{
    return share() >= 1 ? Window : scaled(Window, 1 / share());
}

void RejectionLimit::removeExpired(State &it, TimePoint now) const
{
    const Duration window = rejectionWindow();
    while (!it.rejections.empty() && now - it.rejections.front() >= window)
        it.rejections.pop_front();
}

bool RejectionLimit::admits(std::string_view replica, int inProgress)
{
    if (!isBrittle())
        return true;
    const TimePoint now = m_options.clock.now();
    updatePermits(now);
    const auto found = m_states.find(replica);
    if (found == m_states.end())
        return false;
    State &it = found->second;
    removeExpired(it, now);
    const int rejected = static_cast<int>(it.rejections.size());
    if (rejected >= rejectionBudget())
        return false;
    const bool hasReport = it.loadAt != TimePoint::min() && now - it.loadAt < ReportLifetime;
    if (hasReport && it.load.waiting > 0)
        return false;
    if (inProgress + rejected < it.permits)
        return true;
    return hasReport && m_maxRejections >= MinRejectionsForReports
            && it.load.running + it.sentSinceLoad + 1 <= SafeOccupancy * it.load.slots;
}

Duration RejectionLimit::retryAfter()
{
    const TimePoint now = m_options.clock.now();
    while (!m_refusals.empty()
           && (now - m_refusals.front() >= 1s || m_refusals.size() >= MaxCountedRefusals))
        m_refusals.pop_front();
    m_refusals.push_back(now);
    const auto n = static_cast<std::int64_t>(m_refusals.size());
    const Duration mean = std::max<Duration>(MinRetryAfter, n * RetryAfterPerRefusal);
    return scaled(mean, 0.5 + uniform(m_options.random));
}

void RejectionLimit::sent(std::string_view replica)
{
    if (!m_isBrittle)
        return;
    if (const auto it = m_states.find(replica); it != m_states.end())
        ++it->second.sentSinceLoad;
}

int RejectionLimit::worstRejections() const
{
    if (!m_isBrittle)
        return 0;
    const TimePoint now = m_options.clock.now();
    std::ptrdiff_t worst = 0;
    for (const auto &[replica, it] : m_states) {
        const auto n = std::count_if(it.rejections.begin(), it.rejections.end(),
                                     [&](TimePoint at) { return now - at < 1s; });
        worst = std::max(worst, n);
    }
    return static_cast<int>(worst);
}

} // namespace catkinloft
