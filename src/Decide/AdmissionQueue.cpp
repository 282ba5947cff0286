#include "Decide/AdmissionQueue.h"

#include <algorithm>
#include <array>
#include <cmath>

#include <fmt/format.h>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// Shares of the protected and the other workspaces while both wait. The smaller share bounds how
/// much the other workspaces can be slowed down.
constexpr std::array ClassWeights = {4.0, 1.0};

/// Maximum length of the queue over all workspaces, as a multiple of `rules.queue_length`. A longer
/// queue would only hold requests that later expire by `rules.queue_sojourn`.
constexpr std::size_t MaxFullQueues = 8;

/// Bounds of Retry-After. A shorter time would cause retries that are refused again; after a longer
/// time, callers would leave freed capacity unused.
constexpr Duration MinRetryAfter = 100ms;
constexpr Duration MaxRetryAfter = 30s;

constexpr double IntervalSmoothing = 0.05;

} // namespace

const Rules &AdmissionQueue::rules() const
{
    static const Rules defaults;
    return m_inventory ? m_inventory->rules : defaults;
}

AdmissionQueue::Flow &AdmissionQueue::flowOf(const std::string &workspace)
{
    Flow &flow = m_flows[workspace];
    if (flow.jobs.empty()) {
        // Only an idle flow may change its class, because a flow with jobs is stored in its old
        // class.
        const Workspace *found = m_inventory ? m_inventory->workspace(workspace) : nullptr;
        flow.workspace = workspace;
        flow.weight = found ? found->weight : 1;
        flow.isProtected = found && found->isProtected;
    }
    return flow;
}

std::optional<std::pair<AdmissionQueue::Entry, Error>> AdmissionQueue::push(Entry entry,
                                                                            TimePoint now)
{
    Flow &flow = flowOf(entry.job.workspace);
    if (flow.jobs.size() >= static_cast<std::size_t>(rules().queueLength)) {
        Error error = fullError(flow);
        return std::pair(std::move(entry), std::move(error));
    }
    // Half of the remaining time is left to the caller for another attempt after a refusal.
    entry.submittedAt = now;
    entry.expiresAt = now + std::min(rules().queueSojourn, (entry.job.deadline - now) / 2);
    Class &group = classOf(flow);
    if (flow.jobs.empty()) {
        if (group.flows.empty())
            group.start = std::max(group.start, m_classTime);
        flow.start = std::max(flow.start, group.virtualTime);
        group.flows.emplace(flow.start, flow.workspace);
    }
    const auto after = std::find_if(flow.jobs.begin(), flow.jobs.end(), [&](const Entry &it) {
        return it.job.priority < entry.job.priority;
    });
    const JobId id = entry.job.id;
    m_expiries.emplace(entry.expiresAt, id);
    m_byId[id] = {.workspace = flow.workspace, .it = flow.jobs.insert(after, std::move(entry))};
    if (size() <= MaxFullQueues * static_cast<std::size_t>(rules().queueLength))
        return std::nullopt;
    return shed();
}

Error AdmissionQueue::fullError(const Flow &flow) const
{
    return {.reason = Reason::QueueFull,
            .detail = fmt::format("{} requests of workspace '{}' wait on this router",
                                  flow.jobs.size(), flow.workspace),
            .retryAfter = expectedWait(flow.jobs.size()),
            .rule = "rules.queue_length",
            .figures = {{"waiting_requests", static_cast<double>(flow.jobs.size())},
                        {"queue_length", static_cast<double>(rules().queueLength)}}};
}

/// Handles surges of many workspaces at once. Removes the last job of the workspace whose queue is
/// longest in relation to its weight. Protected workspaces lose a job only if no other workspace
/// has jobs in the queue.
std::pair<AdmissionQueue::Entry, Error> AdmissionQueue::shed()
{
    Flow *victim = nullptr;
    for (const Class *group : {&m_classes[1], &m_classes[0]}) {
        for (const FlowKey &key : group->flows) {
            Flow &it = m_flows[key.second];
            if (!victim
                || static_cast<double>(it.jobs.size()) / it.weight
                        > static_cast<double>(victim->jobs.size()) / victim->weight)
                victim = &it;
        }
        if (victim)
            break;
    }
    const std::size_t waiting = size();
    Error error{.reason = Reason::ShedByRule,
                .detail = "the workspace has the longest queue in relation to its weight",
                .retryAfter = expectedWait(victim->jobs.size()),
                .rule = "workspaces.protected",
                .figures = {{"waiting_requests", static_cast<double>(waiting)},
                            {"workspace_waiting", static_cast<double>(victim->jobs.size())}}};
    return {removeEntry(*victim, std::prev(victim->jobs.end())), std::move(error)};
}

