#include "SoakCheck.h"

#include "Base/Log.h"
#include "OverloadCheck.h"
#include "ReplicaStandin.h"
#include "RouterCheck.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>

#include <fmt/format.h>

namespace catkinloft::soak {

namespace {

using namespace std::chrono_literals;

/// A request with a revoked key that is sent later than this after the revocation must not run.
constexpr Duration KeyRevocationLimit = 5s;

/// No request may reach a draining replica later than this. Includes a margin for the stand-in's
/// own clock.
constexpr Duration DrainLimit = 2s + 200ms;

/// How often a request may still run later than StableWindow after it has crashed three replicas.
constexpr std::size_t MaxLateFatalRuns = 3;
constexpr Duration StableWindow = 3s;

/// Requests from one router that may reach a replica during the pause that it asked for, later than
/// PauseGrace after it asked.
constexpr std::ptrdiff_t MaxRequestsInPause = 2;
constexpr auto PauseGrace = 500ms;

/// No request may reach a failure domain later than this after its evacuation was acknowledged.
/// Includes a margin for the stand-in's own clock.
constexpr Duration EvacuationLimit = 2s + 200ms;

/// An answer that ends this shortly before the caller's timeout may have ended by its deadline.
constexpr auto DeadlineMargin = 100ms;

/// Time after SIGTERM in which a router must let answers end: its stop timeout of 8 s, less the
/// time that it reserves for its own end and a margin.
constexpr auto StopLimit = 7500ms;

constexpr std::size_t MaxReportedLines = 20;
constexpr std::size_t MaxPrintedBody = 400; ///< Bytes of an answer that are printed.

bool runsAtMostOnce(const std::string &route)
{
    return route == "once" || route == "whole";
}

bool isStream(const std::string &route)
{
    return route == "stream" || route == "whole";
}

bool promisesNotRun(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

/// \returns the events of a whole stream of \a length events after event \a last, from one software
/// version.
std::string completeStream(int last, int length, const std::string &version)
{
    std::string out;
    for (int i = last + 1; i <= length; ++i)
        out += standin::ReplicaStandin::eventText(i, version);
    return out;
}

/// \returns the software versions that the events of \a body name.
std::set<std::string> versionsOf(const std::string &body)
{
    std::set<std::string> out;
    for (std::size_t at = 0, end = body.find("\n\n"); end != std::string::npos;
         at = end + 2, end = body.find("\n\n", at)) {
        const std::string event = body.substr(at, end - at);
        const std::size_t space =
                event.find(' ', event.find("piece ") + std::string("piece ").size());
        out.insert(space == std::string::npos ? std::string() : event.substr(space + 1));
    }
    return out;
}

/// Checks that no stream has events of two software versions, over all tries of its caller.
void checkVersions(const std::map<std::string, Attempt> &attempts,
                   const std::function<void(std::string)> &broken)
{
    for (const auto &[id, it] : attempts) {
        if (!isStream(it.route))
            continue;
        std::set<std::string> versions = versionsOf(it.body);
        const auto first = attempts.find(it.resumes);
        if (first != attempts.end())
            versions.merge(versionsOf(first->second.body));
        if (versions.size() > 1)
            broken(fmt::format("{} has events of {} versions", id, versions.size()));
    }
}

bool isExpectedAnswer(const std::string &id, const Attempt &it)
{
    if (isStream(it.route))
        return (it.body.empty() || versionsOf(it.body).size() == 1)
                && it.body
                == completeStream(it.afterEvent, it.lastEvent,
                                  it.body.empty() ? std::string() : *versionsOf(it.body).begin())
                && it.signature == standin::ReplicaStandin::signatureOf(id, {});
    return it.body.starts_with(id + " answered by ")
            && it.signature == standin::ReplicaStandin::signatureOf(id, it.body);
}

bool isUndisturbed(std::size_t router, WallTime at, const RunHistory &history)
{
    return std::none_of(history.disturbances.begin(), history.disturbances.end(),
                        [&](const RouterDisturbance &it) {
                            return it.router == router && it.from <= at
                                    && (it.until == WallTime::max()
                                        || at <= it.until + StableWindow);
                        });
}

/// \returns whether \a router ran without interruption between \a from and \a to.
bool ranWithoutPause(std::size_t router, WallTime from, WallTime to, const RunHistory &history)
{
    return std::none_of(history.disturbances.begin(), history.disturbances.end(),
                        [&](const RouterDisturbance &it) {
                            return it.router == router && it.from <= to && it.until >= from;
                        });
}

WallTime timeOf(const Json::Value &arrival)
{
    return WallTime(std::chrono::milliseconds(arrival["at_ms"].asInt64()));
}

/// Checks that a router sends nothing to a replica after it has forwarded an answer in which that
/// replica reports that it leaves.
void checkLeaving(const std::map<std::string, Attempt> &attempts,
                  const std::vector<Json::Value> &arrivals, const RunHistory &history,
                  const std::function<void(std::string)> &broken)
{
    for (const auto &[id, leavingAnswer] : attempts) {
        if (!leavingAnswer.saysLeaving)
            continue;
        for (const Json::Value &it : arrivals) {
            const auto attempt = attempts.find(it["id"].asString());
            if (attempt == attempts.end() || attempt->second.router != leavingAnswer.router
                || !leavingAnswer.body.ends_with(" answered by " + it["replica"].asString())
                || attempt->second.sentAt <= leavingAnswer.answeredAt + DrainLimit
                || !ranWithoutPause(leavingAnswer.router, leavingAnswer.answeredAt, timeOf(it),
                                    history))
                continue;
            broken(fmt::format(
                    "{} reached replica {} {} ms after router {} had forwarded that it leaves",
                    attempt->first, it["replica"].asString(),
                    (timeOf(it) - leavingAnswer.answeredAt) / 1ms, leavingAnswer.router));
        }
    }
}

/// \returns whether a fault may have lost an answer that a replica sent to \a router at \a at.
bool isPartitioned(std::size_t router, WallTime at, const RunHistory &history)
{
    return std::any_of(history.replicaDisturbances.begin(), history.replicaDisturbances.end(),
                       [&](const ReplicaDisturbance &it) {
                           return it.router == router && it.from <= at && it.until >= at;
                       });
}

/// Checks that a router sends at most MaxRequestsInPause requests to a replica during a pause that
/// the replica asked for. A router that was partitioned then doesn't know of the pause.
void checkPauses(const std::map<std::string, Attempt> &attempts,
                 const std::vector<Json::Value> &arrivals, const RunHistory &history,
                 const std::function<void(std::string)> &broken)
{
    for (const Json::Value &pauseRequest : arrivals) {
        const auto first = attempts.find(pauseRequest["id"].asString());
        if (pauseRequest["pause_ms"].asDouble() <= 0 || first == attempts.end())
            continue;
        const std::size_t router = first->second.router;
        if (isPartitioned(router, timeOf(pauseRequest), history))
            continue;
        const WallTime from = timeOf(pauseRequest) + PauseGrace;
        const WallTime until = timeOf(pauseRequest)
                + std::chrono::milliseconds(pauseRequest["pause_ms"].asInt64());
        const auto n = std::count_if(arrivals.begin(), arrivals.end(), [&](const Json::Value &it) {
            const auto attempt = attempts.find(it["id"].asString());
            return it["replica"] == pauseRequest["replica"] && attempt != attempts.end()
                    && attempt->second.router == router && timeOf(it) > from && timeOf(it) < until;
        });
        if (n > MaxRequestsInPause && ranWithoutPause(router, timeOf(pauseRequest), until, history))
            broken(fmt::format("{} requests reached replica {} from router {} in a pause", n,
                               pauseRequest["replica"].asString(), router));
    }
}

/// \returns the number of times that undisturbed routers sent the fatal request after the time by
/// which they must have quarantined it.
std::size_t lateFatalRuns(const std::map<std::string, Attempt> &attempts,
                          const std::vector<Json::Value> &executions, const RunHistory &history)
{
    std::vector<std::pair<WallTime, std::string>> runs;
    for (const Json::Value &it : executions) {
        if (it["body"].asString() == standin::FatalBody)
            runs.emplace_back(timeOf(it), it["id"].asString());
    }
    std::sort(runs.begin(), runs.end());
    constexpr std::size_t Third = 2;
    if (runs.size() <= Third)
        return 0;
    const WallTime from = runs[Third].first + std::chrono::milliseconds(StableWindow / 1ms);
    return static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [&](const auto &it) {
        const auto attempt = attempts.find(it.second);
        return it.first > from && attempt != attempts.end()
                && isUndisturbed(attempt->second.router, it.first, history);
    }));
}

/// \returns whether the caller could not have read the rest of the answer \a it before a router
/// that was stopped at \a stoppedAt had to end.
bool endsAfterStop(const Attempt &it, WallTime stoppedAt)
{
    const double seconds = it.bytesPerSecond > 0
            ? static_cast<double>(it.length - it.bytes) / it.bytesPerSecond
            : 0;
    const auto rest = std::chrono::ceil<std::chrono::milliseconds>(fromSeconds(seconds));
    return it.cutOffAt + rest > stoppedAt + StopLimit;
}

/// \returns the disturbances of the router of \a it between its sending and its end.
std::vector<RouterDisturbance> disturbancesOf(const Attempt &it, const RunHistory &history)
{
    std::vector<RouterDisturbance> out;
    std::copy_if(history.disturbances.begin(), history.disturbances.end(), std::back_inserter(out),
                 [&](const RouterDisturbance &d) {
                     return d.router == it.router && d.from <= it.cutOffAt && d.until >= it.sentAt;
                 });
    return out;
}

/// \returns whether a disturbance of its router may have cut off the answer \a it. A pause alone
/// may not, but it delays the planned stop of a router and answers that are read slowly.
bool mayBeCutOffByRouter(const Attempt &it, const std::vector<RouterDisturbance> &disturbances)
{
    const bool isDelayed = it.bytesPerSecond > 0
            || std::any_of(disturbances.begin(), disturbances.end(),
                           [](const RouterDisturbance &d) { return d.isPlannedStop; });
    return std::any_of(disturbances.begin(), disturbances.end(), [&](const RouterDisturbance &d) {
        if (d.isPause)
            return isDelayed;
        return !d.isPlannedStop || endsAfterStop(it, d.from);
    });
}

/// \returns the part of the answer that the caller had and the time since SIGTERM, for the report.
std::string describeCutOff(const Attempt &it, const std::vector<RouterDisturbance> &disturbances)
{
    std::string out = fmt::format("router {}", it.router);
    if (it.bytesPerSecond > 0)
        out += fmt::format(", {} of {} bytes", it.bytes, it.length);
    // The first signal counts; the process that it has stopped ignores further ones.
    const auto stop = std::find_if(disturbances.begin(), disturbances.end(),
                                   [](const RouterDisturbance &d) { return d.isPlannedStop; });
    if (stop != disturbances.end())
        out += fmt::format(", {} ms after SIGTERM", (it.cutOffAt - stop->from) / 1ms);
    return out;
}

/// Checks that no answer is cut off before its deadline while its router ran, was only paused or
/// was ending after SIGTERM, and the replicas that it ran on were sound. They don't matter once the
/// caller has a part of the answer to a call, which its router had as a whole then.
void checkCutOffs(const std::map<std::string, Attempt> &attempts,
                  const std::vector<Json::Value> &executions, const RunHistory &history,
                  const std::function<void(std::string)> &broken)
{
    std::map<std::string, bool> ranOnSoundReplicas;
    for (const Json::Value &it : executions) {
        const auto attempt = attempts.find(it["id"].asString());
        if (attempt == attempts.end() || attempt->second.cutOffAt == WallTime())
            continue;
        bool &isSound = ranOnSoundReplicas.try_emplace(attempt->first, true).first->second;
        isSound = isSound
                && (attempt->second.bytes > 0
                    || !mayBeCutOffBy(it["replica"].asString(), attempt->second,
                                      attempt->second.cutOffAt, history));
    }
    for (const auto &[id, isSound] : ranOnSoundReplicas) {
        const Attempt &it = attempts.at(id);
        const std::vector<RouterDisturbance> disturbances = disturbancesOf(it, history);
        if (isSound && it.cutOffAt < it.sentAt + it.timeout - DeadlineMargin
            && !mayBeCutOffByRouter(it, disturbances))
            broken(fmt::format("{} was cut off after {} ms though its replica was sound ({}, {})",
                               id, (it.cutOffAt - it.sentAt) / 1ms,
                               describeCutOff(it, disturbances), describe(id, it, executions)));
    }
}

/// Checks that nothing is sent to a failure domain while it is evacuated.
void checkEvacuations(const std::map<std::string, Attempt> &attempts,
                      const std::vector<Json::Value> &arrivals, const RunHistory &history,
                      const std::function<void(std::string)> &broken)
{
    for (const Evacuation &evacuation : history.evacuations) {
        for (const Json::Value &it : arrivals) {
            const auto attempt = attempts.find(it["id"].asString());
            const WallTime at = timeOf(it);
            if (!evacuation.controlStable || attempt == attempts.end()
                || at <= evacuation.acknowledgedAt + EvacuationLimit || at >= evacuation.endedAt
                || history.domainOf(it["replica"].asString()) != evacuation.domain
                || !isUndisturbed(attempt->second.router, at, history))
                continue;
            broken(fmt::format("{} reached {} in {} {} ms after its evacuation", attempt->first,
                               it["replica"].asString(), evacuation.domain,
                               (at - evacuation.acknowledgedAt) / 1ms));
        }
    }
}

/// Checks that no cold replica receives more requests in one second than its limit.
void checkColdReplicas(const std::vector<Json::Value> &arrivals, const RunHistory &history,
                       const std::function<void(std::string)> &broken)
{
    for (const ColdPeriod &cold : history.coldPeriods) {
        std::vector<WallTime> times;
        for (const Json::Value &it : arrivals) {
            const WallTime at = timeOf(it);
            if (it["replica"].asString() == cold.replica && at >= cold.from && at <= cold.until)
                times.push_back(at);
        }
        std::sort(times.begin(), times.end());
        const auto n = static_cast<std::size_t>(cold.maxPerSecond);
        for (std::size_t i = n; i < times.size(); ++i) {
            if (times[i] - times[i - n] < 1s) {
                broken(fmt::format("cold replica {} got more than {} requests in one second",
                                   cold.replica, n));
                break;
            }
        }
    }
}

} // namespace

