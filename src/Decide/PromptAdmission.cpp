#include "Decide/PromptAdmission.h"

#include <algorithm>
#include <cmath>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// Part of the target after which a prompt without an event counts as late. The rest is the time
/// that the window needs to take effect; with the whole target the prompts that are already in
/// progress would all be late.
constexpr double DueShare = 0.6;

/// Share of late prompts that is overload, and the number of observations from which it counts. A
/// router of a large fleet sees about six prompts a second.
constexpr double LateShare = 0.15;
constexpr int MinObservations = 5;

/// Number of late prompts for a limit to begin. With one, some of 76 routers refuse prompts at
/// twice the usual load, when one prompt of five is late by chance. Waiting requests are evidence
/// of their own.
constexpr int MinLate = 3;
constexpr int MinLateQueueing = 2;

/// Engines are busy above this share of slots in use, or if requests wait. Requests that arrive
/// during a step wait for its end at any load, so waiting requests count relative to a quarter of
/// the slots.
constexpr double BusyRunning = 0.5;
constexpr double BusyWaiting = 0.25;
constexpr double WaitingShareOfSlots = 0.25;

/// Occupancy of the engines at which a reduction of the window aims, and the range of its factor.
/// The reports tell how far the engines are above it. With a fixed factor per feedback delay the
/// window would be too large for a second or more after a sudden onset.
constexpr double AimedOccupancy = 0.8;
constexpr double LargestFactor = 0.85;
constexpr double SmallestFactor = 0.4;

/// Time from a change of the window until first events show its effect.
constexpr Duration FeedbackDelay = 300ms;

/// Increase of the window per feedback delay while prompts are refused, and while the engines are
/// not busy. The latter lets refusals end within two seconds of the overload.
constexpr double Increase = 0.1;
constexpr double IdleIncrease = 0.5;

/// Smallest window. A part of the prompts below one is admitted by randomised rounding.
constexpr double MinWindow = 0.5;

/// The threshold of a rank is this power of the part of the recent demand that is not more urgent:
/// the room above it is kept for the more urgent prompts, and it is small if there are few of them.
constexpr double ReserveExponent = 0.8;
constexpr double MinThreshold = 0.25;

/// Time constant of the recent demand, in seconds: a router sees about ten prompts in it.
constexpr double DemandSeconds = 3;

/// Ranks with less recent demand, in prompts, are forgotten.
constexpr double MinDemand = 0.05;

/// Probability that a prompt above the threshold of its rank is admitted below the full window. One
/// in twenty has to be served, also if the window is full for a part of the time.
constexpr double MinAdmission = 0.06;

/// Number of ranks that are distinguished.
constexpr std::size_t MaxRanks = 32;

/// Age at which the weight of a report has fallen to 1/e.
constexpr Duration ReportDecay = 300ms;
/// Time after which the last report says nothing about the present load.
constexpr Duration ReportLifetime = 1500ms;

/// Time without refusals, or with engines that are not busy, after which the limit is removed. With
/// a second of the latter some prompts are refused for more than two seconds after the overload.
constexpr Duration UnrefusedLifetime = 2s;
constexpr Duration IdleLifetime = 500ms;

/// Longest time until callers retry if few prompts are refused, and what is added if all are.
constexpr Duration RetryBase = 500ms;
constexpr Duration RetryRange = 4s;
/// Part of the longest time before which no caller retries.
constexpr double RetryMinimum = 0.25;

/// Resolution and number of periods of which the observations decide if they are enough. With a
/// second, observations from before a sudden onset hide it from the routers for longer.
constexpr Duration BucketLength = 100ms;
constexpr int ObservedBuckets = 5;

} // namespace

void PromptAdmission::RecentShare::add(TimePoint now, bool counted)
{
    const std::int64_t period = now.time_since_epoch() / BucketLength;
    Bucket &it = m_buckets[static_cast<std::size_t>(period) % m_buckets.size()];
    if (it.period != period)
        it = {.period = period, .counts = {}};
    ++it.counts.total;
    it.counts.counted += counted ? 1 : 0;
}

PromptAdmission::RecentShare::Counts PromptAdmission::RecentShare::counts(TimePoint now) const
{
    const std::int64_t last = now.time_since_epoch() / BucketLength;
    const auto size = static_cast<std::int64_t>(m_buckets.size());
    Counts sum;
    for (std::int64_t age = 0; age < size; ++age) {
        if (age >= ObservedBuckets && sum.total >= MinObservations)
            break;
        const Bucket &it = m_buckets[static_cast<std::size_t>(last - age) % m_buckets.size()];
        if (it.period == last - age) {
            sum.total += it.counts.total;
            sum.counted += it.counts.counted;
        }
    }
    return sum;
}

