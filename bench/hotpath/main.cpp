#include "Net/Net.h"
#include "fleet/Fleet.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <unistd.h>

DEFINE_int32(connections, 64, "requests in progress at a time");
DEFINE_double(seconds, 4, "length of each run");
DEFINE_string(kind, "call", "call: plain calls; chat: whole chats; stream: streamed chats");
DEFINE_int32(tokens, 64, "chat and stream: tokens of an answer");
DEFINE_double(token_ms, 0, "chat and stream: milliseconds between two tokens");

namespace catkinloft::bench {

namespace {

using standin::Fleet;

/// CPU time that process \a pid has used, from the kernel's books.
Duration cpuTime(pid_t pid)
{
    std::ifstream in(fmt::format("/proc/{}/stat", pid));
    std::string text;
    std::getline(in, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    long user = 0;
    long system = 0;
    fields >> user >> system;
    return fromSeconds(static_cast<double>(user + system)
                       / static_cast<double>(sysconf(_SC_CLK_TCK)));
}

/// Resident memory of process \a pid in bytes.
double residentBytes(pid_t pid)
{
    std::ifstream in(fmt::format("/proc/{}/statm", pid));
    double total = 0;
    double resident = 0;
    in >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

struct RunResult
{
    std::size_t done = 0;
    std::size_t failed = 0;
    std::size_t bytes = 0;
    std::vector<double> latencies; ///< Seconds.

    double quantile(double q)
    {
        if (latencies.empty())
            return 0;
        std::sort(latencies.begin(), latencies.end());
        return latencies[static_cast<std::size_t>(q * static_cast<double>(latencies.size() - 1))];
    }
};

/// Keeps a number of calls in progress until the time is over.
class ClosedLoop
{
public:
    ClosedLoop(HttpCall call, int inProgress, Duration length)
        : m_call(std::move(call)), m_inProgress(inProgress), m_length(length)
    { }

    RunResult run()
    {
        m_end = m_loop.now() + m_length;
        m_calls.resize(static_cast<std::size_t>(m_inProgress));
        for (std::size_t i = 0; i < m_calls.size(); ++i)
            start(i);
        m_loop.run();
        return std::move(m_result);
    }

private:
    void start(std::size_t i)
    {
        const TimePoint begin = m_loop.now();
        m_calls[i] = m_client.send(
                m_call,
                {.onHead =
                         [this](const HttpHead &head) {
                             if (head.status != 200)
                                 ++m_result.failed;
                         },
                 .onData = [this](std::string_view data) { m_result.bytes += data.size(); },
                 .onEnd =
                         [this, i, begin](const Result<void> &result) {
                             m_result.failed += result ? 0 : 1;
                             ++m_result.done;
                             m_result.latencies.push_back(toSeconds(m_loop.now() - begin));
                             if (m_loop.now() < m_end)
                                 m_loop.post([this, i] { start(i); });
                             else if (--m_inProgress == 0)
                                 m_loop.stop();
                         }});
    }

    EventLoop m_loop;
    HttpClient m_client{m_loop};
    HttpCall m_call;
    int m_inProgress;
    Duration m_length;
    TimePoint m_end;
    std::vector<HttpCallPtr> m_calls;
    RunResult m_result;
};

HttpCall makeCall(const std::string &address, const std::string &model)
{
    HttpCall call{.address = address,
                  .method = "POST",
                  .target = "/services/dispatch/orders",
                  .headers = {{"Authorization", "Bearer " + Fleet::workspaceKey(0)}},
                  .body = R"({"order":1})"};
    if (FLAGS_kind == "call") {
        call.method = "PUT"; // Idempotent by the fleet's inventory: needs no claim.
        return call;
    }
    call.target = "/v1/chat/completions";
    call.body = fmt::format(R"({{"model":"{}","max_tokens":{},"stream":{},"messages":)"
                            R"([{{"role":"user","content":"a plan, please"}}]}})",
                            model, FLAGS_tokens, FLAGS_kind == "stream");
    return call;
}

void print(std::string_view measure, double value, std::string_view unit)
{
    fmt::print(R"({{"measure":"{}","scenario":"{}","value":{:.6g},"unit":"{}"}})"
               "\n",
               measure, FLAGS_kind, value, unit);
}

int runHotPath()
{
    standin::Deployment one = standin::deploymentNamed("sofiyska");
    one.engines = 1;
    one.replicas = 1;
    one.routers = 1;
    Fleet fleet({.deployment = one,
                 .binaries = std::filesystem::canonical("/proc/self/exe").parent_path().string(),
                 .engineFlags = {"--slots=100000", "--prefill_rate=1e12",
                                 fmt::format("--token_ms={}", FLAGS_token_ms)},
                 .serviceFlags = {"--service_ms=0"}});
    fleet.start();
    const std::string upstream =
            FLAGS_kind == "call" ? fleet.replicaAddress(0) : fleet.engineAddress(0);
    HttpCall direct = makeCall(upstream, one.model);
    direct.headers.emplace_back("X-Request-Id", "direct");
    RunResult base = ClosedLoop(direct, FLAGS_connections, fromSeconds(FLAGS_seconds)).run();
    const Duration before = cpuTime(fleet.router(0).pid());
    RunResult routed = ClosedLoop(makeCall(fleet.routerAddress(0), one.model), FLAGS_connections,
                                  fromSeconds(FLAGS_seconds))
                               .run();
    const double cpu = toSeconds(cpuTime(fleet.router(0).pid()) - before);
    const auto done = static_cast<double>(routed.done);
    print("failed", static_cast<double>(routed.failed + base.failed), "requests");
    print("direct_rate", static_cast<double>(base.done) / FLAGS_seconds, "requests/s");
    print("routed_rate", done / FLAGS_seconds, "requests/s");
    print("router_rate_per_core", cpu > 0 ? done / cpu : 0, "requests/s");
    print("router_bytes_per_core", cpu > 0 ? static_cast<double>(routed.bytes) / cpu : 0, "B/s");
    if (FLAGS_kind == "stream")
        print("router_tokens_per_core", cpu > 0 ? done * FLAGS_tokens / cpu : 0, "tokens/s");
    print("direct_p50", base.quantile(0.5) * 1000, "ms");
    print("direct_p99", base.quantile(0.99) * 1000, "ms");
    print("routed_p50", routed.quantile(0.5) * 1000, "ms");
    print("routed_p99", routed.quantile(0.99) * 1000, "ms");
    print("router_memory", residentBytes(fleet.router(0).pid()), "B");
    return base.failed + routed.failed == 0 ? 0 : 1;
}

} // namespace

} // namespace catkinloft::bench

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("drives one router as fast as it goes, beside direct calls");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return catkinloft::bench::runHotPath();
}
