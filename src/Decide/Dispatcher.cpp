#include "Decide/Dispatcher.h"

#include "Base/Hash.h"

#include <algorithm>

#include <fmt/format.h>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// While jobs wait, capacity can also become free by expired reports, slow start or the end of an
/// ejection, none of which triggers a call.
constexpr Duration WaitingPollInterval = 50ms;

/// Interval at which old reports are removed and the mean is recomputed, in one pass over the pool.
constexpr Duration RefreshPeriod = 1s;

/// How long an owner that did not answer a relay is excluded. The lists of routers take this long
/// to agree that a router is gone.
constexpr Duration SuspectTime = 5s;

} // namespace

Dispatcher::Dispatcher(Options options)
    : m_options(std::move(options)), m_placement({.clock = m_options.clock,
                                                  .random = m_options.random,
                                                  .failureDomain = m_options.failureDomain,
                                                  .ownerGroup = m_options.ownerGroup})
{ }

void Dispatcher::setEngines(InventoryPtr inventory, std::string_view model)
{
    std::vector<Placement::Upstream> next;
    for (const std::size_t i : inventory->enginesOf(model)) {
        const Engine &it = inventory->engines[i];
        if (it.role != "serve")
            continue;
        next.push_back({.name = it.name,
                        .address = it.address,
                        .failureDomain = it.failureDomain,
                        .weight = it.weight,
                        .slots = it.slots,
                        .leaving = it.leaving});
    }
    setPool(std::move(inventory), std::move(next), model);
}

void Dispatcher::setReplicas(InventoryPtr inventory, std::string_view service)
{
    std::vector<Placement::Upstream> next;
    const Service *found = inventory->service(service);
    for (const ServiceReplica &it : found ? found->replicas : std::vector<ServiceReplica>()) {
        next.push_back({.name = it.address,
                        .address = it.address,
                        .failureDomain = it.failureDomain,
                        .weight = 1,
                        .slots = found->concurrency,
                        .leaving = it.leaving});
    }
    setPool(std::move(inventory), std::move(next), service);
}

void Dispatcher::setPool(InventoryPtr inventory, std::vector<Placement::Upstream> upstreams,
                         std::string_view name)
{
    m_placement.setUpstreams(std::move(upstreams), inventory->rules, hash64(name));
    m_retries.setShare(inventory->rules.retryShare);
    m_queue.setInventory(inventory);
    m_inventory = std::move(inventory);
    markOwned();
    placeQueued(Placement::None);
    flush();
}

void Dispatcher::setRouters(std::vector<RouterView> routers)
{
    std::erase_if(routers, [](const RouterView &it) { return it.leaving; });
    m_routers = std::move(routers);
    std::vector<ChatOrder::Node> nodes;
    for (const RouterView &it : m_routers)
        nodes.push_back({.id = hash64(it.name), .weight = 1});
    m_routerOrder.assign(nodes);
    markOwned();
}

void Dispatcher::markOwned()
{
    for (std::size_t i = 0; i < m_placement.size(); ++i)
        m_placement.setOwned(i, !ownerOf(i));
}

void Dispatcher::addLoadReports(std::span<const LoadReport> reports)
{
    m_placement.addReports(reports);
    placeQueued(Placement::None);
    flush();
}

const RouterView *Dispatcher::ownerOf(std::size_t upstream) const
{
    const std::size_t i = m_routerOrder.at(m_placement.groupOf(upstream));
    if (i == ChatOrder::None)
        return nullptr;
    const RouterView &it = m_routers[i];
    if (it.name == m_options.self)
        return nullptr;
    const auto suspect = m_suspects.find(it.name);
    const bool isSuspect = suspect != m_suspects.end() && suspect->second > m_options.clock.now();
    return isSuspect ? nullptr : &it;
}

Result<void> Dispatcher::admit(const Job &job)
{
    if (job.deadline <= m_options.clock.now())
        return Error{.reason = Reason::DeadlineExpired,
                     .detail = "the deadline had already passed when the request was dispatched"};
    const Workspace *workspace = m_inventory ? m_inventory->workspace(job.workspace) : nullptr;
    const auto found = m_inFlight.find(job.workspace);
    const int inFlight = found == m_inFlight.end() ? 0 : found->second;
    if (workspace && workspace->maxInFlight > 0 && inFlight >= workspace->maxInFlight)
        return Error{.reason = Reason::WorkspaceLimit,
                     .detail = "the workspace has its maximum number of requests in progress",
                     .retryAfter = m_queue.expectedWait(1),
                     .rule = "workspaces.max_in_flight",
                     .figures = {{"in_flight", static_cast<double>(inFlight)},
                                 {"max_in_flight", static_cast<double>(workspace->maxInFlight)}}};
    if (!m_placement.hasCandidate(job))
        return noUpstreamError();
    return outcome::success();
}

