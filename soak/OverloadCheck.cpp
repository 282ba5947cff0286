#include "OverloadCheck.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include <fmt/format.h>

namespace catkinloft::soak {

namespace {

using namespace std::chrono_literals;

constexpr int Served = 200;
constexpr int Unavailable = 503;

/// Time within which a request that cannot be served is refused (R5 in docs/design/overload.md).
constexpr Duration RefusalTime = 20ms;

/// Largest number of round trips until a refusal: the caller's, and one to a replica for each of
/// the two attempts that a route allows. On a busy machine each can take as long as the slowest
/// canary at that time, which makes one round trip to a router or replica and needs no decision.
constexpr int RoundTrips = 3;

/// While other faults are active a refusal may have to wait for a silent or slow replica. It must
/// still arrive within the time that the caller gave the request; later it is of no use.
constexpr Duration CallerTime = 3s;

/// Part that each rank is served whatever its urgency is (R2: about one in twenty). A less urgent
/// priority can be ahead of a more urgent one by as much.
constexpr double GuaranteedShare = 0.05;

/// A router that ignores priorities serves two of them differently by chance. The priority of each
/// request is drawn at random, so the difference has the standard deviation of independent draws;
/// beyond three of them it is not chance.
constexpr double Deviations = 3;

/// Expected number of served attempts from which none is starvation: by chance that happens once in
/// a thousand times (exp(-6.9)). At one in twenty these are 138 attempts.
constexpr double MinExpectedServed = 6.9;

/// Number of requests of each of two priorities from which their shares are compared. With fewer
/// the permitted difference is above a third.
constexpr std::size_t MinRequestsToCompare = 40;

/// Permitted increase of the share of requests that are not served from before an overload to after
/// it. "As before" compares two samples of a few hundred requests, in which single failures differ.
constexpr double ComparisonMargin = 0.01;

using Attempts = std::map<std::string, Attempt>;

struct Count
{
    std::size_t all = 0;
    std::size_t served = 0;

