#pragma once

#include "Base/Random.h"
#include "Decide/Dispatcher.h"
#include "PlacementEngine.h"

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace catkinloft::measure {

/// \brief The placement decisions of one router in the simulation.
class PlacementPolicy
{
public:
    /// Called once per job with an engine, and the owning router if the job is relayed to it (else
    /// -1), or with a refusal.
    using Decided = std::function<void(int engine, int relayTo, bool refused)>;

    virtual ~PlacementPolicy() = default;

    virtual void submit(const SimulatedJob &job, int hops, Decided decided) = 0;
    virtual void finished(const SimulatedJob &job, bool relayed, Duration total) = 0;
    virtual void setInventory(const InventoryPtr &inventory) = 0;

    /// \brief Receives the published loads of engines and the load reports of other routers. Each
    /// policy uses only those that it supports.
    virtual void updateLoads(std::span<const double> engineLoads,
                             std::span<const LoadReport> reports) = 0;
    virtual std::vector<LoadReport> report() { return {}; }
    virtual void poll() { }
};

/// \brief Options of one router's policy.
struct PlacementPolicyOptions
{
    std::string_view name; ///< One of placementPolicies().
    const Clock &clock;
    std::uint64_t seed = 0;
    int router = 0;
    int routers = 1;
    int engines = 0;
};

std::unique_ptr<PlacementPolicy> makePlacementPolicy(const PlacementPolicyOptions &options);

} // namespace catkinloft::measure
