#include "../../soak/RouterCheck.h"
#include "fleet/ChildProcess.h"

#include <csignal>
#include <thread>

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace catkinloft;
using namespace catkinloft::soak;
using namespace std::chrono_literals;
using standin::ChildProcess;

namespace {

/// \returns a log line at \a second, after the begin of a minute.
std::string line(const std::string &event, double second, const std::string &id = {},
                 int remainingMs = 0)
{
    return fmt::format(R"({{"time":"2026-01-31T12:00:{:06.3f}Z","event":"{}","request_id":"{}",)"
                       R"("remaining_ms":{}}})"
                       "\n",
                       second, event, id, remainingMs);
}

/// The history of a run and what is wrong with it.
struct RouterCheckFixture
{
    RouterCheckFixture() { history.startedAt = start; }

    std::vector<std::string> broken() const
    {
        std::vector<std::string> out;
        const auto add = [&](std::string it) { out.push_back(std::move(it)); };
        checkRouters(history, add);
        checkRouterLogs(history, add);
        return out;
    }

    WallTime start{1000s};
    RunHistory history;
};

std::optional<int> unrequestedEndOf(const std::string &script, int signal)
{
    ChildProcess it({"/bin/sh", "-c", script}, {});
    if (signal == SIGTERM) // The shell needs time until its trap is set.
        std::this_thread::sleep_for(200ms);
    if (signal != 0)
        it.signal(signal);
    it.wait();
    return it.unrequestedEnd();
}

} // namespace

// Guards against a soak that takes an end of a process by itself for one that the run has caused.
TEST_CASE("childProcess_ended_isUnrequestedUnlessItsSignalExplainsIt")
{
    CHECK(unrequestedEndOf("exit 3", 0) == 3);
    CHECK(unrequestedEndOf("exit 0", 0) == 0);
    CHECK(unrequestedEndOf("kill -SEGV $$", 0) == -SIGSEGV);
    CHECK(unrequestedEndOf("kill -KILL $$", 0) == -SIGKILL);
    CHECK(unrequestedEndOf("sleep 9", SIGKILL) == std::nullopt);
    CHECK(unrequestedEndOf("exec sleep 9", SIGTERM) == std::nullopt);
    CHECK(unrequestedEndOf("trap 'exit 0' TERM; while :; do sleep 0.01; done", SIGTERM)
          == std::nullopt);
    CHECK(unrequestedEndOf("trap 'exit 1' TERM; while :; do sleep 0.01; done", SIGTERM) == 1);
    CHECK(unrequestedEndOf("trap 'kill -ABRT $$' TERM; while :; do sleep 0.01; done", SIGTERM)
          == -SIGABRT);
    ChildProcess running({"/bin/sleep", "9"}, {});
    CHECK(running.unrequestedEnd() == std::nullopt);
}

// Guards against a soak that passes although a router has ended by itself.
TEST_CASE_FIXTURE(RouterCheckFixture, "routerCheck_routerEndedByItself_lineNamesSecondAndSignal")
{
    history.routerExits = {{.router = 2, .at = start + 3250ms, .status = -SIGSEGV},
                           {.router = 0, .at = start + 5s, .status = 1}};
    const std::vector<std::string> lines = broken();
    REQUIRE(lines.size() == 2);
    CHECK(lines[0] == "router 2 ended by itself at 3.250 s: signal 11 (Segmentation fault)");
    CHECK(lines[1] == "router 0 ended by itself at 5.000 s: exit status 1");
}

// Guards against a soak that passes although a router forgot a request that it had sent on.
TEST_CASE_FIXTURE(RouterCheckFixture, "routerLog_sentWithoutAnEnd_isReportedIfTheProcessRanOn")
{
    const std::string sent = line("request_sent", 4, "s1", 3000);
    const std::string later = line("request_sent", 8.1, "s2", 3000);
    std::string log = sent + later;
    std::size_t expected = 1;
    SUBCASE("no end") { }
    SUBCASE("sent again")
    {
        log = sent + line("request_sent", 5, "s1", 2000) + later;
    }
    SUBCASE("the end of another request")
    {
        log = sent + line("request_answered", 5, "s3") + later;
    }
    SUBCASE("an end")
    {
        for (const char *event : {"request_answered", "request_refused", "request_broken_off",
                                  "caller_gone", "answer_cut"}) {
            std::string ended = sent;
            ended += line(event, 5, "s1");
            ended += later;
            CHECK(RouterLog(ended).unended().empty());
        }
    }
    SUBCASE("the log ends within a second after its deadline")
    {
        log = sent + line("request_sent", 7.9, "s2", 3000);
        expected = 0;
    }
    SUBCASE("the process ended before")
    {
        log = sent + line("started", 6) + later;
        expected = 0;
    }
    SUBCASE("the process ended before, within a line")
    {
        log = sent + R"({"time":"2026-01-31T)";
        log += line("started", 6);
        log += later;
        expected = 0;
    }
    SUBCASE("the next process has not logged its start yet")
    {
        log = sent + line("config_applied", 8.5) + line("started", 8.6) + later;
        expected = 0;
    }
    SUBCASE("its process ended later")
    {
        log = sent + later + line("started", 8.5);
    }
    SUBCASE("lines were dropped")
    {
        log = sent
                + R"({"level":"warning","event":"log_lines_dropped","total":3})"
                  "\n"
                + later;
        expected = 0;
    }
    history.routerLogs = {RouterLog(), RouterLog(log)};
    const std::vector<std::string> lines = broken();
    CHECK(lines.size() == expected);
    if (!lines.empty())
        CHECK(lines[0].starts_with("s1 was sent to a replica by router 1 at "));
    CHECK(history.routerLogs[1].names("s1"));
    CHECK_FALSE(history.routerLogs[1].names("s9"));
}
