#pragma once

#include <string_view>

namespace catkinloft::measure {

/// \brief The load and faults of one simulation run.
struct PlacementScenario
{
    std::string_view name;
    double load = 0.6; ///< Arriving work as a share of the engines' capacity.
    double surge = 1; ///< Factor on the arrivals of workspace 0 in the middle third of the run.
    int leavesPerMinute = 0; ///< Engines that leave for half a minute and return empty.
    bool flapping = false; ///< Engine 0 leaves and returns every five seconds.
    double slowness = 1; ///< Factor on the durations of engine 0 in the middle third.
    double longShare = 0.1; ///< Share of chats with a long first prompt.
    double listLag = 0.05; ///< Seconds until the last router receives a changed list.
    double reportLoss = 0; ///< Share of reports that are lost.
};

/// The default load of 0.6 leaves enough capacity for the loss of two engines of nine.
inline constexpr PlacementScenario PlacementScenarios[] = {
        {.name = "steady"},
        {.name = "surge", .surge = 20},
        {.name = "churn", .leavesPerMinute = 2},
        {.name = "flapping", .flapping = true},
        {.name = "slow_engine", .slowness = 5},
        {.name = "long_short_mix", .longShare = 0.3},
        {.name = "saturation", .load = 1.5},
        {.name = "lists_disagree", .leavesPerMinute = 2, .listLag = 5, .reportLoss = 0.3},
};

} // namespace catkinloft::measure