Error Dispatcher::noUpstreamError() const
{
    return {.reason = Reason::NoLiveEngine,
            .detail = "every upstream is leaving or has failed for this request",
            .retryAfter = 1s,
            .figures = {{"upstreams", static_cast<double>(m_placement.size())},
                        {"ejected", static_cast<double>(m_placement.health().ejectedCount())}}};
}

void Dispatcher::submit(Job job, Decided decided)
{
    if (job.excluded.empty())
        m_retries.recordFirstAttempt();
    const Result<void> admitted = admit(job);
    ++m_inFlight[job.workspace];
    const TimePoint now = m_options.clock.now();
    refresh(now);
    if (!admitted)
        refuse(job.workspace, decided, admitted.error());
    else if ((!m_queue.empty() || !place(job, now, decided, Placement::None))
             && !relayToFirstOwner(job, decided))
        enqueue(std::move(job), std::move(decided));
    flush();
}

bool Dispatcher::place(const Job &job, TimePoint submittedAt, const Decided &decided,
                       std::size_t hint)
{
    const std::size_t i = m_placement.choose(job, hint);
    if (i == Placement::None)
        return false;
    assign(job, submittedAt, decided, i);
    return true;
}

/// Called when no upstream has room according to this router. The owner of the chat's first engine
/// has the exact count, and the queue in which the job waits in fair order.
bool Dispatcher::relayToFirstOwner(const Job &job, const Decided &decided)
{
    if (job.hops > 0 || job.chatKey == 0)
        return false;
    const std::size_t i = m_placement.firstUsable(job);
    if (i == Placement::None || !ownerOf(i))
        return false;
    assign(job, m_options.clock.now(), decided, i);
    return true;
}

void Dispatcher::assign(const Job &job, TimePoint submittedAt, const Decided &decided,
                        std::size_t i)
{
    const Placement::Upstream &upstream = m_placement.upstream(i);
    const RouterView *owner = job.chatKey != 0 ? ownerOf(i) : nullptr;
    const bool relayed = owner && job.hops == 0;
    const bool first = job.chatKey == 0 || m_placement.firstUsable(job) == i;
    ++m_counters.placed;
    m_counters.relayed += relayed ? 1 : 0;
    m_counters.unowned += owner && !relayed ? 1 : 0;
    m_counters.overflowed += first ? 0 : 1;
    const char *why = job.chatKey == 0 ? "less loaded of two"
            : first                    ? "first in the chat's order"
                                       : "next in the chat's order within the load bound";
    Assignment out{.upstream = upstream.name,
                   .address = relayed ? owner->callerAddress : upstream.address,
                   .relayed = relayed,
                   .waited = m_options.clock.now() - submittedAt,
                   .why = why};
    m_running[job.id] = {.placed = m_placement.start(i, job, relayed),
                         .workspace = job.workspace,
                         .owner = relayed ? owner->name : std::string()};
    m_pendingDecisions.emplace_back(decided, std::move(out));
}

void Dispatcher::enqueue(Job job, Decided decided)
{
    ++m_counters.queued;
    const TimePoint now = m_options.clock.now();
    auto refused = m_queue.push({.job = std::move(job),
                                 .decided = std::move(decided),
                                 .submittedAt = now,
                                 .expiresAt = now},
                                now);
    if (refused)
        refuse(refused->first.job.workspace, refused->first.decided, std::move(refused->second));
}

void Dispatcher::placeQueued(std::size_t hint)
{
    while (const AdmissionQueue::Entry *it = m_queue.front()) {
        if (!m_placement.hasCandidate(it->job)) {
            const AdmissionQueue::Entry lost = m_queue.pop();
            refuse(lost.job.workspace, lost.decided, noUpstreamError());
            continue;
        }
        const std::size_t i = m_placement.choose(it->job, hint);
        if (i == Placement::None)
            return;
        const AdmissionQueue::Entry entry = m_queue.pop();
        assign(entry.job, entry.submittedAt, entry.decided, i);
    }
}

