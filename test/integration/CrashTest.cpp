#include "Base/Json.h"
#include "fleet/ChildProcess.h"
#include "fleet/EntryFleet.h"
#include "fleet/Fleet.h"

#include <doctest/doctest.h>

#include <charconv>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <unistd.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using standin::ChildProcess;
using standin::EntryFleet;
using standin::Fleet;

namespace {

/// Lets the programs under test handle their signals themselves also if they are built with the
/// address sanitizer.
void disableSanitizerHandlers()
{
    const char *before = std::getenv("ASAN_OPTIONS");
    const std::string options = std::string(before ? before : "")
            + ":handle_segv=0:handle_sigbus=0:handle_abort=0:use_sigaltstack=0";
    setenv("ASAN_OPTIONS", options.c_str(), 1);
}

/// \returns the lines of \a log that are events of the name \a event.
std::vector<Json::Value> events(const std::string &log, std::string_view event)
{
    std::vector<Json::Value> out;
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);) {
        const auto root = parseJsonObject(line);
        if (root && root.value()["event"].asString() == event)
            out.push_back(root.value());
    }
    return out;
}

/// A router whose replicas take long for their answers.
struct CrashFixture
{
    static constexpr int Callers = 3;

    CrashFixture()
    {
        disableSanitizerHandlers();
        fleet.start();
    }

    int fetch(const std::string &id, const std::string &key)
    {
        const auto answer = Fleet::fetch({.address = fleet.callerAddress(0),
                                          .target = "/once/a",
                                          .headers = {{"Host", EntryFleet::Host},
                                                      {"X-Request-Id", id},
                                                      {"Authorization", "Bearer " + key}},
                                          .timeout = 10s});
        return answer ? answer.value().head.status : 0;
    }

    /// \returns the value of the metric \a name of the router; a negative one if it has none.
    double metric(const std::string &name)
    {
        const auto answer =
                Fleet::fetch({.address = fleet.metricsAddress(0), .target = "/metrics"});
        const std::string text = answer ? "\n" + answer.value().body : "";
        const std::size_t at = text.find("\n" + name + " ");
        return at == std::string::npos ? -1 : std::atof(text.c_str() + at + name.size() + 2);
    }

    EntryFleet fleet{
            {.binaries = CATKINLOFT_BINARIES, .routers = 1, .replicas = 1, .serviceTime = 3s}};
};

} // namespace

// Guards against a process that ends by itself without a trace: its log just stops, and the
// requests that it had in progress look like connections that were closed without a reason.
TEST_CASE_FIXTURE(CrashFixture,
                  "crash_fatalSignalWithRequestsInProgress_oneLineNamesSignalAndCount")
{
    const std::vector<std::pair<int, std::string>> signals = {{SIGSEGV, "SIGSEGV"},
                                                              {SIGABRT, "SIGABRT"}};
    for (std::size_t n = 0; n < signals.size(); ++n) {
        const auto &[number, name] = signals[n];
        std::vector<std::thread> callers;
        callers.reserve(Callers);
        for (int i = 0; i < Callers; ++i)
            callers.emplace_back(
                    [&, i] { fetch(fmt::format("slow-{}-{}", n, i), EntryFleet::Key); });
        const bool isBusy = Fleet::waitFor(
                [&] { return metric("catkinloft_requests_in_progress") == Callers; });
        const double startedAt = metric("catkinloft_start_time_seconds");
        const std::string refused = fmt::format("refused-{}", n);
        CHECK(fetch(refused, "unknown") == 401);
        fleet.router(0).signal(number);
        CHECK(fleet.router(0).wait() == -number);
        for (std::thread &it : callers)
            it.join();
        REQUIRE(isBusy);
        const std::string log = fleet.routerLog(0);
        const std::vector<Json::Value> crashes = events(log, "process_crashed");
        REQUIRE(crashes.size() == n + 1);
        const Json::Value &crash = crashes.back();
        CHECK(crash["cause"].asString() == "signal_received");
        CHECK(crash["signal"].asString() == name);
        CHECK(crash["sender_pid"].asInt() == getpid());
        CHECK(crash["requests_in_progress"].asInt() == Callers);
        CHECK(crash["source"] == events(log, "started").back()["source"]);
        CHECK_FALSE(crash["build"].asString().empty());
        // The line of the request was buffered when the signal arrived.
        const std::size_t refusedAt = log.find('"' + refused + '"');
        REQUIRE(refusedAt != std::string::npos);
        CHECK(refusedAt < log.rfind("process_crashed"));
        fleet.startRouter(0);
        REQUIRE(Fleet::waitFor([&] { return fleet.isReady(0); }));
        CHECK(metric("catkinloft_start_time_seconds") > startedAt);
    }
}

// Guards against an end by an exception, abort(), a fault or an assertion of libevent whose cause
// can't be told from the log.
TEST_CASE("crash_eachWay_oneLineNamesTheCauseAndTheExitStatusStays")
{
    struct Way
    {
        std::string name;
        int signal;
        std::string field;
        std::string value;
        std::string cause;
    };
    disableSanitizerHandlers();
    std::string folder = (std::filesystem::temp_directory_path() / "catkinloft-XXXXXX").string();
    REQUIRE(mkdtemp(folder.data()));
    const std::vector<Way> ways = {
            {"exception", SIGABRT, "detail", "position \"12\" of 7", "exception"},
            {"exception", SIGABRT, "exception", "std::out_of_range", "exception"},
            {"missing_value", SIGABRT, "signal", "SIGABRT", "abort"},
            {"fault", SIGSEGV, "signal", "SIGSEGV", "fault"},
            {"null_pointer", SIGSEGV, "address", "0x0", "fault"},
            {"null_pointer", SIGSEGV, "callback", "request", "fault"},
            {"library", SIGSEGV, "address", "0x0", "fault"},
            {"stack_overflow", SIGSEGV, "signal", "SIGSEGV", "fault"},
            {"libevent", SIGABRT, "source", "crash", "libevent"}};
    for (std::size_t i = 0; i < ways.size(); ++i) {
        const Way &it = ways[i];
        CAPTURE(it.name);
        const std::string file = fmt::format("{}/{}.log", folder, i);
        ChildProcess child({CATKINLOFT_BINARIES "/catkinloft-crash", it.name}, file);
        CHECK(child.wait() == -it.signal);
        const std::ifstream in(file);
        std::ostringstream log;
        log << in.rdbuf();
        CAPTURE(log.str());
        const std::vector<Json::Value> crashes = events(log.str(), "process_crashed");
        REQUIRE(crashes.size() == 1);
        CHECK(crashes.front()["cause"].asString() == it.cause);
        CHECK(crashes.front()[it.field].asString() == it.value);
        const bool isInLibrary = it.name == "library";
        CHECK(crashes.front().isMember("code_address") == isInLibrary);
        CHECK(crashes.front().isMember("code_offset") == (it.cause == "fault" && !isInLibrary));
    }
    std::filesystem::remove_all(folder);
}