    void add(bool isServed)
    {
        ++all;
        served += isServed ? 1 : 0;
    }
    double share() const { return all == 0 ? 0 : double(served) / double(all); }
};

bool isServed(const Attempt &it)
{
    return it.status == Served || it.hasLeft;
}

bool promisesNotRun(int status)
{
    return status == Unavailable || status == 429 || status == 408 || status == 421;
}

/// \returns whether \a text is a positive number of seconds, as Retry-After states it.
bool isPositiveTime(const std::string &text)
{
    double seconds = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    return ec == std::errc() && end == text.data() + text.size() && seconds > 0;
}

std::string serviceOf(const Attempt &it)
{
    return it.route == "stream" || it.route == "whole" ? "streams" : "calls";
}

bool isSentIn(const Attempt &it, WallTime from, WallTime until)
{
    return it.sentAt >= from && it.sentAt < until;
}

/// \returns how long a refusal of \a it may take.
Duration refusalLimit(const Attempt &it, const OverloadPhase &phase,
                      const std::vector<Canary> &canaries)
{
    Duration slowest = Duration::zero();
    // A stall that begins after one canary is seen by the next.
    const WallTime from =
            it.sentAt - std::chrono::ceil<std::chrono::milliseconds>(SoakLoad::CanaryInterval);
    const WallTime until =
            it.answeredAt + std::chrono::ceil<std::chrono::milliseconds>(SoakLoad::CanaryInterval);
    for (const Canary &canary : canaries) {
        if (canary.sentAt > until)
            break;
        // A canary without an answer belongs to a process that does not run.
        if (canary.delay != Duration::max() && canary.sentAt + canary.delay >= from)
            slowest = std::max(slowest, canary.delay);
    }
    const Duration decision = phase.isAlone ? RefusalTime : CallerTime + RefusalTime;
    // A stall shorter than the interval can fall between two canaries.
    return decision + SoakLoad::CanaryInterval + RoundTrips * slowest;
}

/// \returns the number of refused requests.
std::size_t checkRefusals(const Attempts &attempts, const std::map<std::string, int> &runs,
                          const OverloadPhase &phase, const std::vector<Canary> &canaries,
                          const std::function<void(std::string)> &broken)
{
    std::size_t refused = 0;
    for (const auto &[id, it] : attempts) {
        if (!isSentIn(it, phase.from, phase.until) || !promisesNotRun(it.status))
            continue;
        ++refused;
        if (runs.contains(id))
            broken(fmt::format("{} ({}) was refused with {} in an overload and ran", id, it.route,
                               it.status));
        if (it.status == Unavailable && !isPositiveTime(it.retryAfter))
            broken(fmt::format("{} ({}) was refused in an overload with Retry-After '{}': {}", id,
                               it.route, it.retryAfter, it.body));
        const Duration time = it.answeredAt - it.sentAt;
        const Duration limit = refusalLimit(it, phase, canaries);
        if (time > limit)
            broken(fmt::format("{} ({}, router {}) was refused in an overload after {} ms, limit "
                               "{} ms: {}",
                               id, it.route, it.router, time / 1ms, limit / 1ms, it.body));
    }
    return refused;
}

/// Checks that all requests were either served or refused while only the load was unusual.
void checkNothingLost(const Attempts &attempts, const OverloadPhase &phase,
                      const std::function<void(std::string)> &broken)
{
    for (const auto &[id, it] : attempts) {
        if (isSentIn(it, phase.from, phase.until) && !id.starts_with(FatalIdPrefix) && !isServed(it)
            && it.status != Unavailable)
            broken(fmt::format("{} ({}, router {}) was lost in an overload without other faults: "
                               "status {}, {}",
                               id, it.route, it.router, it.status, it.body));
    }
}

using PriorityKey = std::pair<std::string, int>; ///< Service and priority.

/// \returns the share of the attempts of all priorities of \a service that was served.
double shareOfService(const std::map<PriorityKey, Count> &tries, const std::string &service)
{
    Count out;
    for (const auto &[key, it] : tries) {
        if (key.first != service)
            continue;
        out.all += it.all;
        out.served += it.served;
    }
    return out.share();
}

void checkPriorities(const Attempts &attempts, const OverloadPhase &phase,
                     const std::function<void(std::string)> &broken)
{
    std::map<PriorityKey, Count> tries;
    std::map<std::string, std::pair<PriorityKey, bool>>
            requests; // By first try; whether it was served.
    for (const auto &[id, it] : attempts) {
        if (!it.priority || !isSentIn(it, phase.from, phase.until))
            continue;
        const PriorityKey key{serviceOf(it), *it.priority};
        tries[key].add(isServed(it));
        auto &request = requests[it.firstTry.empty() ? id : it.firstTry];
        request.first = key;
        request.second = request.second || isServed(it);
    }
    std::map<PriorityKey, Count> counts;
    for (const auto &[id, it] : requests)
        counts[it.first].add(it.second);
    for (const auto &[key, it] : tries) {
        // Other faults can take a service so much of its capacity that less than one in twenty of
        // all its requests are served, or none. Then each priority has to get a part of what is.
        const double share = phase.isAlone
                ? GuaranteedShare
                : std::min(GuaranteedShare, shareOfService(tries, key.first));
        if (it.served == 0 && double(it.all) * share >= MinExpectedServed)
            broken(fmt::format("none of {} attempts of priority {} of {} was served in an overload",
                               it.all, key.second, key.first));
    }
    for (const auto &[urgent, a] : counts) {
        for (const auto &[other, b] : counts) {
            if (urgent.first != other.first || urgent.second >= other.second
                || std::min(a.all, b.all) < MinRequestsToCompare)
                continue;
            const double mean = double(a.served + b.served) / double(a.all + b.all);
            const double deviation =
                    std::sqrt(mean * (1 - mean) * (1 / double(a.all) + 1 / double(b.all)));
            const double margin = GuaranteedShare + Deviations * deviation;
            if (b.share() > a.share() + margin)
                broken(fmt::format("priority {} of {} was served {:.3f} of {} requests in an "
                                   "overload, priority {} {:.3f} of {}; margin {:.3f}",
                                   urgent.second, urgent.first, a.share(), a.all, other.second,
                                   b.share(), b.all, margin));
        }
    }
}

Count countServed(const Attempts &attempts, WallTime from, WallTime until)
{
    Count out;
    for (const auto &[id, it] : attempts) {
        if (isSentIn(it, from, until) && !id.starts_with(FatalIdPrefix))
            out.add(isServed(it));
    }
    return out;
}

/// \returns the first requests that were not served, for the report.
std::string unservedIn(const Attempts &attempts, WallTime from, WallTime until)
{
    constexpr int MaxPrinted = 5;
    std::string out;
    int n = 0;
    for (const auto &[id, it] : attempts) {
        if (isSentIn(it, from, until) && !id.starts_with(FatalIdPrefix) && !isServed(it)
            && n++ < MaxPrinted)
            out += fmt::format("{}{} (router {}) {}", out.empty() ? "" : ", ", id, it.router,
                               it.status);
    }
    return out;
}

void checkRecovery(const Attempts &attempts, const OverloadPhase &phase,
                   const std::function<void(std::string)> &broken)
{
    const WallTime recovered = phase.until + OverloadRecovery;
    const Count before = countServed(attempts, phase.from - OverloadComparison, phase.from);
    const Count after = countServed(attempts, recovered, recovered + OverloadComparison);
    if (after.share() >= before.share() - ComparisonMargin)
        return;
    broken(fmt::format("{} of {} requests were served {} s after an overload, {} of {} before: {}",
                       after.served, after.all, OverloadRecovery / 1s, before.served, before.all,
                       unservedIn(attempts, recovered, recovered + OverloadComparison)));
}

} // namespace

void checkOverloads(const std::map<std::string, Attempt> &attempts,
                    const std::map<std::string, int> &runs, const RunHistory &history,
                    const std::function<void(std::string)> &broken)
{
    for (const OverloadPhase &phase : history.overloads) {
        const std::size_t refused = checkRefusals(attempts, runs, phase, history.canaries, broken);
        checkPriorities(attempts, phase, broken);
        if (!phase.isAlone)
            continue;
        // Without refusals the replicas were not full, and the phase checks nothing.
        if (refused == 0)
            broken("no request was refused in an overload");
        checkNothingLost(attempts, phase, broken);
        checkRecovery(attempts, phase, broken);
    }
}

} // namespace catkinloft::soak
