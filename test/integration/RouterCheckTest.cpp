#include "../../soak/RouterCheck.h"
#include "AbortingUpstream.h"
#include "Base/Random.h"
#include "Net/EventLoop.h"
#include "fleet/ChildProcess.h"
#include "fleet/Fleet.h"

#include <csignal>

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

/// A request on a kept connection to router 1 that ran and has no answer.
struct RouterCheckFixture
{
    RouterCheckFixture()
    {
        attempts["s1"] = {.route = "safe",
                          .router = 1,
                          .sentAt = start + 4s,
                          .cutOffAt = start + 4200ms,
                          .isOnKeptConnection = true,
                          .unanswered = Unanswered::Closed,
                          .unansweredAt = start + 4200ms};
        arrivals.emplace_back(Json::objectValue);
        arrivals[0]["id"] = "s1";
        arrivals[0]["replica"] = "i-1";
        arrivals[0]["at_ms"] = Json::Int64((start + 4s).time_since_epoch() / 1ms);
        history.startedAt = start;
        history.routerLogs = {RouterLog(), RouterLog(line("request_sent", 4, "s1", 3000))};
    }

    std::vector<std::string> broken() const
    {
        std::vector<std::string> out;
        const auto add = [&](std::string it) { out.push_back(std::move(it)); };
        checkRouters(attempts, arrivals, history, add);
        checkRouterLogs(history, add);
        return out;
    }

    WallTime start{1000s};
    std::map<std::string, Attempt> attempts;
    std::vector<Json::Value> arrivals;
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
    attempts.clear();
    history.routerExits = {{.router = 2, .at = start + 3250ms, .status = -SIGSEGV},
                           {.router = 0, .at = start + 5s, .status = 1}};
    const std::vector<std::string> lines = broken();
    REQUIRE(lines.size() == 2);
    CHECK(lines[0] == "router 2 ended by itself at 3.250 s: signal 11 (Segmentation fault)");
    CHECK(lines[1] == "router 0 ended by itself at 5.000 s: exit status 1");
}

// Guards against a soak that passes although a request that a running router had read on a kept
// connection got no answer, and against one that reports what the guarantees allow.
TEST_CASE_FIXTURE(RouterCheckFixture,
                  "routerCheck_unansweredOnKeptConnection_isReportedIfNotAllowed")
{
    Attempt &it = attempts["s1"];
    std::size_t expected = 1;
    SUBCASE("nothing else happened") { }
    SUBCASE("it reached no replica")
    {
        arrivals.clear();
    }
    SUBCASE("it was answered")
    {
        it.unanswered = Unanswered::No;
        expected = 0;
    }
    SUBCASE("it was the first one on its connection")
    {
        it.isOnKeptConnection = false;
        expected = 0;
    }
    SUBCASE("the log of its router lost the last lines")
    {
        history.routerLogs[1] = RouterLog();
    }
    SUBCASE("the connection was closed before the request was read")
    {
        arrivals.clear();
        history.routerLogs[1] = RouterLog();
        expected = 0;
    }
    SUBCASE("another router has read a request of this id")
    {
        arrivals.clear();
        std::swap(history.routerLogs[0], history.routerLogs[1]);
        expected = 0;
    }
    SUBCASE("its caller gave it up and it was never read")
    {
        arrivals.clear();
        it.unanswered = Unanswered::TimedOut;
        history.routerLogs[1] = RouterLog();
    }
    SUBCASE("its router was killed")
    {
        history.disturbances = {{.router = 1, .from = start + 4100ms, .until = start + 5s}};
        expected = 0;
    }
    SUBCASE("its router had been paused shortly before")
    {
        history.disturbances = {{.router = 1, .from = start, .until = start + 2s, .isPause = true}};
        expected = 0;
    }
    SUBCASE("its router had been paused long before")
    {
        history.disturbances = {
                {.router = 1, .from = start, .until = start + 900ms, .isPause = true}};
    }
    SUBCASE("its router was killed later")
    {
        history.disturbances = {{.router = 1, .from = start + 4300ms}};
    }
    SUBCASE("another router was killed")
    {
        history.disturbances = {{.router = 0, .from = start + 4100ms}};
    }
    SUBCASE("its router had ended by itself")
    {
        history.routerExits = {{.router = 1, .at = start + 4200ms, .status = -SIGABRT}};
        expected = 2;
    }
    SUBCASE("its router was partitioned from the replicas")
    {
        history.replicaDisturbances = {{.router = 1, .from = start + 4s, .until = start + 5s}};
        expected = 0;
    }
    SUBCASE("its replica had ended")
    {
        history.replicaDisturbances = {{.replica = "i-1", .from = start + 4s, .until = start + 5s}};
        expected = 0;
    }
    SUBCASE("its replica had ended and the router did not tell its caller")
    {
        it.unanswered = Unanswered::TimedOut;
        history.replicaDisturbances = {{.replica = "i-1", .from = start + 4s, .until = start + 5s}};
    }
    SUBCASE("another replica had ended")
    {
        history.replicaDisturbances = {{.replica = "i-2", .from = start + 4s, .until = start + 5s}};
    }
    CHECK(broken().size() == expected);
}