PromptAdmission::PromptAdmission(Options options) : m_options(std::move(options)) { }

bool PromptAdmission::admits(const RequestRank &rank)
{
    update();
    const TimePoint now = m_options.clock.now();
    countDemand(rank);
    const double allowed = threshold(rank);
    bool admitted = true;
    if (m_window > 0) {
        // Compares with the randomly rounded threshold, so that ranks differ in a small window.
        const double chance = allowed - inProgress();
        const double fullChance = std::clamp(m_window - inProgress(), 0.0, 1.0);
        admitted = uniform(m_options.random) < std::max(chance, MinAdmission * fullChance);
    }
    m_refused.add(now, !admitted);
    if (!admitted)
        m_refusedAt = now;
    return admitted;
}

bool PromptAdmission::admitsRetry(const RequestRank &rank)
{
    update();
    return m_window <= 0 || uniform(m_options.random) < threshold(rank) - (inProgress() - 1);
}

bool PromptAdmission::isMostUrgent(const RequestRank &rank) const
{
    RequestRank first = rank;
    first.repeated = false;
    return std::none_of(m_ranks.begin(), m_ranks.end(),
                        [&](const RankInUse &it) { return it.rank.isBefore(first); });
}

PromptAdmission::Id PromptAdmission::started(Duration target)
{
    update();
    const TimePoint now = m_options.clock.now();
    const Id id = ++m_lastId;
    const TimePoint due = now + scaled(target, DueShare);
    m_prompts[id] = {.startedAt = now, .dueAt = due};
    m_awaited.emplace(due, id);
    return id;
}

void PromptAdmission::firstEvent(Id id)
{
    markOverdue();
    const auto it = m_prompts.find(id);
    if (it == m_prompts.end() || it->second.hasEvent)
        return;
    Prompt &prompt = it->second;
    prompt.hasEvent = true;
    const bool late = !prompt.awaited;
    if (!late) {
        m_awaited.erase({prompt.dueAt, id});
        prompt.awaited = false;
        observe(prompt, false);
    }
    if (prompt.startedAt >= m_shrunkAt)
        m_lateEvents.add(m_options.clock.now(), late);
    update();
}

void PromptAdmission::ended(Id id)
{
    update();
    const auto it = m_prompts.find(id);
    if (it == m_prompts.end())
        return;
    if (it->second.awaited)
        m_awaited.erase({it->second.dueAt, id});
    m_prompts.erase(it);
}

void PromptAdmission::loadReported(const ReplicaLoad &load)
{
    const TimePoint now = m_options.clock.now();
    if (!hasReports())
        m_reports = {};
    Reports &it = m_reports;
    const double slots = std::max(1, load.slots);
    const double kept =
            it.weight * std::exp(-toSeconds(now - it.receivedAt) / toSeconds(ReportDecay));
    it.weight = kept + 1;
    const double part = 1 / it.weight;
    it.running += part * (load.running / slots - it.running);
    it.waiting += part * (std::min(1.0, load.waiting / (WaitingShareOfSlots * slots)) - it.waiting);
    const double requests = static_cast<double>(load.running) + load.waiting;
    it.occupancy += part * (requests / slots - it.occupancy);
    it.receivedAt = now;
    if (isBusy())
        m_busyAt = now;
    update();
}

bool PromptAdmission::isLimiting() const
{
    return m_window > 0 && !isLimitOutdated();
}

double PromptAdmission::limit() const
{
    return isLimiting() ? m_window : 0;
}

int PromptAdmission::inProgress() const
{
    return static_cast<int>(m_prompts.size());
}

double PromptAdmission::lateShare() const
{
    return m_late.counts(m_options.clock.now()).share();
}

double PromptAdmission::occupancy() const
{
    return hasReports() ? m_reports.occupancy : 0;
}

Duration PromptAdmission::retryAfter(Duration remaining)
{
    const double refused = m_refused.counts(m_options.clock.now()).share();
    const Duration longest = std::clamp(RetryBase + scaled(RetryRange, refused), Duration(0),
                                        std::max(Duration(0), remaining / 3));
    return scaled(longest, RetryMinimum + (1 - RetryMinimum) * uniform(m_options.random));
}

void PromptAdmission::observe(const Prompt &prompt, bool late)
{
    const TimePoint now = m_options.clock.now();
    m_late.add(now, late);
    if (prompt.startedAt >= m_shrunkAt)
        m_lateSinceShrink.add(now, late);
}

void PromptAdmission::clearObservations()
{
    m_lateSinceShrink.clear();
    m_lateEvents.clear();
}

