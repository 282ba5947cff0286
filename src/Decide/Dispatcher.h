#pragma once

#include "Base/Clock.h"
#include "Base/Inventory.h"
#include "Base/Random.h"
#include "Decide/AdmissionQueue.h"
#include "Decide/Job.h"
#include "Decide/LoadReport.h"
#include "Decide/OwnerGroups.h"
#include "Decide/Placement.h"
#include "Decide/RetryBudget.h"
#include "Decide/RouterView.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace catkinloft {

/// \brief Decides for one pool (the engines of a model or the replicas of a service) which jobs run
/// on which upstream, which ones wait and which ones are refused. Uses no sockets, threads or
/// system clock.
///
/// Handles many routers in front of the same engines, each with a small part of the traffic.
/// Prevents an engine from exceeding its load bound by the sum of the errors of their separate
/// counts. Each engine therefore has one owner among the routers, chosen by hashing. A request of a
/// chat passes through the owner, where the count is exact. This takes one additional hop if the
/// caller uses another router. While the routers' lists of routers differ, an engine can have two
/// owners for a few seconds; each of them adds the load that the other reports.
class Dispatcher
{
public:
    /// \brief Called exactly once per job, unless it is cancelled: by submit() itself, or later by
    /// poll(), finished(), addLoadReports(), setEngines() or setReplicas().
    using Decided = std::function<void(Result<Assignment>)>;

    struct Options
    {
        const Clock &clock;
        RandomSource random;
        std::string self; ///< Name of this router.
        std::string failureDomain = {}; ///< Of this router.
        int ownerGroup = OwnerGroups::DefaultSize; ///< Upstreams per group of one owner.
    };

    /// \brief Numbers of decisions so far. They never decrease.
    struct Counters
    {
        std::uint64_t placed = 0; ///< Assigned to an upstream or an owner.
        std::uint64_t relayed = 0; ///< Of these, relayed to the owner of the engine.
        std::uint64_t unowned = 0; ///< Of these, on an engine that another router owns.
        std::uint64_t overflowed = 0; ///< Of these, not on the first usable engine of the chat.
        std::uint64_t queued = 0;
        std::uint64_t refused = 0;
    };

    explicit Dispatcher(Options options);

    /// \brief Uses the engines of \a model and the rules of \a inventory from now on.
    void setEngines(InventoryPtr inventory, std::string_view model);

    /// \brief Uses the replicas of \a service and the rules of \a inventory from now on.
    void setReplicas(InventoryPtr inventory, std::string_view service);

    /// \brief Sets the routers that share the engines; empty: only this router uses them.
    void setRouters(std::vector<RouterView> routers);

    /// \brief Uses \a reports about the work that other routers have in progress. They may be late
    /// or missing.
    void addLoadReports(std::span<const LoadReport> reports);

    /// \returns what this router has in progress on each upstream, for the other routers.
    std::vector<LoadReport> ownLoad() const { return m_placement.ownLoad(m_options.self); }

    /// \brief Requests an upstream for \a job.
    void submit(Job job, Decided decided);

    /// \brief Removes a waiting job. Its callback is not called.
    void cancel(JobId id);

    /// \brief Records that the attempt of job \a id finished, which frees its share of the
    /// upstream.
    void finished(JobId id, const AttemptReport &report);

    /// \brief Assigns waiting jobs that fit now and refuses those that have expired.
    void poll();

    /// \returns when poll() must be called next; TimePoint::max() while no job waits.
    TimePoint nextDeadline() const;

    /// \brief Checks whether a failed attempt of \a job may be retried, and takes the retry from
    /// the budget.
    ///
    /// The calling code has to check whether the verdict allows a retry.
    bool mayRetry(const Job &job, Reason reason);

    /// \returns the number of requests that wait or run at this router, by workspace.
    const std::map<std::string, int> &inFlight() const { return m_inFlight; }

    const Counters &counters() const { return m_counters; }
    const Placement &placement() const { return m_placement; }
    std::size_t waiting() const { return m_queue.size(); }
    double retryTokens() const { return m_retries.tokens(); }

private:
    struct Running
    {
        Placement::Running placed;
        std::string workspace;
        std::string owner; ///< Router to which it was relayed; empty if it was not.
    };

    void setPool(InventoryPtr inventory, std::vector<Placement::Upstream> upstreams,
                 std::string_view name);
    void markOwned();
    void suspect(const std::string &owner, TimePoint now);
    const RouterView *ownerOf(std::size_t upstream) const;
    Result<void> admit(const Job &job);
    bool place(const Job &job, TimePoint submittedAt, const Decided &decided, std::size_t hint);
    bool relayToFirstOwner(const Job &job, const Decided &decided);
    void assign(const Job &job, TimePoint submittedAt, const Decided &decided, std::size_t i);
    void enqueue(Job job, Decided decided);
    void placeQueued(std::size_t hint);
    void refuse(const std::string &workspace, const Decided &decided, Error error);
    Error expiredError(const AdmissionQueue::Entry &entry) const;
    Error noUpstreamError() const;
    void flush();
    void refresh(TimePoint now);
    void release(const std::string &workspace);

    Options m_options;
    InventoryPtr m_inventory;
    Placement m_placement;
    AdmissionQueue m_queue;
    RetryBudget m_retries;
    std::vector<RouterView> m_routers;
    ChatOrder m_routerOrder;
    /// Owners that failed a relay, and until when each is excluded.
    std::map<std::string, TimePoint> m_suspects;
    std::unordered_map<JobId, Running> m_running;
    std::map<std::string, int> m_inFlight; ///< Waiting and running jobs, by workspace.
    std::deque<std::pair<Decided, Result<Assignment>>> m_pendingDecisions;
    bool m_flushing = false;
    TimePoint m_refreshAt;
    Counters m_counters;
};

} // namespace catkinloft
