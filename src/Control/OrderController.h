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

/// \brief Brings the engines to the state that the inventory wants: reads each one's state, gives
/// the next order where it differs and reads back. Orders only while it holds the lease of the
/// engine's group.
///
/// Load: 10,000 engines in 256 groups, a new version for thousands of them at once.
/// Harm prevented: orders of a holder that was paused past its lease, a weight store asked beyond
/// its limit, and readings that eat the node's budget for control traffic.
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
        /// Whether this router comes first for a key among the routers that it knows. A hint only:
        /// where two believe it, the lease decides.
        std::function<bool(std::uint64_t key)> isPrimaryFor;
        /// Shortest time between two readings of one engine: drift is repaired within it.
        Duration checkInterval = std::chrono::seconds(10);
        /// A reading is about 450 bytes with headers, so this is 15% of 3 KB/s. A group of 39
        /// engines is gone through in 40 s.
        double checksPerSecond = 1;
        /// Whether there is room for control traffic that can wait.
        std::function<bool()> mayDefer = [] { return true; };
    };

    explicit OrderController(Options options);

    /// \brief Takes over what is wanted; engines of which something else is wanted than before
    /// are read first.
    void setInventory(InventoryPtr inventory);

    /// \brief Asks isPrimaryFor() anew for each group.
    void routersChanged();

    void poll();

    /// \returns when poll() has to run next.
    TimePoint nextDeadline() const;

    /// \returns groups whose lease is held now.
    std::size_t groupsHeld() const;

private:
    struct Target
    {
        Engine wanted;
        std::size_t group = 0;
        TimePoint nextCheck;
        bool busy = false; ///< A call to it is under way.
        int failures = 0; ///< In a row.
        std::string loadedVersion; ///< That it was made to load, not to run, by this holder.
        std::string lastCause; ///< Of the step that was withheld, so that it's logged once.
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

    /// \returns \a then, called with the target if it is still there and this is too; whatever the
    /// answer, the call to the engine is over.
    template<typename T>
    std::function<void(Result<T>)> receiver(const std::string &name,
                                            std::function<void(Target &, Result<T>)> then);

    Options m_options;
    InventoryPtr m_inventory;
    std::vector<bool> m_wantedGroups = std::vector<bool>(OrderGroupCount);
    std::map<std::size_t, Group> m_groups;
    std::map<std::string, Target> m_targets; ///< Of the groups that are wanted here.
    WeightBudget m_weights;
    std::set<std::string> m_pendingLoads; ///< Engines that need the weight store.
    std::string m_loadingEngine; ///< The one of them that uses this router's slot; empty: none.
    TimePoint m_nextReading; ///< Not before this one, for the budget.
    std::uint64_t m_orders = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace catkinloft