void PromptAdmission::update()
{
    markOverdue();
    if (m_window > 0 && isLimitOutdated())
        removeLimit();
    if (m_window > 0)
        adjustWindow();
    else
        limitOnset();
}

void PromptAdmission::markOverdue()
{
    const TimePoint now = m_options.clock.now();
    while (!m_awaited.empty() && m_awaited.begin()->first <= now) {
        Prompt &it = m_prompts.at(m_awaited.begin()->second);
        it.awaited = false;
        m_awaited.erase(m_awaited.begin());
        observe(it, true);
    }
}

void PromptAdmission::limitOnset()
{
    const TimePoint now = m_options.clock.now();
    if (!isOverloaded())
        return;
    // The prompts in progress are this router's part of those at the engines, so the windows of all
    // routers together are the part of them that the engines can process.
    m_window = std::max(MinWindow, windowFactor() * inProgress());
    m_onsetWindow = m_window;
    m_changedAt = m_shrunkAt = m_refusedAt = m_busyAt = now;
    clearObservations();
}

void PromptAdmission::adjustWindow()
{
    const TimePoint now = m_options.clock.now();
    if (now - m_changedAt < FeedbackDelay)
        return;
    if (isOverloaded()) {
        m_window = std::max(MinWindow, m_window * windowFactor());
        m_changedAt = m_shrunkAt = now;
        clearObservations();
    } else if (m_refusedAt > m_changedAt && inProgress() <= m_window + 1) {
        // Until the excess after a reduction has ended, refusals do not mean that it was too large.
        // An addend in proportion to the router's traffic lets the windows of routers converge.
        const double rate =
                isBusy() ? Increase * std::max(0.0, 1 - late().share() / LateShare) : IdleIncrease;
        m_window += rate * std::max(m_window, m_onsetWindow);
        m_changedAt = now;
    }
}

void PromptAdmission::removeLimit()
{
    m_window = 0;
    clearObservations();
}

void PromptAdmission::countDemand(const RequestRank &rank)
{
    const TimePoint now = m_options.clock.now();
    const double decay = std::exp(-toSeconds(now - m_demandAt) / DemandSeconds);
    m_demandAt = now;
    for (RankInUse &it : m_ranks)
        it.demand *= decay;
    std::erase_if(m_ranks, [](const RankInUse &it) { return it.demand < MinDemand; });
    auto it = std::find_if(m_ranks.begin(), m_ranks.end(),
                           [&](const RankInUse &used) { return !used.rank.isBefore(rank); });
    const bool isKnown = it != m_ranks.end() && !rank.isBefore(it->rank);
    if (!isKnown && m_ranks.size() < MaxRanks)
        it = m_ranks.insert(it, {.rank = rank});
    if (it != m_ranks.end())
        it->demand += 1;
}

double PromptAdmission::threshold(const RequestRank &rank) const
{
    double moreUrgent = 0;
    double total = 0;
    for (const RankInUse &it : m_ranks) {
        total += it.demand;
        moreUrgent += it.rank.isBefore(rank) ? it.demand : 0;
    }
    const double remaining = 1 - moreUrgent / std::max(1.0, total);
    return m_window * std::max(MinThreshold, std::pow(remaining, ReserveExponent));
}

double PromptAdmission::windowFactor() const
{
    return std::clamp(AimedOccupancy / std::max(0.01, m_reports.occupancy), SmallestFactor,
                      LargestFactor);
}

PromptAdmission::RecentShare::Counts PromptAdmission::late() const
{
    // Without waiting requests, prompts that have no event may have been sent to silent engines.
    return (isQueueing() ? m_lateSinceShrink : m_lateEvents).counts(m_options.clock.now());
}

bool PromptAdmission::isOverloaded() const
{
    const RecentShare::Counts counts = late();
    const int needed = m_window > 0 ? 1 : isQueueing() ? MinLateQueueing : MinLate;
    return isBusy() && counts.total >= MinObservations && counts.share() >= LateShare
            && counts.counted >= needed;
}

bool PromptAdmission::isQueueing() const
{
    return hasReports() && m_reports.waiting > BusyWaiting;
}

bool PromptAdmission::isBusy() const
{
    return isQueueing() || (hasReports() && m_reports.running > BusyRunning);
}

bool PromptAdmission::hasReports() const
{
    return m_reports.weight > 0 && m_options.clock.now() - m_reports.receivedAt <= ReportLifetime;
}

bool PromptAdmission::isLimitOutdated() const
{
    const TimePoint now = m_options.clock.now();
    return now - m_refusedAt > UnrefusedLifetime || (!isBusy() && now - m_busyAt > IdleLifetime);
}

} // namespace catkinloft
