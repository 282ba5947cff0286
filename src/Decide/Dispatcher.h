#pragma once

#include "Base/Clock.h"
#include "Base/Inventory.h"
#include "Base/Random.h"
#include "Decide/Job.h"
#include "Decide/RouterView.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief Decides for one pool (the engines of a model, or the replicas of a service) which job
/// runs where and when, which waits and which is refused. Free of sockets, threads and time of its
/// own.
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
    };

    explicit Dispatcher(Options options);

    /// \brief Takes over the engines of \a model and the rules of \a inventory.
    void setEngines(InventoryPtr inventory, std::string_view model);

    /// \brief Takes over the replicas of \a service and the rules of \a inventory.
    void setReplicas(InventoryPtr inventory, std::string_view service);

    /// \brief Takes over who shares the engines; empty: this router alone.
    void setRouters(std::vector<RouterView> routers);

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

private:
    struct Upstream
    {
        std::string name;
        std::string address;
        std::uint64_t id = 0;
        double weight = 1;
        bool leaving = false;
        double work = 0; ///< Of this router's attempts in progress.
        int inFlight = 0;
    };

    Result<Assignment> choose(const Job &job);
    const RouterView *ownerOf(const Upstream &upstream) const;

    Options m_options;
    InventoryPtr m_inventory;
    std::vector<Upstream> m_upstreams;
    std::vector<RouterView> m_routers;
    struct Running
    {
        std::string upstream;
        double work = 0;
    };
    std::map<JobId, Running> m_running;
};

} // namespace catkinloft
