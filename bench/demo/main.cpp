#include "Base/Log.h"
#include "Figures.h"
#include "RawLoad.h"
#include "fleet/LoadDriver.h"

#include <csignal>
#include <exception>
#include <filesystem>

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(deployment, "sofiyska", "deployment whose sizes are used: sofiyska or fraserlight");
DEFINE_bool(json, false, "prints one JSON line per figure instead of a table");
DEFINE_bool(kill_router, false, "kills a router during the run");
DEFINE_bool(faults, false, "injects one fault after another while requests are sent");
DEFINE_bool(raw, true, "also measures the latency that one router adds to a call");
DEFINE_uint64(seed, 1, "seed of every random choice of the callers");
DEFINE_int32(callers, 100, "number of callers");
DEFINE_int32(requests_each, 22, "number of requests of each caller");

namespace catkinloft::demo {

namespace {

using standin::Deployment;
using standin::Fleet;
using standin::LoadDriver;
using standin::LoadReport;
using standin::RequestShape;

constexpr double MicrosPerSecond = 1e6;

std::string binaries()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

/// Schedules faults one after the other, each reverted before the next begins, while callers
/// continue to send requests.
void scheduleFaults(Fleet &fleet, LoadDriver &driver)
{
    using namespace std::chrono_literals;
    driver.at(1s, [&] { fleet.router(0).signal(SIGKILL); });
    driver.at(2s, [&] { fleet.startRouter(0); });
    driver.at(3s, [&] { fleet.setProxyFaults(fleet.engineAddress(1), R"({"silent":true})"); });
    driver.at(4s, [&] { fleet.setPlatformMode("table", "down"); });
    driver.at(6s, [&] { fleet.setPlatformMode("table", "lose_answers"); });
    driver.at(7s, [&] { fleet.setPlatformMode("table", "up"); });
    driver.at(8s, [&] { fleet.engine(2).signal(SIGKILL); });
    driver.at(9s, [&] { fleet.startEngine(2); });
    driver.at(10s, [&] { fleet.router(1).signal(SIGSTOP); });
    driver.at(12s, [&] { fleet.router(1).signal(SIGCONT); });
    driver.at(12s, [&] { fleet.setProxyFaults(fleet.replicaAddress(0), R"({"lose_answers":3})"); });
}

void addOutcomeFigures(const LoadReport &report, Figures &out)
{
    out.add("requests", report.requests, "requests");
    out.add("answered", report.answered, "requests");
    out.add("refused", report.refused, "requests");
    out.add("attempts", report.attempts, "attempts");
    out.add("lost", report.lost, "requests");
    out.add("doubled", report.doubled, "requests");
    out.add("crossed", report.crossed, "requests");
    out.add("truncated", report.truncated, "requests");
    out.add("untrue_not_run", report.untrueNotRun, "requests");
    out.add("unexplained", report.unexplained, "answers");
    out.add("answer_time_p50", toSeconds(report.quantile(0.5)) * 1000, "ms");
    out.add("answer_time_p99", toSeconds(report.quantile(0.99)) * 1000, "ms");
}

LoadReport runDeployment(const Deployment &deployment, Figures &out)
{
    Fleet fleet(
            {.deployment = deployment, .binaries = binaries(), .proxiedUpstreams = FLAGS_faults});
    fleet.start();
    LoadDriver driver({.fleet = fleet,
                       .seed = FLAGS_seed,
                       .shapes = {RequestShape::StreamedChat, RequestShape::NonStreamedChat,
                                  RequestShape::IdempotentCall, RequestShape::NonIdempotentCall},
                       .callers = FLAGS_callers,
                       .requestsEach = FLAGS_requests_each,
                       .maxPause = std::chrono::milliseconds(FLAGS_faults ? 900 : 300)});
    if (FLAGS_kill_router) {
        driver.at(std::chrono::seconds(2), [&] { fleet.router(0).signal(SIGKILL); });
        // The platform updates its list of VMs with a delay.
        driver.at(std::chrono::seconds(5), [&] { fleet.publishVms({0}); });
    }
    if (FLAGS_faults)
        scheduleFaults(fleet, driver);
    LoadReport report = driver.run();
    addOutcomeFigures(report, out);
    if (report.promptTokens > 0)
        out.add("cache_reuse", report.cachedTokens / report.promptTokens, "of prompt tokens");
    out.add("skew", report.skew(deployment.engines), "times the mean work");
    return report;
}

/// Measures the latency that one router adds, against the same calls sent directly to the same
/// stand-ins.
void measureRouter(Deployment deployment, Figures &out)
{
    deployment.routers = 1;
    deployment.engines = 1;
    Fleet fleet({.deployment = deployment,
                 .binaries = binaries(),
                 .serviceFlags = {"--service_ms=0", "--recorded=false"}});
    fleet.start();
    const HttpCall direct{.address = fleet.replicaAddress(0),
                          .target = "/services/" + deployment.service + "/meters",
                          .headers = {{"Authorization", "Bearer " + Fleet::workspaceKey(0)}}};
    HttpCall routed = direct;
    routed.address = fleet.routerAddress(0);
    const pid_t router = fleet.router(0).pid();
    const RawLoad::Outcome maxLoad = RawLoad::run({.call = routed, .server = router});
    const double half = maxLoad.rate / 2;
    const RawLoad::Outcome halfLoad =
            RawLoad::run({.call = routed, .rate = half, .server = router});
    const RawLoad::Outcome directLoad =
            RawLoad::run({.call = direct, .rate = half, .server = fleet.replica(0).pid()});
    out.add("router_rate", maxLoad.rate, "requests/s");
    out.add("router_rate_per_core", maxLoad.rate / std::max(0.01, maxLoad.coreShare),
            "requests/s and core");
    out.add("router_failures", maxLoad.failures + halfLoad.failures + directLoad.failures,
            "requests");
    out.add("half_load_rate", halfLoad.rate, "requests/s");
    out.add("half_load_routed_p50", toSeconds(halfLoad.p50) * MicrosPerSecond, "us");
    out.add("half_load_routed_p99", toSeconds(halfLoad.p99) * MicrosPerSecond, "us");
    out.add("half_load_direct_p50", toSeconds(directLoad.p50) * MicrosPerSecond, "us");
    out.add("half_load_direct_p99", toSeconds(directLoad.p99) * MicrosPerSecond, "us");
    out.add("half_load_added_p50", toSeconds(halfLoad.p50 - directLoad.p50) * MicrosPerSecond,
            "us");
    out.add("half_load_added_p99", toSeconds(halfLoad.p99 - directLoad.p99) * MicrosPerSecond,
            "us");
}

int runDemo()
{
    const Deployment deployment = standin::deploymentNamed(FLAGS_deployment);
    Figures figures;
    const LoadReport report = runDeployment(deployment, figures);
    if (FLAGS_raw)
        measureRouter(deployment, figures);
    figures.print(FLAGS_json, deployment.name);
    for (const std::string &it : report.notes)
        fmt::print(stderr, "broken promise: {}\n", it);
    return report.violationCount() == 0 ? 0 : 1;
}

} // namespace

} // namespace catkinloft::demo

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(
            "runs one of the two deployments with stand-ins and counts violated guarantees");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    catkinloft::Log::setLevel(catkinloft::LogLevel::Error);
    try {
        return catkinloft::demo::runDemo();
    } catch (const std::exception &it) {
        fmt::print(stderr, "catkinloft-demo: {}\n", it.what());
        return 2;
    }
}