// Guards against a report from which the request can't be found in the logs.
TEST_CASE_FIXTURE(RouterCheckFixture, "routerCheck_unanswered_lineNamesSecondRouterAndHowItEnded")
{
    const auto lineOf = [&](Unanswered how) {
        attempts["s1"].unanswered = how;
        const std::vector<std::string> lines = broken();
        return lines.size() == 1 ? lines[0] : std::string();
    };
    CHECK(lineOf(Unanswered::Eof)
                  .starts_with("s1 on a kept connection to router 1 at 4.000 s has no answer: the "
                               "router closed the "
                               "connection after 200 ms (route safe"));
    CHECK(lineOf(Unanswered::Reset).find(": the connection was reset after") != std::string::npos);
    CHECK(lineOf(Unanswered::Closed).find(": the connection was closed or reset after")
          != std::string::npos);
    CHECK(lineOf(Unanswered::TimedOut).find(": the caller timed out after") != std::string::npos);
}

// Guards against a soak that passes although a router forgot a request that it had sent on.
TEST_CASE_FIXTURE(RouterCheckFixture, "routerLog_sentWithoutAnEnd_isReportedIfTheProcessRanOn")
{
    attempts.clear();
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

// Guards against requests without an answer that the callers of the soak don't notice.
TEST_CASE("attempt_noteEnd_tellsUnansweredRequestsOnKeptConnections")
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    AbortingUpstream::Plan plan{.answer = "", .first = answer};
    Attempt expected{.isOnKeptConnection = true, .unanswered = Unanswered::Closed};
    SUBCASE("closed") { }
    SUBCASE("reset")
    {
        plan.end = AbortingUpstream::End::Reset;
    }
    SUBCASE("timed out")
    {
        plan.awaitsPermission = true;
        expected.unanswered = Unanswered::TimedOut;
    }
    SUBCASE("closed within the head of the answer")
    {
        plan.answer = "HTTP/1.1 200";
        expected.unanswered = Unanswered::No;
    }
    SUBCASE("answered")
    {
        plan.answer = answer;
        expected.unanswered = Unanswered::No;
    }
    SUBCASE("on a new connection")
    {
        plan.first.clear();
        expected.isOnKeptConnection = false;
    }
    AbortingUpstream upstream(plan);
    EventLoop loop;
    HttpClient client(loop);
    const auto send = [&](Duration timeout, bool isAnswered) {
        Attempt out;
        HttpCallPtr call;
        call = client.send({.address = upstream.address(), .timeout = timeout},
                           {.onEnd = [&](const Result<void> &result) {
                               CHECK(result.has_value() == isAnswered);
                               out.noteEnd(*call, result, loop.wallNow());
                               loop.stop();
                           }});
        loop.run();
        return out;
    };
    if (!plan.first.empty())
        send(20s, true);
    std::this_thread::sleep_for(5ms);
    const bool timesOut = expected.unanswered == Unanswered::TimedOut;
    const Attempt last = send(timesOut ? 100ms : 20s, plan.answer == answer);
    CHECK(last.isOnKeptConnection == expected.isOnKeptConnection);
    CHECK(last.unanswered == expected.unanswered);
}
