#include "Net/RetryGate.h"

#include <vector>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// A retry needs at least this much time to be useful.
constexpr Duration MinRetryTime = 20ms;

/// Replicas that may crash during attempts of one request if no replica had crashed under it
/// before. The second crash may be a coincidence; further crashes would harm the other callers of
/// the service more than the request is worth.
constexpr int MaxCrashedReplicas = 2;

/// Replicas count as silent after the stall limit of an attempt divided by this number. Those that
/// stopped at the same time may have received their first request of this router later.
constexpr int SilentReplicaDivisor = 2;

} // namespace

ReplicaPool::Choice RetryGate::choose(const Query &query, std::span<const std::string> avoided,
                                      bool isStrict)
{
    const Route &route = *query.request.route;
    std::vector<std::string> excluded(avoided.begin(), avoided.end());
    excluded.insert(excluded.end(), query.history.failed().begin(), query.history.failed().end());
    const auto always = isStrict ? avoided : std::span<const std::string>();
    // Only first attempts probe. A retry that fails on a probed replica as well may use up the
    // attempts that the route allows.
    const bool mayProbe = route.isIdempotent() && excluded.empty();
    ReplicaPool::Query out{.prompt = query.request.sharedPrompt(),
                           .excluded = excluded,
                           .mayProbe = mayProbe,
                           .regions = route.regions};
    if (query.request.workspace)
        out.workspaceRegions = query.request.workspace->regions;
    if (query.software)
        out.software = *query.software;
    // The route limits how many replicas may get the request, not how often each one gets it.
    if (query.history.isLimitedToReached(route)) {
        out.excluded = always;
        out.only = query.history.reached();
    }
    const ReplicaPool::Choice choice = query.service.replicas.choose(out);
    if (choice.replica || out.excluded.size() == always.size())
        return choice;
    // All other replicas failed or are unavailable; a replica that failed may answer this time.
    out.excluded = always;
    return query.service.replicas.choose(out);
}

std::string_view RetryGate::denialOf(const Query &query, Verdict verdict)
{
    if (!query.history.mayRetry(*query.request.route))
        return "attempts";
    if (query.remaining < MinRetryTime)
        return "deadline";
    if (query.crashedReplicas >= MaxCrashedReplicas || query.isSuspect)
        return "crashes";
    if (!query.admission.mayRetry(verdict, query.hasForwardedEvent))
        return "overload";
    return {};
}

void RetryGate::countDenial()
{
    m_metrics.count("catkinloft_retries_denied_total", Metrics::label("reason", m_denial));
    if (m_denial == "budget")
        m_metrics.count("catkinloft_repeats_denied_total");
}

bool RetryGate::takeFromBudget(const Query &query)
{
    if (query.service.retryBudget.tryRetry(query.sharingRouters))
        return true;
    m_denial = "budget";
    return false;
}

bool RetryGate::permit(const Query &query, Verdict verdict)
{
    m_denial = denialOf(query, verdict);
    if (m_denial.empty() && takeFromBudget(query))
        return true;
    countDenial();
    return false;
}

bool RetryGate::isSilentTogether(const ServicePool &service, const SilentAttempt &attempt)
{
    return !attempt.isRelayed && !attempt.isOnLostPath
            && service.silence.isMostlySilent(attempt.stallLimit / SilentReplicaDivisor);
}

std::optional<SlowCallMonitor::Call> RetryGate::slowCall(const SilentAttempt &attempt)
{
    if (attempt.callRoute.empty() || attempt.isRelayed || attempt.isOnLostPath)
        return std::nullopt;
    return SlowCallMonitor::Call{.route = attempt.callRoute,
                                 .replica = attempt.replica,
                                 .time = attempt.time,
                                 .stallLimit = attempt.stallLimit};
}

ReplicaPool::Choice RetryGate::permitReplacement(const Query &query, const SilentAttempt &attempt)
{
    const bool wasDenied = !m_denial.empty();
    const std::optional<SlowCallMonitor::Call> call = slowCall(attempt);
    if (call && query.service.slowCalls.isSlow(*call))
        m_denial = "slow";
    else if (isSilentTogether(query.service, attempt))
        m_denial = "silence";
    else
        m_denial = denialOf(query, Verdict::MayHaveRun);
    std::vector<std::string> avoided;
    if (m_denial.empty() && !attempt.isRelayed && !attempt.isOnLostPath)
        avoided = query.service.silence.silent(attempt.stallLimit / SilentReplicaDivisor);
    avoided.push_back(attempt.replica);
    // Another router reaches a replica to which the path is lost.
    const ReplicaPool::Choice out = chooseAndTake(query, avoided, !attempt.isOnLostPath);
    if (!out.replica && !wasDenied)
        countDenial();
    return out;
}

ReplicaPool::Choice RetryGate::permitAfterAnswer(const Query &query, const std::string &replica)
{
    m_denial = denialOf(query, Verdict::Ran);
    const ReplicaPool::Choice out = chooseAndTake(query, {&replica, 1}, false);
    if (!out.replica)
        countDenial();
    return out;
}

ReplicaPool::Choice RetryGate::chooseAndTake(const Query &query,
                                             std::span<const std::string> avoided, bool isStrict)
{
    if (m_denial.empty())
        m_denial = query.blockedBy;
    if (!m_denial.empty())
        return {};
    const ReplicaPool::Choice out = choose(query, avoided, isStrict);
    if (!out.replica)
        m_denial = "no_replica";
    return out.replica && takeFromBudget(query) ? out : ReplicaPool::Choice();
}

} // namespace catkinloft