const AdmissionQueue::Flow *AdmissionQueue::nextFlow() const
{
    const Class *best = nullptr;
    for (const Class &it : m_classes) {
        if (!it.flows.empty() && (!best || it.start < best->start))
            best = &it;
    }
    return best ? &m_flows.at(best->flows.begin()->second) : nullptr;
}

const AdmissionQueue::Entry *AdmissionQueue::front() const
{
    const Flow *flow = nextFlow();
    return flow ? &flow->jobs.front() : nullptr;
}

AdmissionQueue::Entry AdmissionQueue::pop()
{
    Flow &flow = m_flows.at(nextFlow()->workspace);
    Class &group = classOf(flow);
    const double work = std::max(1.0, flow.jobs.front().job.work);
    m_classTime = group.start;
    group.start += work / ClassWeights[flow.isProtected ? 0 : 1];
    group.virtualTime = flow.start;
    group.flows.erase({flow.start, flow.workspace});
    flow.start += work / flow.weight;
    group.flows.emplace(flow.start, flow.workspace);
    return removeEntry(flow, flow.jobs.begin());
}

AdmissionQueue::Entry AdmissionQueue::removeEntry(Flow &flow, std::list<Entry>::iterator it)
{
    Entry out = std::move(*it);
    flow.jobs.erase(it);
    m_expiries.erase({out.expiresAt, out.job.id});
    m_byId.erase(out.job.id);
    if (!flow.jobs.empty())
        return out;
    Class &group = classOf(flow);
    group.flows.erase({flow.start, flow.workspace});
    // An idle flow that is behind the virtual time of its class restarts at that time. Erasing it
    // does not change the order and bounds the memory when there are thousands of workspaces.
    if (flow.start <= group.virtualTime || empty())
        m_flows.erase(flow.workspace);
    return out;
}

std::optional<AdmissionQueue::Entry> AdmissionQueue::popExpired(TimePoint now)
{
    if (m_expiries.empty() || m_expiries.begin()->first > now)
        return std::nullopt;
    const Position position = m_byId.at(m_expiries.begin()->second);
    return removeEntry(m_flows.at(position.workspace), position.it);
}

bool AdmissionQueue::remove(JobId id)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end())
        return false;
    const Position position = found->second;
    removeEntry(m_flows.at(position.workspace), position.it);
    return true;
}

void AdmissionQueue::recordCompletion(TimePoint now)
{
    if (m_lastCompletion != TimePoint()) {
        const double gap = toSeconds(now - m_lastCompletion);
        m_completionInterval +=
                (m_completionInterval == 0 ? 1 : IntervalSmoothing) * (gap - m_completionInterval);
    }
    m_lastCompletion = now;
}

Duration AdmissionQueue::expectedWait(std::size_t jobs) const
{
    // The rate is unknown before the first completions. One second is the usual duration of a
    // request.
    const double interval = m_completionInterval == 0 ? 1 : m_completionInterval;
    return std::clamp(fromSeconds(interval * static_cast<double>(jobs)), MinRetryAfter,
                      MaxRetryAfter);
}

TimePoint AdmissionQueue::nextExpiry() const
{
    return m_expiries.empty() ? TimePoint::max() : m_expiries.begin()->first;
}

std::string AdmissionQueue::workspaceOf(JobId id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? std::string() : found->second.workspace;
}

std::size_t AdmissionQueue::lengthOf(const std::string &workspace) const
{
    const auto found = m_flows.find(workspace);
    return found == m_flows.end() ? 0 : found->second.jobs.size();
}

} // namespace catkinloft
