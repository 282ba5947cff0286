#include "../../soak/SoakCheck.h"
#include "ReplicaStandin.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace catkinloft::soak;
using namespace std::chrono_literals;

namespace {

/// Answers and executions of a run without violations; each case adds one violation to it.
struct SoakCheckFixture
{
    SoakCheckFixture()
    {
        answer("s1", "once", "s1 answered by i-1");
        answer("s2", "safe", "s2 answered by i-1");
        addExecution("s1", "i-1");
        addExecution("s2", "i-1");
    }

    void answer(const std::string &id, const std::string &route, const std::string &body)
    {
        attempts[id] = {.route = route,
                        .key = "k",
                        .sentAt = start,
                        .status = 200,
                        .body = body,
                        .signature = standin::ReplicaStandin::signatureOf(id, body)};
    }

    void addExecution(const std::string &id, const std::string &replica, Duration after = 0s)
    {
        Json::Value it(Json::objectValue);
        it["id"] = id;
        it["replica"] = replica;
        it["workspace"] = "archive";
        it["key_seen"] = false;
        it["at_ms"] = static_cast<Json::Int64>((start.time_since_epoch() + after)
                                               / std::chrono::milliseconds(1));
        executions.push_back(it);
    }

    RunHistory history() const
    {
        return {.acts = acts,
                .disturbances = disturbances,
                .replicaDisturbances = replicaDisturbances};
    }

    /// Adds an execution of a request that crashes replicas, sent by router \a i, \a after the
    /// start.
    void addFatalExecution(Duration after, std::size_t i = 0)
    {
        const std::string id = "fatal-" + std::to_string(attempts.size());
        attempts[id] = {.route = "safe", .router = i, .sentAt = start};
        addExecution(id, "i-" + id, after);
        executions.back()["body"] = "fatal";
    }

    std::size_t broken() const { return brokenPromises(attempts, executions, history()).size(); }

    WallTime start{1000s};
    std::map<std::string, Attempt> attempts;
    std::vector<Json::Value> executions;
    std::vector<OperatorAct> acts;
    std::vector<RouterDisturbance> disturbances;
    std::vector<ReplicaDisturbance> replicaDisturbances;
};

} // namespace

TEST_CASE_FIXTURE(SoakCheckFixture, "soakCheck_nothingWrong_findsNothing")
{
    CHECK(broken() == 0);
}

TEST_CASE_FIXTURE(SoakCheckFixture, "soakCheck_eachBrokenPromise_isFound")
{
    SUBCASE("a call that may run once ran twice")
    {
        addExecution("s1", "i-2");
    }
    SUBCASE("a request reported as not run did run")
    {
        attempts["s1"].status = 503;
    }
    SUBCASE("the answer of another request")
    {
        attempts["s2"].body = "s1 answered by i-1";
    }
    SUBCASE("a truncated answer")
    {
        attempts["s2"].body.pop_back();
    }
    SUBCASE("an execution that no caller requested")
    {
        addExecution("s9", "i-1");
    }
    SUBCASE("the key reached a replica")
    {
        executions[0]["key_seen"] = true;
    }
    SUBCASE("the caller's priority reached a replica")
    {
        executions[0]["priority"] = "0";
    }
    SUBCASE("a revoked key is served")
    {
        acts.push_back({.acknowledgedAt = start - 6s, .key = "k"});
        attempts.erase("s2");
        executions.pop_back();
    }
    SUBCASE("a draining replica gets a request")
    {
        acts.push_back({.acknowledgedAt = start - 3s, .replica = "i-1"});
        attempts.erase("s2");
        executions.pop_back();
    }
    SUBCASE("more replicas than the route allows")
    {
        addExecution("s2", "i-2");
        addExecution("s2", "i-3");
    }
    SUBCASE("quarantined for the crashes of another request")
    {
        attempts["s2"].status = 503;
        attempts["s2"].body = R"({"reason":"request_quarantined"})";
        executions.pop_back();
    }
    SUBCASE("an answer to a request that did not run")
    {
        executions.pop_back();
    }
    CHECK(broken() == 1);
}

TEST_CASE_FIXTURE(SoakCheckFixture, "soakCheck_replicaReportsLeaving_getsNothingFromThatRouter")
{
    attempts["s2"].saysLeaving = true;
    attempts["s2"].answeredAt = start;
    attempts["s3"] = {.route = "safe", .router = 1, .sentAt = start + 3s};
    addExecution("s3", "i-1", 3s);
    CHECK(broken() == 0);
    attempts["s4"] = {.route = "safe", .sentAt = start + 3s};
    addExecution("s4", "i-1", 3s);
    CHECK(broken() == 1);
    disturbances = {{.router = 0, .from = start + 1s, .until = start + 2s}};
    CHECK(broken() == 0);
}