bool mayBeCutOffBy(const std::string &replica, const Attempt &it, WallTime end,
                   const RunHistory &history)
{
    return std::any_of(history.replicaDisturbances.begin(), history.replicaDisturbances.end(),
                       [&](const ReplicaDisturbance &d) {
                           return (d.replica.empty() || d.replica == replica)
                                   && d.router.value_or(it.router) == it.router && d.from <= end
                                   && d.until >= it.sentAt;
                       });
}

std::string describe(const std::string &id, const Attempt &attempt,
                     const std::vector<Json::Value> &executions)
{
    const auto sentAt = attempt.sentAt.time_since_epoch() / 1ms;
    std::string out =
            fmt::format("route {}, sent at {} ms, status {}, signature {}, body {}", attempt.route,
                        sentAt, attempt.status, jsonQuoted(attempt.signature),
                        jsonQuoted(attempt.body.substr(0, MaxPrintedBody)));
    for (const Json::Value &it : executions) {
        if (it["id"].asString() == id)
            out += fmt::format(", {} at {} {} ms later", it["resumed"].asBool() ? "resumed" : "ran",
                               it["replica"].asString(), it["at_ms"].asInt64() - sentAt);
    }
    return out;
}

std::vector<std::string> brokenPromises(const std::map<std::string, Attempt> &attempts,
                                        const std::vector<Json::Value> &arrivals,
                                        const RunHistory &history)
{
    std::vector<Json::Value> executions = arrivals;
    std::erase_if(executions, [](const Json::Value &it) { return it["turned_away"].asBool(); });
    std::vector<std::string> out;
    const auto broken = [&](std::string line) {
        if (out.size() < MaxReportedLines)
            out.push_back(std::move(line));
    };
    checkRouters(attempts, arrivals, history, broken);
    std::map<std::string, std::set<std::string>> ranAt;
    std::map<std::string, int> runs;
    for (const Json::Value &it : executions) {
        const std::string id = it["id"].asString();
        const auto attempt = attempts.find(id);
        ++runs[id];
        ranAt[id].insert(it["replica"].asString());
        if (attempt == attempts.end()) {
            broken(fmt::format("{} ran although no caller sent it", id));
            continue;
        }
        if (it["key_seen"].asBool() || it["workspace"].asString() != attempt->second.workspace)
            broken(fmt::format("{} reached a replica with its key or without its workspace", id));
        if (!it["priority"].asString().empty())
            broken(fmt::format("{} reached a replica with the priority that its caller chose", id));
        const WallTime at = timeOf(it);
        for (const OperatorAct &action : history.acts) {
            if (!action.key.empty() && attempt->second.key == action.key
                && attempt->second.sentAt > action.acknowledgedAt + KeyRevocationLimit)
                broken(fmt::format("{} ran with a revoked key", id));
            if (action.controlStable && !action.replica.empty()
                && it["replica"].asString() == action.replica
                && at > action.acknowledgedAt + DrainLimit)
                broken(fmt::format("{} reached replica {} {} ms after it was marked as draining",
                                   id, action.replica, (at - action.acknowledgedAt) / 1ms));
        }
    }
    for (const auto &[id, it] : attempts) {
        const int n = runs.contains(id) ? runs.at(id) : 0;
        if (runsAtMostOnce(it.route) && n > 1)
            broken(fmt::format("{} ran {} times ({})", id, n, describe(id, it, executions)));
        if (n > 0 && ranAt.at(id).size() > 2)
            broken(fmt::format("{} ran on {} replicas ({})", id, ranAt.at(id).size(),
                               describe(id, it, executions)));
        if (runsAtMostOnce(it.route) && promisesNotRun(it.status) && n > 0)
            broken(fmt::format("{} was answered {} and ran ({})", id, it.status,
                               describe(id, it, executions)));
        if (it.status == 200 && !isExpectedAnswer(id, it))
            broken(fmt::format("{} got another answer than its own, or part of it ({})", id,
                               describe(id, it, executions)));
        if (!id.starts_with(FatalIdPrefix)
            && it.body.find("request_quarantined") != std::string::npos)
            broken(fmt::format("{} was quarantined because of another request", id));
        if (it.status == 200 && n == 0)
            broken(fmt::format("{} was answered and did not run ({})", id,
                               describe(id, it, executions)));
    }
    checkVersions(attempts, broken);
    checkCutOffs(attempts, executions, history, broken);
    checkLeaving(attempts, arrivals, history, broken);
    checkPauses(attempts, arrivals, history, broken);
    checkEvacuations(attempts, arrivals, history, broken);
    checkColdReplicas(arrivals, history, broken);
    checkRetryBudgets(attempts, arrivals, history, broken);
    checkOverloads(attempts, runs, history, broken);
    if (const std::size_t n = lateFatalRuns(attempts, executions, history); n > MaxLateFatalRuns)
        broken(fmt::format("a request that had crashed three replicas ran {} more times", n));
    checkRouterLogs(history, broken);
    return out;
}

} // namespace catkinloft::soak
