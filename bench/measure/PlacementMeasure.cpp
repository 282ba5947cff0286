#include "Measure.h"
#include "PlacementSimulation.h"

#include <algorithm>

#include <fmt/format.h>

namespace catkinloft::measure {

namespace {

constexpr std::string_view Policies[] = {"ours",           "engine_owner",   "local_share",
                                         "lagged_reports", "round_robin",    "rendezvous",
                                         "two_choices",    "least_in_flight"};
constexpr std::string_view DispatcherPolicies[] = {"ours", "engine_owner", "local_share",
                                                   "lagged_reports"};
constexpr std::string_view Classes[] = {"large", "small", "protected"};

struct Deployment
{
    std::string_view name;
    int largeWorkspaces;
};
constexpr Deployment Deployments[] = {{"sofiyska", 3}, {"fraserlight", 2}};

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

double share(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

/// Reports the figures of one run.
class RunReport
{
public:
    RunReport(const Report &report, std::string deployment,
              const PlacementSimulation::Options &options)
        : m_report(report), m_deployment(std::move(deployment)), m_options(options)
    { }

    void print(const PlacementSimulation::Results &r, double oracleReuse) const
    {
        line("skew_peak", quantile(r.skews, 1), "max/mean");
        line("skew_p99", quantile(r.skews, 0.99), "max/mean");
        line("over_bound",
             share(static_cast<double>(r.overBound), static_cast<double>(r.placements)),
             "placements");
        line("over_bound_excess", std::max(0.0, r.excess), "mean loads");
        const double reuse = share(r.foundTokens, r.returningTokens);
        line("cache_reuse", reuse, "share");
        if (oracleReuse > 0)
            line("cache_reuse_vs_oracle", reuse / oracleReuse, "share");
        line("goodput", share(r.usefulSlotTime, r.capacity), "capacity");
        line("relayed", share(static_cast<double>(r.relays), static_cast<double>(r.placements)),
             "requests");
        line("report_entries",
             static_cast<double>(r.reportEntries) / m_options.routers / m_options.seconds,
             "1/s and router");
        for (std::size_t i = 0; i < r.classes.size(); ++i) {
            const auto &it = r.classes[i];
            const std::string name(Classes[i]);
            line("p99_wait_" + name, quantile(it.waits, 0.99), "s");
            line("refused_" + name,
                 share(static_cast<double>(it.refused), static_cast<double>(it.arrived)), "share");
            line("late_" + name,
                 share(static_cast<double>(it.late), static_cast<double>(it.arrived)), "share");
        }
    }

private:
    void line(std::string measure, double value, std::string unit) const
    {
        m_report({.measure = std::move(measure),
                  .scenario = std::string(m_options.scenario.name),
                  .deployment = m_deployment,
                  .policy = std::string(m_options.policy),
                  .routers = m_options.routers,
                  .engines = m_options.engines,
                  .value = value,
                  .unit = std::move(unit),
                  .seed = m_options.seed});
    }

    const Report &m_report;
    std::string m_deployment;
    PlacementSimulation::Options m_options;
};

/// Runs one router that knows every load immediately, under the same bound. Its cache reuse is the
/// reference for the other policies.
double runOracle(PlacementSimulation::Options options, const std::string &deployment,
                 const Report &report)
{
    options.policy = "oracle";
    options.routers = 1;
    const auto results = PlacementSimulation(options).run();
    RunReport(report, deployment, options).print(results, 0);
    return share(results.foundTokens, results.returningTokens);
}

void runScenarios(std::uint64_t seed, const Report &report)
{
    for (const Deployment &deployment : Deployments) {
        for (const PlacementScenario &scenario : PlacementScenarios) {
            PlacementSimulation::Options options{.policy = "ours",
                                                 .scenario = scenario,
                                                 .largeWorkspaces = deployment.largeWorkspaces,
                                                 .seed = seed};
            const double oracle = runOracle(options, std::string(deployment.name), report);
            for (const std::string_view policy : Policies) {
                options.policy = policy;
                const auto results = PlacementSimulation(options).run();
                RunReport(report, std::string(deployment.name), options).print(results, oracle);
            }
        }
    }
}

/// Compares where load is counted, for growing numbers of routers. The worst case for a local count
/// is about as many routers as engines, such as 890 routers and 900 engines; a fleet of full size
/// has ten engines per router.
void runSizes(std::uint64_t seed, const Report &report)
{
    constexpr std::pair<int, int> Sizes[] = {{6, 300}, {90, 300}, {300, 300}};
    for (const auto &[routers, engines] : Sizes) {
        PlacementSimulation::Options options{.policy = "ours",
                                             .scenario = PlacementScenarios[0],
                                             .engines = engines,
                                             .routers = routers,
                                             .seconds = 25,
                                             .seed = seed};
        const double oracle = runOracle(options, "large", report);
        for (const std::string_view policy : DispatcherPolicies) {
            options.policy = policy;
            const auto results = PlacementSimulation(options).run();
            RunReport(report, "large", options).print(results, oracle);
        }
    }
}

const bool Registered = registerSubject({.name = "placement",
                                         .summary = "skew, cache reuse and waits by policy",
                                         .slopes = false,
                                         .run = runScenarios})
        && registerSubject({.name = "placement_sizes",
                            .summary = "where load is counted, by number of routers",
                            .slopes = false,
                            .run = runSizes});

} // namespace

} // namespace catkinloft::measure
