#include "Base/Hash.h"
#include "Base/ManualClock.h"
#include "Decide/ChatOrder.h"
#include "Decide/Placement.h"
#include "Decide/Rendezvous.h"

#include <benchmark/benchmark.h>

#include <fmt/format.h>

using namespace catkinloft;

namespace {

constexpr std::int64_t MinUpstreams = 10;
constexpr std::int64_t MaxUpstreams = 10'000;

std::vector<Placement::Upstream> upstreams(std::int64_t n)
{
    std::vector<Placement::Upstream> out;
    for (std::int64_t i = 0; i < n; ++i)
        out.push_back({.name = fmt::format("engine-{}", i), .address = {}, .failureDomain = {}});
    return out;
}

/// Starts and stops one job in a pool that runs one job per engine.
void placementUnderLoad(benchmark::State &state)
{
    const ManualClock clock;
    Placement placement({.clock = clock, .random = seededRandom(1), .failureDomain = "d"});
    placement.setUpstreams(upstreams(state.range(0)), Rules());
    std::vector<Placement::Running> running;
    Job job{.workspace = "w", .work = 100};
    std::uint64_t key = 0;
    const auto start = [&] {
        job.chatKey = hashCombine(1, ++key);
        return placement.start(placement.choose(job), job, false);
    };
    for (std::int64_t i = 0; i < state.range(0); ++i)
        running.push_back(start());
    const AttemptReport report{.succeeded = true};
    std::size_t oldest = 0;
    for (auto _ : state) {
        placement.stop(running[oldest], report);
        running[oldest] = start();
        oldest = (oldest + 1) % running.size();
    }
}
BENCHMARK(placementUnderLoad)->RangeMultiplier(10)->Range(MinUpstreams, MaxUpstreams);

/// Looks up only the first engine in a chat's order.
void chatOrder(benchmark::State &state)
{
    std::vector<ChatOrder::Node> nodes;
    for (std::int64_t i = 0; i < state.range(0); ++i)
        nodes.push_back({.id = hashCombine(2, static_cast<std::uint64_t>(i)), .weight = 1});
    ChatOrder order;
    order.assign(nodes);
    std::uint64_t key = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(order.at(++key));
}
BENCHMARK(chatOrder)->RangeMultiplier(10)->Range(MinUpstreams, MaxUpstreams);

/// The alternative to ChatOrder: rendezvous hashing that computes a score for every node.
void plainRendezvous(benchmark::State &state)
{
    std::uint64_t key = 0;
    for (auto _ : state) {
        double best = 0;
        ++key;
        for (std::int64_t i = 0; i < state.range(0); ++i)
            best = std::max(best, rendezvousScore(key, static_cast<std::uint64_t>(i), 1));
        benchmark::DoNotOptimize(best);
    }
}
BENCHMARK(plainRendezvous)->RangeMultiplier(10)->Range(MinUpstreams, MaxUpstreams);

/// The cost of a change of the pool.
void rebuild(benchmark::State &state)
{
    const ManualClock clock;
    Placement placement({.clock = clock, .random = seededRandom(1), .failureDomain = "d"});
    for (auto _ : state)
        placement.setUpstreams(upstreams(state.range(0)), Rules());
}
BENCHMARK(rebuild)->RangeMultiplier(10)->Range(MinUpstreams, MaxUpstreams);

} // namespace
