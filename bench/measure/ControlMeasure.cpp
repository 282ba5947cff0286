#include "Base/Log.h"
#include "Measure.h"
#include "PeerGroup.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace catkinloft::measure {

namespace {

using namespace std::chrono_literals;
using fakes::inventoryText;
using fakes::PeerGroup;

/// Changes per second at 25,000 changes per day.
constexpr double ChangeRate = 25'000.0 / 86'400;

/// Small because every router of the group parses the inventory; the cost of a delta does not
/// depend on the size of the inventory.
constexpr int Engines = 12;

constexpr int Changes = 30;
constexpr int Deaths = 5;

struct Scenario
{
    std::size_t routers;
    double loss;
    std::uint64_t seed;
    const Report &report;

    void reportFigure(const char *measure, double value, const char *unit,
                      const char *policy = "swim") const
    {
        report({.measure = measure,
                .scenario = fmt::format("loss {:g} %", loss * 100),
                .deployment = "full size",
                .policy = policy,
                .routers = static_cast<int>(routers),
                .engines = 0,
                .value = value,
                .unit = unit,
                .seed = seed});
    }
};

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto at =
            static_cast<std::size_t>(std::lround(q * static_cast<double>(values.size() - 1)));
    return values[at];
}

std::uint64_t totalBytes(PeerGroup &group)
{
    std::uint64_t out = 0;
    for (std::size_t i = 0; i < group.size(); ++i)
        out += group.node(i).governor->total();
    return out;
}

std::uint64_t maxBytes(PeerGroup &group, const std::vector<std::uint64_t> &before)
{
    std::uint64_t out = 0;
    for (std::size_t i = 0; i < group.size(); ++i)
        out = std::max(out, group.node(i).governor->total() - before[i]);
    return out;
}

bool commit(PeerGroup &group, std::size_t router, std::uint64_t base)
{
    bool done = false;
    group.node(router).config->propose(
            {.text = inventoryText(Engines, base), .base = base, .author = "measure"},
            [&](const Result<std::uint64_t> &it) { done = it.has_value(); });
    return group.runUntil([&] { return done; }, 5s);
}

/// Measures the time from a commit until each router has it, at ChangeRate, and the traffic that
/// the routers send during the run.
void measurePropagation(const Scenario &it, PeerGroup &group)
{
    const RandomSource random = seededRandom(it.seed + 17);
    std::vector<double> took;
    double longest = 0;
    std::vector<std::uint64_t> before;
    for (std::size_t i = 0; i < group.size(); ++i)
        before.push_back(group.node(i).governor->total());
    const std::uint64_t bytes = totalBytes(group);
    const TimePoint begin = group.clock().now();
    TimePoint at = begin;
    for (std::uint64_t base = 0; base < Changes; ++base) {
        at += fromSeconds(-std::log(1 - uniform(random)) / ChangeRate);
        if (at > group.clock().now())
            group.run(at - group.clock().now());
        if (!commit(group, below(random, group.size()), base))
            continue;
        const TimePoint start = group.clock().now();
        std::vector<bool> seen(group.size());
        const auto all = [&] {
            std::size_t n = 0;
            for (std::size_t i = 0; i < group.size(); ++i) {
                if (!seen[i] && group.node(i).config->digest().revision > base) {
                    seen[i] = true;
                    took.push_back(toSeconds(group.clock().now() - start));
                }
                n += seen[i] ? 1 : 0;
            }
            return n == group.size();
        };
        // Checked every 5 ms, because a check after each event would cost more than the run.
        while (!all() && group.clock().now() < start + 20s)
            group.run(5ms);
        longest = std::max(longest, toSeconds(group.clock().now() - start));
    }
    const double seconds = toSeconds(group.clock().now() - begin);
    it.reportFigure("spread_s", quantile(took, 0.5), "s", "p50");
    it.reportFigure("spread_s", quantile(took, 0.99), "s", "p99");
    it.reportFigure("spread_s", longest, "s", "max");
    const double mean = static_cast<double>(totalBytes(group) - bytes)
            / static_cast<double>(group.size()) / seconds;
    it.reportFigure("control_bytes_per_s", mean, "B/s", "mean of routers, with changes");
    it.reportFigure("control_bytes_per_s", static_cast<double>(maxBytes(group, before)) / seconds,
                    "B/s", "highest router, with changes");
    it.reportFigure("change_rate", Changes / seconds, "1/s");
}

