#pragma once

#include "Base/Inventory.h"
#include "Base/Metrics.h"
#include "Control/EngineClient.h"
#include "Control/LeaseManager.h"
#include "Control/OrderPlan.h"
#include "Control/WeightBudget.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief Reconciles the engines with the inventory: reads the state of each engine, sends the next
/// order if it differs from the inventory and reads the state again. Orders are only sent while the
/// lease of the engine's group is held.
///
/// Handles 10,000 engines in 256 groups and a new version for thousands of them at once. Prevents
/// orders of a holder that was paused past the expiry of its lease, more requests to the weight
/// store than it allows, and reads that use up the node's budget for control traffic.
class OrderController
{
public:
    struct Options
    {
        const Clock &clock;
        RandomSource random;
        TableService &table;
        EngineClient &engines;
        Metrics &metrics;
        std::string self; ///< Name of this router.
        /// Whether this router is the first in the rendezvous order of a key among the routers that
        /// it knows. Only a hint: if it is true for two routers, the lease decides.
        std::function<bool(std::uint64_t key)> isPrimaryFor;
        /// Shortest time between two reads of an engine; drift is repaired in about this time.
        Duration checkInterval = std::chrono::seconds(10);
        /// A read takes about 450 bytes with headers, so this is 15% of 3 KB/s. A group of 39
        /// engines is read in 40 s.
        double checksPerSecond = 1;
        /// Whether the budget has room for deferrable control traffic.
        std::function<bool()> mayDefer = [] { return true; };
    };

    explicit OrderController(Options options);

    /// \brief Sets the target state; engines whose target state changed are read first.
    void setInventory(InventoryPtr inventory);

    /// \brief Evaluates Options::isPrimaryFor again for each group.
    void routersChanged();

    void poll();

    /// \returns when poll() must be called next.
    TimePoint nextDeadline() const;

    /// \returns the number of groups whose lease is held now.
    std::size_t groupsHeld() const;

private:
    struct Target
    {
        Engine wanted;
        std::size_t group = 0;
        TimePoint nextCheck;
        bool busy = false; ///< A call to the engine is in progress.
        int failures = 0; ///< Consecutive failures.
        std::string loadedVersion; ///< Version whose weights this holder made the engine load.
        std::string lastCause; ///< Cause of the withheld order, so that it is logged once.
    };

    struct Group
    {
        std::unique_ptr<LeaseManager> lease;
        std::vector<std::string> engines;
    };

    void rebuild();
    void addTarget(const Engine &engine, std::map<std::string, Target> &into);
    LeaseManager &leaseOf(const Target &target) { return *m_groups.at(target.group).lease; }
    std::vector<Target *> heldTargets();
    void checkMostOverdue();
    void check(const std::string &name, Target &target);
    void handleState(const std::string &name, const EngineState &state);
    void withhold(Target &target, const OrderStep &step);
    bool acquireLoadSlot(const std::string &name, Target &target);
    void requestWeights(const std::string &name, const OrderStep &step);
    void confirmLease(const std::string &name, const OrderStep &step);
    void sendOrder(const std::string &name, const OrderStep &step);
    void handleAnswer(const std::string &name, const EngineOrder &order,
                      const Result<OrderAnswer> &answer);
    void handleFailure(Target &target, std::string_view what, const Error &error);
    void scheduleCheck(Target &target, Duration delay);
    void cancelLoad(const std::string &name);
    void dropLostLoads();

    /// \returns a callback that marks the target as no longer busy and calls \a then with it, if
    /// the target and this object still exist.
    template<typename T>
    std::function<void(Result<T>)> receiver(const std::string &name,
                                            std::function<void(Target &, Result<T>)> then);

    Options m_options;
    InventoryPtr m_inventory;
    std::vector<bool> m_wantedGroups = std::vector<bool>(OrderGroupCount);
    std::map<std::size_t, Group> m_groups;
    std::map<std::string, Target> m_targets; ///< Engines of the groups that this router wants.
    WeightBudget m_weights;
    std::set<std::string> m_pendingLoads; ///< Engines that have to load from the weight store.
    std::string
            m_loadingEngine; ///< The engine that uses this router's weight store slot; empty: none.
    TimePoint m_nextReading; ///< No read before this time, to stay within the budget.
    std::uint64_t m_orders = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace catkinloft
