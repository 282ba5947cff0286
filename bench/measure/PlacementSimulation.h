#pragma once

#include "Base/ManualClock.h"
#include "PlacementEngine.h"
#include "PlacementPolicy.h"
#include "PlacementScenario.h"

#include <array>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft::measure {

/// \brief Simulates many routers and engines in one process with a manual clock.
///
/// It models the delay and loss of messages, and no other property of networks or machines.
class PlacementSimulation
{
public:
    struct Options
    {
        std::string_view policy;
        PlacementScenario scenario;
        int engines = 9;
        int routers = 6;
        int largeWorkspaces = 3; ///< Of ten workspaces; they produce four fifths of the traffic.
        double seconds = 90;
        std::uint64_t seed = 1;
    };

    struct ClassResult
    {
        std::uint64_t arrived = 0;
        std::uint64_t refused = 0;
        std::uint64_t late = 0; ///< Finished after the deadline.
        std::vector<double> waits; ///< Times until a slot was assigned, in seconds.
    };

    struct Results
    {
        std::vector<double> skews; ///< Largest load divided by mean load, sampled every 0.1 s.
        std::vector<double> reuses; ///< Cache reuse in each second; -1 if no chat returned.
        double excess = 0; ///< Largest excess over bound plus own work, in mean loads.
        std::uint64_t placements = 0;
        std::uint64_t overBound = 0;
        double returningTokens = 0;
        double foundTokens = 0;
        double usefulSlotTime = 0; ///< Of requests within the deadline, in the measured period.
        double capacity = 0; ///< Slot seconds in the measured period.
        std::uint64_t relays = 0;
        std::uint64_t reportEntries = 0; ///< Sent by all routers.
        std::array<ClassResult, 3> classes; ///< Large, small and protected workspaces.
    };

    explicit PlacementSimulation(Options options);

    Results run();

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void after(double seconds, std::function<void()> action);
    void every(double seconds, std::function<void()> action);
    void arrive();
    void scheduleArrival();
    void submit(SimulatedJob *job, int router, int hops);
    void decided(SimulatedJob *job, int router, int engine, int relayTo, bool refused);
    void startJobs(int engine);
    void finish(SimulatedJob *job);
    void exchangeReports();
    void sample();
    void checkBound(const SimulatedJob &job);
    void setEngineLeaving(int engine, bool leaving);
    void propagateInventory();
    void scheduleFaults();
    InventoryPtr makeInventory();
    int pickWorkspace();
    void fillChat(SimulatedJob &job);
    bool isMeasured() const;
    double elapsed() const { return toSeconds(m_clock.now() - m_begin); }
    ClassResult &classOf(const SimulatedJob &job);

    struct Chat
    {
        std::uint64_t id = 0;
        double tokens = 0;
    };

    Options m_options;
    ManualClock m_clock;
    TimePoint m_begin;
    RandomSource m_random; ///< For the traffic, which is the same for every policy.
    RandomSource m_lossRandom; ///< For delays and losses.
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_revision = 0;
    std::vector<PlacementEngine> m_engines;
    std::vector<std::unique_ptr<PlacementPolicy>> m_routers;
    std::vector<std::vector<Chat>> m_chats; ///< By workspace.
    std::vector<std::unique_ptr<SimulatedJob>> m_jobs;
    double m_secondReturning = 0;
    double m_secondFound = 0;
    Results m_results;
};

} // namespace catkinloft::measure
