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

/// \brief Decides for one pool (the engines of a model, or the replicas of a service) which job
/// runs where and when, which waits and which is refused. Free of sockets, threads and time of its
/// own.
///
/// Load: many routers before the same engines, each with a sliver of the traffic. Harm prevented:
/// counts that many routers keep apart let an engine exceed its bound by all of their errors. Each
/// engine therefore has one owner among the routers, by hashing; a chat's request passes through
/// the owner, where the count is exact, at the price of one hop when the caller did not come there.
/// While lists of routers disagree an engine has two owners for some seconds, and each counts what
/// the other reports.
class Dispatcher
{
public:
    /// \brief Called exactly once a job: at once, or later from poll(), finished() or a setter.
    using Decided = std::function<void(Result<Assignment>)>;

    struct Options
    {
        const Clock &clock;
        RandomSource random;
        std::string self; ///< Name of this router.
        std::string failureDomain = {}; ///< Of this router.
        int ownerGroup =
                OwnerGroups::DefaultSize; ///< Upstreams of which one router keeps the count.
    };

    /// \brief What was decided so far; only ever rises.
    struct Counters
    {
        std::uint64_t placed = 0; ///< Sent to an upstream or an owner.
        std::uint64_t relayed = 0; ///< Of these, sent to the owner of the engine.
        std::uint64_t unowned = 0; ///< Of these, on an engine that another router owns.
        std::uint64_t overflowed = 0; ///< Of these, not on the first engine in the chat's order.
        std::uint64_t queued = 0;
        std::uint64_t refused = 0;
    };

    explicit Dispatcher(Options options);

    /// \brief Takes over the engines of \a model and the rules of \a inventory.
    void setEngines(InventoryPtr inventory, std::string_view model);

    /// \brief Takes over the replicas of \a service and the rules of \a inventory.
    void setReplicas(InventoryPtr inventory, std::string_view service);

    /// \brief Takes over who shares the engines; empty: this router alone.
    void setRouters(std::vector<RouterView> routers);

    /// \brief Takes over what other routers have in progress; late and missing ones do no harm.
    void addLoadReports(std::span<const LoadReport> reports);

    /// \returns what this router has in progress on each upstream, to be told to the others.
    std::vector<LoadReport> ownLoad() const { return m_placement.ownLoad(m_options.self); }

    /// \brief Asks for a place for \a job.
    void submit(Job job, Decided decided);

    /// \brief Forgets a waiting job; its callback is not called any more.
    void cancel(JobId id);

    /// \brief Reports that the attempt of \a id ended, which frees its share of the upstream.
    void finished(JobId id, const AttemptReport &report);

    /// \brief Lets time pass: refuses what waited too long, places what fits now.
    void poll();

    /// \returns when poll() has to run next; TimePoint::max() while nothing waits.
    TimePoint nextDeadline() const;

    /// \brief Asks whether a failed attempt of \a job may be followed by another, and counts it.
    ///
    /// Whether the verdict allows a repetition is the caller's to check.
    bool mayRetry(const Job &job, Reason reason);

    /// \returns requests that wait or run here, by workspace.
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
        std::string owner; ///< Router that it was relayed to.
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
    std::map<std::string, TimePoint> m_suspects; ///< Owners that failed a relay, until when.
    std::unordered_map<JobId, Running> m_running;
    std::map<std::string, int> m_inFlight; ///< By workspace, waiting or running.
    std::deque<std::pair<Decided, Result<Assignment>>> m_pendingDecisions;
    bool m_flushing = false;
    TimePoint m_refreshAt;
    Counters m_counters;
};

} // namespace catkinloft
