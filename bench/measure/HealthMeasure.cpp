#include "Base/ManualClock.h"
#include "Base/Random.h"
#include "Decide/HealthTracker.h"
#include "Measure.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace catkinloft::measure {

namespace {

constexpr std::size_t Upstreams = 9;
constexpr int Rounds = 4000; ///< Attempts on each upstream.
constexpr int FaultAt = 1000;
constexpr std::size_t Window = 100; ///< Number of attempts that percentiles are computed from.
constexpr double MaxRatio = 3;
constexpr double ShortWork = 1000; ///< In tokens.

/// The duration of one attempt in seconds and its work in tokens.
struct Sample
{
    double seconds;
    double work;
};

using Fault = std::function<double(const RandomSource &)>;

Sample draw(const RandomSource &random, double slowness)
{
    const double work = uniform(random) < 0.1 ? 8000 : 300;
    const double spread = 0.7 + 0.6 * uniform(random);
    return {.seconds = slowness * spread * (0.3 + work / 8000), .work = work};
}

/// HealthTracker's rule: errors, and latency per token compared to the median of the pool.
class PlainRule
{
public:
    /// \returns the upstream that is to be ejected now.
    std::optional<std::size_t> add(std::size_t i, const Sample &it)
    {
        const Duration total = fromSeconds(it.seconds);
        m_tracker.record(m_entries[i], it.work,
                         {.succeeded = true,
                          .verdict = Verdict::Ran,
                          .untilFirstByte = total,
                          .total = total},
                         Upstreams, m_clock.now());
        if (i + 1 == Upstreams) {
            std::vector<double> costs;
            for (const auto &entry : m_entries)
                costs.push_back(entry.cost);
            m_tracker.updateBaseline(std::move(costs));
        }
        const bool out = m_entries[i].state == HealthTracker::State::Ejected;
        return out ? std::optional(i) : std::nullopt;
    }

private:
    ManualClock m_clock;
    HealthTracker m_tracker;
    std::array<HealthTracker::Entry, Upstreams> m_entries;
};

/// The rule of Wang et al., "Topology-Aware Circuit Breaking on Critical Paths in Microservice
/// Systems": checks only the upstream that dominates the time of requests, by the ratio of its P99
/// to its P50.
/// \tparam ShortOnly whether long work is ignored, which by itself makes the ratio high.
template<bool ShortOnly>
class RatioRule
{
public:
    std::optional<std::size_t> add(std::size_t i, const Sample &it)
    {
        if (ShortOnly && it.work > ShortWork)
            return std::nullopt;
        auto &window = m_windows[i];
        window.push_back(it.seconds);
        m_sums[i] += it.seconds;
        if (window.size() > Window) {
            m_sums[i] -= window.front();
            window.pop_front();
        }
        const auto dominating = static_cast<std::size_t>(
                std::max_element(m_sums.begin(), m_sums.end()) - m_sums.begin());
        if (window.size() < Window || i != dominating)
            return std::nullopt;
        std::vector<double> sorted(window.begin(), window.end());
        std::sort(sorted.begin(), sorted.end());
        const bool out = sorted[Window * 99 / 100 - 1] > MaxRatio * sorted[Window / 2];
        return out ? std::optional(i) : std::nullopt;
    }

private:
    std::array<std::deque<double>, Upstreams> m_windows;
    std::array<double, Upstreams> m_sums = {};
};

struct Outcome
{
    int found = -1; ///< Attempts on the slow upstream until it was ejected; -1: never.
    bool wrong = false; ///< A healthy upstream was ejected first.
};

template<typename Rule>
Outcome runUntilEjection(const Fault &fault, std::uint64_t seed)
{
    const RandomSource random = seededRandom(seed);
    Rule rule;
    for (int round = 0; round < Rounds; ++round) {
        for (std::size_t i = 0; i < Upstreams; ++i) {
            const double slowness = i == 0 && round >= FaultAt ? fault(random) : 1;
            const auto ejected = rule.add(i, draw(random, slowness));
            if (ejected && (*ejected != 0 || round < FaultAt))
                return {.wrong = true};
            if (ejected)
                return {.found = round - FaultAt + 1};
        }
    }
    return {};
}

struct FaultCase
{
    std::string_view name;
    Fault fault;
};

template<typename Rule>
void measureRule(std::string_view name, const FaultCase &it, std::uint64_t seed,
                 const Report &report)
{
    constexpr int Runs = 20;
    int found = 0;
    int wrong = 0;
    double attempts = 0;
    for (int i = 0; i < Runs; ++i) {
        const Outcome out =
                runUntilEjection<Rule>(it.fault, seed * 1000 + static_cast<std::uint64_t>(i));
        found += out.found > 0 ? 1 : 0;
        wrong += out.wrong ? 1 : 0;
        attempts += std::max(0, out.found);
    }
    Figure line;
    line.scenario = it.name;
    line.policy = name;
    line.seed = seed;
    line.engines = Upstreams;
    const auto print = [&](const char *measure, double value, const char *unit) {
        line.measure = measure;
        line.value = value;
        line.unit = unit;
        report(line);
    };
    print("found", found / double(Runs), "runs");
    print("ejected_a_well_one", wrong / double(Runs), "runs");
    print("attempts_until_found", found > 0 ? attempts / found : -1, "attempts");
}

void run(std::uint64_t seed, const Report &report)
{
    const FaultCase cases[] = {
            {"no_fault", [](const RandomSource &) { return 1.0; }},
            {"slow_5x", [](const RandomSource &) { return 5.0; }},
            {"one_in_ten_30x",
             [](const RandomSource &random) { return uniform(random) < 0.1 ? 30.0 : 1.0; }},
    };
    for (const FaultCase &it : cases) {
        measureRule<PlainRule>("plain", it, seed, report);
        measureRule<RatioRule<false>>("dominating_p99_p50", it, seed, report);
        measureRule<RatioRule<true>>("dominating_p99_p50_short", it, seed, report);
    }
}

const bool Registered =
        registerSubject({.name = "health",
                         .summary = "comparison of rules that detect one slow upstream",
                         .slopes = false,
                         .run = run});

} // namespace

} // namespace catkinloft::measure
