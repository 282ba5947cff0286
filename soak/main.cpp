#include "Base/Log.h"
#include "SoakRun.h"

#include <csignal>
#include <filesystem>
#include <fstream>

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "seed of the first run");
DEFINE_uint64(runs, 1, "how many runs, each with the next seed");
DEFINE_string(seeds, "", "file with a seed in front of each line, played before the others");
DEFINE_double(seconds, 10, "while faults begin, in each run");
DEFINE_uint64(routers, 4, "routers");
DEFINE_uint64(replicas, 3, "replicas of each of the two services");
DEFINE_string(keep, "soak-logs", "folder for the logs of runs with a broken promise");

namespace catkinloft::soak {

namespace {

std::vector<std::uint64_t> seedsToPlay()
{
    std::vector<std::uint64_t> out;
    std::ifstream file(FLAGS_seeds);
    for (std::string line; std::getline(file, line);) {
        if (!line.empty() && line.front() != '#')
            out.push_back(std::strtoull(line.c_str(), nullptr, 10));
    }
    for (std::uint64_t i = 0; i < FLAGS_runs; ++i)
        out.push_back(FLAGS_seed + i);
    return out;
}

bool play(std::uint64_t seed, const std::string &binaries)
{
    SoakRun run({.binaries = binaries,
                 .seed = seed,
                 .length = fromSeconds(FLAGS_seconds),
                 .routers = FLAGS_routers,
                 .replicas = FLAGS_replicas,
                 .keepFolder = FLAGS_keep});
    const SoakRun::Outcome outcome = run.run();
    std::string faults;
    for (const Fault &it : outcome.faults)
        faults += fmt::format(" {}@{:.1f}s", faultName(it.kind), toSeconds(it.at));
    fmt::print("seed {}: {} requests, {} answered, {} broken;{}\n", seed, outcome.requests,
               outcome.answered, outcome.broken.size(), faults);
    for (const std::string &it : outcome.broken)
        fmt::print("  broken: {}\n", it);
    std::fflush(stdout);
    return outcome.broken.empty();
}

} // namespace

} // namespace catkinloft::soak

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("plays runs of real entry processes under random faults");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    catkinloft::Log::setSink([](catkinloft::LogLevel, std::string_view) {});
    const std::string binaries =
            std::filesystem::canonical("/proc/self/exe").parent_path().string();
    std::size_t passed = 0;
    std::size_t failed = 0;
    for (const std::uint64_t seed : catkinloft::soak::seedsToPlay())
        ++(catkinloft::soak::play(seed, binaries) ? passed : failed);
    fmt::print("soak: {} passed, {} failed\n", passed, failed);
    return failed == 0 ? 0 : 1;
}
