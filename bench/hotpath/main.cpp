#include "HotPath.h"
#include "Measure.h"
#include "fleet/ProcessUsage.h"

#include <csignal>

#include <gflags/gflags.h>

DEFINE_int32(connections, 64, "number of concurrent requests");
DEFINE_double(seconds, 4, "length of each run");
DEFINE_string(kind, "call", "call: plain calls; chat: non-streamed chats; stream: streamed chats");
DEFINE_int32(tokens, 64, "chat and stream: tokens per answer");
DEFINE_double(token_ms, 0, "chat and stream: milliseconds between two tokens");
DEFINE_bool(slopes, false, "measures how costs grow, for docs/CAPACITY.md, instead of one run");

namespace catkinloft::bench {

namespace {

void print(const std::string &name, double value, const std::string &unit)
{
    measure::printFigure({.measure = name,
                          .scenario = FLAGS_kind,
                          .deployment = {},
                          .policy = {},
                          .routers = 1,
                          .engines = 1,
                          .value = value,
                          .unit = unit});
}

int runHotPath()
{
    HotPath path(FLAGS_token_ms);
    const Duration length = fromSeconds(FLAGS_seconds);
    RunResult base = ClosedLoop({.call = path.direct(FLAGS_kind, FLAGS_tokens),
                                 .inProgress = FLAGS_connections,
                                 .length = length})
                             .run();
    const Duration before = standin::processorTime(path.routerPid());
    RunResult routed = ClosedLoop({.call = path.routed(FLAGS_kind, FLAGS_tokens),
                                   .inProgress = FLAGS_connections,
                                   .length = length})
                               .run();
    const double cpu = toSeconds(standin::processorTime(path.routerPid()) - before);
    const auto done = static_cast<double>(routed.done);
    const auto perCore = [&](double n) { return cpu > 0 ? n / cpu : 0; };
    print("failed", static_cast<double>(routed.failed + base.failed), "requests");
    print("direct_rate", static_cast<double>(base.done) / toSeconds(base.length), "requests/s");
    print("routed_rate", done / toSeconds(routed.length), "requests/s");
    print("router_rate_per_core", perCore(done), "requests/s");
    print("router_bytes_per_core", perCore(static_cast<double>(routed.bytes)), "B/s");
    if (FLAGS_kind == "stream")
        print("router_tokens_per_core", perCore(done * FLAGS_tokens), "tokens/s");
    print("direct_p50", base.quantile(0.5) * 1000, "ms");
    print("direct_p99", base.quantile(0.99) * 1000, "ms");
    print("routed_p50", routed.quantile(0.5) * 1000, "ms");
    print("routed_p99", routed.quantile(0.99) * 1000, "ms");
    print("router_memory", standin::residentBytes(path.routerPid()), "B");
    return base.failed + routed.failed == 0 ? 0 : 1;
}

} // namespace

} // namespace catkinloft::bench

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("measures the highest rate of one router, and that of direct calls");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    if (FLAGS_slopes)
        return catkinloft::bench::measureSlopes() ? 0 : 1;
    return catkinloft::bench::runHotPath();
}