void Dispatcher::refuse(const std::string &workspace, const Decided &decided, Error error)
{
    ++m_counters.refused;
    release(workspace);
    m_pendingDecisions.emplace_back(decided, std::move(error));
}

void Dispatcher::release(const std::string &workspace)
{
    const auto found = m_inFlight.find(workspace);
    if (found != m_inFlight.end() && --found->second == 0)
        m_inFlight.erase(found);
}

/// Callbacks may call functions of this class, so they are called last and one after the other.
void Dispatcher::flush()
{
    if (m_flushing)
        return;
    m_flushing = true;
    while (!m_pendingDecisions.empty()) {
        auto [decided, result] = std::move(m_pendingDecisions.front());
        m_pendingDecisions.pop_front();
        decided(std::move(result));
    }
    m_flushing = false;
}

void Dispatcher::cancel(JobId id)
{
    // The workspace of a waiting job is only known to the queue.
    if (const std::string workspace = m_queue.workspaceOf(id); m_queue.remove(id))
        release(workspace);
}

void Dispatcher::finished(JobId id, const AttemptReport &report)
{
    const auto running = m_running.find(id);
    if (running == m_running.end())
        return;
    const TimePoint now = m_options.clock.now();
    const Running it = std::move(running->second);
    m_running.erase(running);
    release(it.workspace);
    const bool lost = report.reason == Reason::UpstreamUnreachable
            || report.reason == Reason::UpstreamBroken || report.reason == Reason::UpstreamInvalid
            || report.reason == Reason::UpstreamTimeout;
    if (!it.owner.empty() && !report.succeeded && lost)
        suspect(it.owner, now);
    const std::size_t freed = m_placement.stop(it.placed, report);
    m_queue.recordCompletion(now);
    placeQueued(freed);
    flush();
}

/// While an owner does not answer, this router counts the load of its upstreams itself, so that the
/// load bound still applies to the jobs that this router sends.
void Dispatcher::suspect(const std::string &owner, TimePoint now)
{
    const bool added = m_suspects.insert_or_assign(owner, now + SuspectTime).second;
    if (added)
        markOwned();
}

Error Dispatcher::expiredError(const AdmissionQueue::Entry &entry) const
{
    const TimePoint now = m_options.clock.now();
    const bool byRule = now - entry.submittedAt >= m_inventory->rules.queueSojourn;
    return {.reason = byRule ? Reason::SojournExceeded : Reason::DeadlineExpired,
            .detail = byRule ? "no upstream had capacity within the maximum time in the queue"
                             : "no upstream had capacity within half of the time to the deadline",
            .retryAfter = m_queue.expectedWait(m_queue.size() + 1),
            .rule = "rules.queue_sojourn",
            .figures = {{"waited_s", toSeconds(now - entry.submittedAt)},
                        {"waiting_requests", static_cast<double>(m_queue.size())},
                        {"mean_load_tokens", m_placement.meanLoad()},
                        {"load_bound", m_inventory->rules.loadBound}}};
}

void Dispatcher::refresh(TimePoint now)
{
    if (now - m_refreshAt < RefreshPeriod)
        return;
    m_refreshAt = now;
    m_placement.refresh();
    if (std::erase_if(m_suspects, [&](const auto &it) { return it.second <= now; }) > 0)
        markOwned();
}

void Dispatcher::poll()
{
    const TimePoint now = m_options.clock.now();
    refresh(now);
    placeQueued(Placement::None);
    while (const auto expired = m_queue.popExpired(now))
        refuse(expired->job.workspace, expired->decided, expiredError(*expired));
    flush();
}

TimePoint Dispatcher::nextDeadline() const
{
    if (m_queue.empty())
        return TimePoint::max();
    return std::min(m_queue.nextExpiry(), m_options.clock.now() + WaitingPollInterval);
}

bool Dispatcher::mayRetry(const Job &job, Reason reason)
{
    // A pool that has waiting jobs or that refused this one has no capacity for a second attempt.
    if (reason == Reason::UpstreamRefused || !m_queue.empty())
        return false;
    return m_placement.hasCandidate(job) && m_retries.tryRetry();
}

} // namespace catkinloft
