#pragma once

#include "Base/Random.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief Explores the sequences of events of a simulation up to a depth. Each sequence starts from
/// the initial state.
///
/// A simulation has enabled(), which returns the events that may come next; violation(), which
/// names a guarantee that is violated; and finishAll(), which ends what is in progress and then
/// does the same.
template<typename Simulation>
struct SequenceExploration
{
    std::function<std::unique_ptr<Simulation>()> start;
    std::size_t depth = 0;
    std::size_t states = 0;
    std::size_t sequences = 0;
    std::string violation = {};

    /// Runs all sequences until one violates a guarantee.
    void run()
    {
        struct Choice
        {
            std::size_t taken;
            std::size_t of;
        };
        std::vector<Choice> choices;
        do {
            const std::unique_ptr<Simulation> simulation = start();
            for (std::size_t i = 0; i < depth && violation.empty(); ++i) {
                const auto events = simulation->enabled();
                if (events.empty())
                    break;
                if (i == choices.size()) {
                    choices.push_back({0, events.size()});
                    ++states;
                }
                events[choices[i].taken]();
                violation = simulation->violation();
            }
            if (violation.empty())
                violation = simulation->finishAll();
            ++sequences;
            while (!choices.empty() && choices.back().taken + 1 == choices.back().of)
                choices.pop_back();
            if (!choices.empty()) {
                ++choices.back().taken;
                ++states;
            }
        } while (!choices.empty() && violation.empty());
    }

    /// Runs random sequences, for depths at which exploring all of them takes too long.
    void sample(int n, std::uint64_t seed)
    {
        const RandomSource random = seededRandom(seed);
        for (int k = 0; k < n && violation.empty(); ++k) {
            const std::unique_ptr<Simulation> simulation = start();
            for (std::size_t i = 0; i < depth && violation.empty(); ++i) {
                const auto events = simulation->enabled();
                if (!events.empty())
                    events[below(random, events.size())]();
                violation = simulation->violation();
            }
            if (violation.empty())
                violation = simulation->finishAll();
        }
    }
};

} // namespace catkinloft