void measureDetection(const Scenario &it, PeerGroup &group)
{
    std::vector<double> took;
    for (int i = 0; i < Deaths; ++i) {
        const std::size_t victim = 1 + static_cast<std::size_t>(i) % (group.size() - 1);
        group.run(3s);
        group.stop(victim);
        const TimePoint start = group.clock().now();
        const std::string name = PeerGroup::nameOf(victim);
        while (!group.allHaveState(name, MemberState::Dead) && group.clock().now() < start + 60s)
            group.run(50ms);
        took.push_back(toSeconds(group.clock().now() - start));
        group.start(victim);
        group.node(victim).membership->setVms(group.vms());
        group.schedule(victim);
        group.run(20s);
    }
    it.reportFigure("detect_s", quantile(took, 0.5), "s", "p50 of all routers knowing");
    it.reportFigure("detect_s", quantile(took, 1), "s", "max of all routers knowing");
}

/// Measures false positives of failure detection: all routers are up, so every detected death is
/// false.
void measureSteadyState(const Scenario &it, PeerGroup &group, Duration length)
{
    std::uint64_t suspicions = 0;
    std::uint64_t deaths = 0;
    for (std::size_t i = 0; i < group.size(); ++i) {
        group.node(i).membership->changed().connect([&](const Member &member) {
            suspicions += member.state == MemberState::Suspect ? 1 : 0;
            deaths += member.state == MemberState::Dead ? 1 : 0;
        });
    }
    const std::uint64_t bytes = totalBytes(group);
    group.run(length);
    const std::string span = fmt::format("beliefs in {:g} s", toSeconds(length));
    it.reportFigure("false_deaths", static_cast<double>(deaths), "count", span.c_str());
    it.reportFigure("false_suspicions", static_cast<double>(suspicions), "count", span.c_str());
    it.reportFigure("control_bytes_per_s",
                    static_cast<double>(totalBytes(group) - bytes)
                            / static_cast<double>(group.size()) / toSeconds(length),
                    "B/s", "mean of routers, quiet");
}

PeerGroup::Options groupOf(const Scenario &it)
{
    return {.size = it.routers, .seed = it.seed, .loss = it.loss, .encodeEvery = 16};
}

void runControl(std::uint64_t seed, const Report &report)
{
    for (const std::size_t routers : {6U, 90U, 890U}) {
        for (const double loss : {0.0, 0.01, 0.05, 0.2}) {
            const Scenario it{.routers = routers, .loss = loss, .seed = seed, .report = report};
            PeerGroup group(groupOf(it));
            group.introduceAll();
            group.run(20s);
            measurePropagation(it, group);
            measureDetection(it, group);
        }
    }
}

void runSteadyState(std::uint64_t seed, const Report &report)
{
    for (const std::size_t routers : {6U, 90U, 890U}) {
        for (const double loss : {0.01, 0.05}) {
            const Scenario it{.routers = routers, .loss = loss, .seed = seed, .report = report};
            PeerGroup group(groupOf(it));
            group.introduceAll();
            group.run(20s);
            measureSteadyState(it, group, loss == 0.01 ? Duration(1h) : Duration(10min));
        }
    }
}

/// Measures the steps of a router for one change of a large inventory. The figures are wall time
/// and only reliable if no other load runs on the machine.
void runConfigCost(std::uint64_t seed, const Report &report)
{
    for (const int engines : {100, 1'000, 10'000}) {
        const std::string from = inventoryText(engines, 3);
        const std::string to = inventoryText(engines, static_cast<unsigned>(engines) / 2);
        const auto timed = [&](const char *what, const std::function<void()> &run) {
            const auto start = std::chrono::steady_clock::now();
            run();
            const Duration took = std::chrono::steady_clock::now() - start;
            report({.measure = "config_cost_ms",
                    .scenario = what,
                    .deployment = "full size",
                    .policy = fmt::format("{} bytes", to.size()),
                    .routers = 1,
                    .engines = engines,
                    .value = toSeconds(took) * 1000,
                    .unit = "ms",
                    .seed = seed});
        };
        TextDelta delta;
        timed("make delta", [&] { delta = makeTextDelta(from, to); });
        timed("apply delta", [&] { (void)applyTextDelta(from, delta); });
        timed("parse and check", [&] {
            YamlProblems problems;
            Inventory::parse(to, "inventory", 1, problems);
        });
    }
}

const bool ControlRegistered = registerSubject(
        {.name = "control",
         .summary = "propagation of a change, detection of a dead router, control traffic",
         .slopes = true,
         .run = &runControl});
const bool SteadyStateRegistered = registerSubject(
        {.name = "control-quiet",
         .summary = "false deaths in an hour at 1 % loss (runs for several minutes)",
         .slopes = false,
         .run = &runSteadyState});
const bool CostRegistered =
        registerSubject({.name = "config-cost",
                         .summary = "processor time of one change of a large inventory",
                         .slopes = true,
                         .run = &runConfigCost});

} // namespace

} // namespace catkinloft::measure