TEST_CASE_FIXTURE(SoakCheckFixture, "soakCheck_replicaAsksForAPause_getsTwoRequestsAtMost")
{
    const auto arrive = [&](const std::string &id, Duration after, double pause) {
        attempts[id] = {.route = "safe", .sentAt = start + std::chrono::milliseconds(after / 1ms)};
        addExecution(id, "i-1", after);
        executions.back()["turned_away"] = true;
        executions.back()["pause_ms"] = pause;
    };
    arrive("p1", 0s, 4000);
    for (int i = 0; i < 2; ++i) {
        arrive("q" + std::to_string(i), 1s, 0);
        CHECK(broken() == 0);
    }
    arrive("r", 4500ms, 0);
    CHECK(broken() == 0);
    arrive("q3", 2s, 0);
    CHECK(broken() == 1);
    // Another router was partitioned, this one before and after the replica had asked, and then
    // when it asked.
    replicaDisturbances = {{.router = 1, .from = start - 1s, .until = start + 1s},
                           {.router = 0, .from = start - 2s, .until = start - 1s},
                           {.router = 0, .from = start + 1s, .until = start + 2s},
                           {.replica = "i-1", .from = start - 1s, .until = start + 1s}};
    CHECK(broken() == 1);
    replicaDisturbances.push_back({.router = 0, .from = start - 1s, .until = start + 100ms});
    CHECK(broken() == 0);
}

TEST_CASE_FIXTURE(SoakCheckFixture, "soakCheck_requestThatCrashesReplicas_runsThreeTimesMoreAtMost")
{
    for (int i = 0; i < 6; ++i)
        addFatalExecution(i * 1s); // The third runs at 2 s; none runs more than 3 s after it.
    CHECK(broken() == 0);
    for (int i = 0; i < 3; ++i)
        addFatalExecution(6s);
    CHECK(broken() == 0);
    addFatalExecution(7s, 1);
    CHECK(broken() == 1);
    disturbances = {{.router = 1, .from = start + 1s, .until = start + 5s}};
    CHECK(broken() == 0);
}

TEST_CASE_FIXTURE(SoakCheckFixture, "soakCheck_wrongAnswer_lineNamesTheAnswerAndWhereItRan")
{
    attempts["s2"].body = "s2 answered";
    executions[1]["resumed"] = true;
    const std::vector<std::string> lines = brokenPromises(attempts, executions, history());
    REQUIRE(lines.size() == 1);
    for (const char *it : {"s2 got another answer", "route safe", "status 200",
                           R"(body "s2 answered")", "resumed at i-1 0 ms later"})
        CHECK(lines[0].find(it) != std::string::npos);
}

// Guards against a soak that passes although routers cut off answers of replicas that were only
// paused for a moment.
TEST_CASE_FIXTURE(SoakCheckFixture, "soakCheck_answerIsCutOff_isReportedIfItsReplicaWasSound")
{
    attempts["l1"] = {.route = "stream", .sentAt = start, .cutOffAt = start + 1300ms};
    addExecution("l1", "i-1");
    std::size_t expected = 1;
    SUBCASE("nothing else happened") { }
    SUBCASE("its router was paused")
    {
        disturbances = {{.from = start, .until = start + 1s, .isPause = true}};
    }
    SUBCASE("another router was killed")
    {
        disturbances = {{.router = 1, .from = start, .until = start + 1s}};
    }
    SUBCASE("its router was killed")
    {
        disturbances = {{.from = start, .until = start + 1s}};
        expected = 0;
    }
    SUBCASE("another replica was faulty")
    {
        replicaDisturbances = {{.replica = "i-2", .from = start, .until = start + 1s}};
    }
    SUBCASE("its replica was faulty before")
    {
        replicaDisturbances = {{.replica = "i-1", .from = start - 2s, .until = start - 1s}};
    }
    SUBCASE("its replica was faulty")
    {
        replicaDisturbances = {{.replica = "i-1", .from = start, .until = start + 1s}};
        expected = 0;
    }
    SUBCASE("one of its replicas was faulty")
    {
        addExecution("l1", "i-2", 1200ms);
        replicaDisturbances = {{.replica = "i-2", .from = start, .until = start + 1s}};
        expected = 0;
    }
    SUBCASE("its router was partitioned from the replicas")
    {
        replicaDisturbances = {{.router = 0, .from = start, .until = start + 1s}};
        expected = 0;
    }
    SUBCASE("another router was partitioned from the replicas")
    {
        replicaDisturbances = {{.router = 1, .from = start, .until = start + 1s}};
    }
    SUBCASE("its deadline had passed")
    {
        attempts["l1"].cutOffAt = start + 2950ms;
        expected = 0;
    }
    SUBCASE("it reached no replica")
    {
        executions.pop_back();
        expected = 0;
    }
    CHECK(broken() == expected);
}

