#include "Base/Log.h"
#include "SoakRun.h"

#include <csignal>
#include <filesystem>
#include <fstream>

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "seed of the first run");
DEFINE_uint64(runs, 1, "number of runs, each with the next seed");
DEFINE_string(
        seeds, "",
        "file whose lines begin with SEED, SEED@SECONDS or SEED@SECONDS+, run before the others; "
        "+: with the faults that originate in replicas, ++: also with those of failure domains and "
        "cold replicas, +++: also with restores of the store from a copy, "
        "++++: also with routers that are partitioned from all replicas, "
        "+++++: also with two software versions and callers that resume their streams, "
        "++++++: also with replicas of limited capacity and periods of overload, "
        "+++++++: instead of these with long streams and pauses of all or most replicas, "
        "++++++++: instead of both with copies of refusals, "
        "+++++++++: instead of all three with slow callers and planned work, "
        "++++++++++: instead of all four, of replica faults and of restores with retry storms in "
        "fleets of several sizes");
DEFINE_double(seconds, 10, "period of each run in which faults begin, in seconds");
DEFINE_uint64(routers, 4, "routers");
DEFINE_uint64(replicas, 3, "number of replicas of each of the two services");
DEFINE_string(keep, "soak-logs", "folder for the logs of runs that violate a guarantee");

namespace catkinloft::soak {

namespace {

struct RunPlan
{
    std::uint64_t seed = 1;
    Duration length = {}; ///< Period in which faults begin.
    bool withReplicaFaults = true;
    bool withDomainFaults = true;
    bool withStoreRestores = true;
    bool withPartitions = true;
    bool withVersions = true;
    bool withOverloads = true;
    bool withReplicasPauses = false;
    bool withRefusalCopies = false;
    bool withSlowCallers = false;
    bool withRetryStorms = false;
};

/// The limited replicas of an overload have no slots for long streams.
constexpr std::string_view OverloadLevel = "++++++";
constexpr std::string_view ReplicasPauseLevel = "+++++++";

/// Copies of refusals take answers away from calls, so that the share of served calls in an
/// overload cannot be checked beside them.
constexpr std::string_view RefusalCopiesLevel = "++++++++";

/// Crowds take the memory of routers and planned work stops several of them, so that neither the
/// share of served calls in an overload nor pauses of all replicas can be checked beside them.
constexpr std::string_view SlowCallersLevel = "+++++++++";

/// Faults of single replicas end failures of their service, and limits on the time of arrivals
/// don't hold for paths that stall.
constexpr std::string_view RetryStormsLevel = "++++++++++";

std::vector<RunPlan> runPlans()
{
    std::vector<RunPlan> out;
    std::ifstream file(FLAGS_seeds);
    for (std::string line; std::getline(file, line);) {
        if (line.empty() || line.front() == '#')
            continue;
        char *end = nullptr;
        const std::uint64_t seed = std::strtoull(line.c_str(), &end, 10);
        const double seconds = *end == '@' ? std::strtod(end + 1, &end) : FLAGS_seconds;
        const std::string_view kinds(end);
        const std::string_view level = kinds.substr(0, kinds.find_first_not_of('+'));
        const bool hasStorms = level == RetryStormsLevel;
        out.push_back({.seed = seed,
                       .length = fromSeconds(seconds),
                       .withReplicaFaults = kinds.starts_with('+') && !hasStorms,
                       .withDomainFaults = kinds.starts_with("++") && !hasStorms,
                       .withStoreRestores = kinds.starts_with("+++") && !hasStorms,
                       .withPartitions = kinds.starts_with("++++"),
                       .withVersions = kinds.starts_with("+++++"),
                       .withOverloads = level == OverloadLevel,
                       .withReplicasPauses = level == ReplicasPauseLevel,
                       .withRefusalCopies = level == RefusalCopiesLevel,
                       .withSlowCallers = level == SlowCallersLevel,
                       .withRetryStorms = hasStorms});
    }
    for (std::uint64_t i = 0; i < FLAGS_runs; ++i)
        out.push_back({.seed = FLAGS_seed + i, .length = fromSeconds(FLAGS_seconds)});
    return out;
}

bool execute(const RunPlan &it, const std::string &binaries)
{
    std::optional<RetryStormSetup> storms;
    if (it.withRetryStorms)
        storms = drawRetryStormSetup(seededRandom(~it.seed));
    SoakRun run({.binaries = binaries,
                 .seed = it.seed,
                 .length = it.length,
                 .routers = storms ? storms->routers : FLAGS_routers,
                 .replicas = storms ? storms->replicas : FLAGS_replicas,
                 .withReplicaFaults = it.withReplicaFaults,
                 .withDomainFaults = it.withDomainFaults,
                 .withStoreRestores = it.withStoreRestores,
                 .withPartitions = it.withPartitions,
                 .withVersions = it.withVersions,
                 .withOverloads = it.withOverloads,
                 .withReplicasPauses = it.withReplicasPauses,
                 .withRefusalCopies = it.withRefusalCopies,
                 .retryStorms = storms,
                 .withSlowCallers = it.withSlowCallers,
                 .keepFolder = FLAGS_keep});
    const SoakRun::Outcome outcome = run.run();
    std::string faults;
    for (const Fault &fault : outcome.faults)
        faults += fmt::format(" {}@{:.1f}s", faultName(fault.kind), toSeconds(fault.at));
    fmt::print("seed {}: {} requests, {} on kept connections, {} answered, {} routers ended by "
               "themselves, {} broken, {};{}\n",
               it.seed, outcome.requests, outcome.onKeptConnections, outcome.answered,
               outcome.routerExits, outcome.broken.size(), outcome.retryBudgetUse, faults);
    for (const std::string &line : outcome.broken)
        fmt::print("  broken: {}\n", line);
    std::fflush(stdout);
    return outcome.broken.empty();
}

} // namespace

} // namespace catkinloft::soak

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(
            "runs real entry processes under random faults and checks their guarantees");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    catkinloft::Log::setSink([](catkinloft::LogLevel, std::string_view) {});
    const std::string binaries =
            std::filesystem::canonical("/proc/self/exe").parent_path().string();
    std::size_t passed = 0;
    std::size_t failed = 0;
    for (const auto &it : catkinloft::soak::runPlans())
        ++(catkinloft::soak::execute(it, binaries) ? passed : failed);
    fmt::print("soak: {} passed, {} failed\n", passed, failed);
    return failed == 0 ? 0 : 1;
}