// Guards against a soak that passes although a router that was told to stop cuts off answers which
// their callers could read in time, and against one that asks for more than the stop timeout.
TEST_CASE_FIXTURE(SoakCheckFixture,
                  "soakCheck_slowCallerIsCutOff_isReportedUnlessTheStopLimitIsTooShort")
{
    Attempt &it = attempts["d1"] = {.route = "once",
                                    .sentAt = start,
                                    .cutOffAt = start + 3s,
                                    .timeout = 8s,
                                    .bytesPerSecond = 1e6,
                                    .bytes = 1'000'000,
                                    .length = 3'000'000};
    addExecution("d1", "i-1");
    RouterDisturbance stop{.from = start, .until = start + 4s, .isPlannedStop = true};
    std::size_t expected = 1;
    SUBCASE("beside a configuration or a crowd")
    {
        stop.router = 1;
    }
    SUBCASE("after SIGTERM") { }
    SUBCASE("after SIGTERM to a router that was killed then")
    {
        disturbances = {{.from = start + 2s, .until = start + 4s}};
        expected = 0;
    }
    SUBCASE("after SIGTERM to a router that was paused then")
    {
        disturbances = {{.from = start + 1s, .until = start + 2s, .isPause = true}};
        expected = 0;
    }
    SUBCASE("just in time for the rest")
    {
        stop.from = start - 2500ms;
    }
    SUBCASE("too late for the rest")
    {
        stop.from = start - 2600ms;
        expected = 0;
    }
    SUBCASE("its replica failed after the answer had begun")
    {
        replicaDisturbances = {{.replica = "i-1", .from = start, .until = start + 1s}};
    }
    SUBCASE("its replica failed before the answer had begun")
    {
        replicaDisturbances = {{.replica = "i-1", .from = start, .until = start + 1s}};
        it.bytes = 0;
        expected = 0;
    }
    SUBCASE("nothing of the answer had arrived")
    {
        it.bytes = 0;
    }
    SUBCASE("its deadline had passed")
    {
        it.timeout = 3s;
        expected = 0;
    }
    disturbances.push_back(stop);
    CHECK(broken() == expected);
}

TEST_CASE_FIXTURE(SoakCheckFixture,
                  "soakCheck_slowCallerIsCutOff_lineNamesRouterBytesAndTimeSinceSigterm")
{
    attempts["d1"] = {.route = "safe",
                      .router = 2,
                      .sentAt = start,
                      .cutOffAt = start + 3s,
                      .timeout = 8s,
                      .bytesPerSecond = 1e6,
                      .bytes = 1'000'000,
                      .length = 3'000'000};
    addExecution("d1", "i-1");
    disturbances = {{.router = 2, .from = start + 100ms, .isPlannedStop = true}};
    const std::vector<std::string> lines = brokenPromises(attempts, executions, history());
    REQUIRE(lines.size() == 1);
    for (const char *it :
         {"d1 was cut off", "router 2", "1000000 of 3000000 bytes", "2900 ms after SIGTERM"})
        CHECK(lines[0].find(it) != std::string::npos);
}

// Guards against a soak that passes although a stream has events of two software versions.
TEST_CASE_FIXTURE(SoakCheckFixture, "soakCheck_resumedStreamOfAnotherVersion_isReported")
{
    const auto events = [](int from, int to, const std::string &version) {
        std::string out;
        for (int i = from; i <= to; ++i)
            out += standin::ReplicaStandin::eventText(i, version);
        return out;
    };
    attempts["s3"] = {.route = "stream", .sentAt = start, .body = events(1, 2, "v1")};
    answer("s3-resumed", "stream", events(3, 6, "v1"));
    Attempt &resumed = attempts["s3-resumed"];
    resumed.signature = standin::ReplicaStandin::signatureOf("s3-resumed", {});
    resumed.resumes = "s3";
    resumed.afterEvent = 2;
    addExecution("s3", "i-1");
    addExecution("s3-resumed", "i-1");
    CHECK(broken() == 0);
    resumed.body = events(3, 6, "v2");
    CHECK(broken() == 1);
    resumed.body = events(3, 5, "v1");
    CHECK(broken() == 1);
}
