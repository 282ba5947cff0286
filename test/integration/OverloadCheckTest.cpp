#include "../../soak/OverloadCheck.h"

#include <doctest/doctest.h>

#include <fmt/format.h>

using namespace catkinloft;
using namespace catkinloft::soak;
using namespace std::chrono_literals;

namespace {

/// A fleet that keeps all promises in an overload from 10 s to 12 s, before and after which all
/// requests are served; each case changes something.
struct OverloadFixture
{
    static constexpr int RequestsPerPriority = 200;

    OverloadFixture()
    {
        for (int i = 0; i < 300; ++i) {
            add(fmt::format("before-{}", i), 7s + i * 10ms, 200);
            add(fmt::format("after-{}", i), 14s + i * 10ms, 200);
        }
        // Half of the requests of each priority are served.
        for (int priority = 0; priority < 3; ++priority) {
            for (int i = 0; i < RequestsPerPriority; ++i)
                add(name(priority, i), 10s + i * 10ms, i % 2 == 0 ? 200 : 503).priority = priority;
        }
        for (int i = 0; i < 100; ++i)
            history.canaries.push_back({.sentAt = at(10s + i * 20ms), .delay = 1ms});
        history.overloads.push_back({.from = at(10s), .until = at(12s), .isAlone = true});
    }

    static std::string name(int priority, int i) { return fmt::format("w{}-{}", priority, i); }

    static WallTime at(Duration after)
    {
        return WallTime(1000s) + std::chrono::duration_cast<std::chrono::milliseconds>(after);
    }

    Attempt &add(const std::string &id, Duration sentAfter, int status)
    {
        Attempt &it = attempts[id];
        it = {.route = "safe",
              .sentAt = at(sentAfter),
              .status = status,
              .answeredAt = at(sentAfter + 5ms)};
        if (status == 503)
            it.retryAfter = "0.300";
        return it;
    }

    /// Changes how many requests of \a priority are served; the others are refused.
    void serve(int priority, int n)
    {
        for (int i = 0; i < RequestsPerPriority; ++i)
            add(name(priority, i), 10s + i * 10ms, i < n ? 200 : 503).priority = priority;
    }

    std::vector<std::string> broken() const
    {
        std::vector<std::string> out;
        checkOverloads(attempts, runs, history, [&](std::string it) { out.push_back(it); });
        return out;
    }

    std::map<std::string, Attempt> attempts;
    std::map<std::string, int> runs;
    RunHistory history;
};

} // namespace

TEST_CASE_FIXTURE(OverloadFixture, "overloadCheck_promisesKept_findsNothing")
{
    CHECK(broken().empty());
}

// Guards against a soak that passes although a refusal is untrue, without a time or late (O1), or a
// request is lost (O2).
TEST_CASE_FIXTURE(OverloadFixture, "overloadCheck_eachBrokenPromise_isFound")
{
    Attempt &refused = attempts[name(0, 1)];
    SUBCASE("a repeatable request that was refused as not run did run")
    {
        runs[name(0, 1)] = 1;
    }
    SUBCASE("a refusal without Retry-After")
    {
        refused.retryAfter.clear();
    }
    SUBCASE("a Retry-After that is no positive time")
    {
        refused.retryAfter = "0.000";
    }
    SUBCASE("a refusal that took 44 ms while messages took 1 ms")
    {
        refused.answeredAt = refused.sentAt + 44ms;
    }
    SUBCASE("a request without an answer")
    {
        attempts[name(0, 0)].status = 0;
    }
    SUBCASE("a request with an unknown outcome")
    {
        attempts[name(0, 0)].status = 504;
    }
    CHECK(broken().size() == 1);
}

// Guards against reports of a slow router where the machine delayed all messages, and against a
// paused router that hides the slow refusals of the others.
TEST_CASE_FIXTURE(OverloadFixture, "overloadCheck_slowRefusal_isComparedWithCanariesOfThatMoment")
{
    Attempt &refused = attempts[name(0, 101)]; // Sent at 11.01 s.
    refused.answeredAt = refused.sentAt + 100ms;
    CHECK(broken().size() == 1);
    history.canaries = {{.sentAt = at(11100ms), .delay = Duration::max()}};
    CHECK(broken().size() == 1);
    history.canaries = {{.sentAt = at(11100ms), .delay = 20ms}};
    CHECK(broken().empty());
}

// Guards against limits for an overload alone that are applied while other faults are active.
TEST_CASE_FIXTURE(OverloadFixture,
                  "overloadCheck_besideOtherFaults_refusalsMustReachTheCallerInTime")
{
    history.overloads[0].isAlone = false;
    attempts[name(0, 0)].status = 0;
    Attempt &refused = attempts[name(0, 101)];
    refused.answeredAt = refused.sentAt + 2s;
    CHECK(broken().empty());
    refused.answeredAt = refused.sentAt + 3200ms;
    CHECK(broken().size() == 1);
    refused.answeredAt = refused.sentAt;
    refused.retryAfter.clear();
    CHECK(broken().size() == 1);
}

// Guards against a soak that passes although a less urgent priority is served better (O3). With 200
// requests each of which half are served three standard deviations are 0.15.
TEST_CASE_FIXTURE(OverloadFixture, "overloadCheck_urgentPriorityIsServedWorse_isReported")
{
    serve(0, 70);
    serve(1, 100);
    serve(2, 100);
    CHECK(broken().empty());
    serve(0, 55);
    CHECK(broken().size() == 2);
    serve(0, 200);
    serve(1, 100);
    serve(2, 10);
    CHECK(broken().empty());
}

TEST_CASE_FIXTURE(OverloadFixture, "overloadCheck_retriedRequest_countsOnceAndAsServed")
{
    serve(0, 55);
    CHECK(broken().size() == 2);
    for (int i = 100; i < 150; ++i) {
        Attempt &retry = add(name(0, i) + "-try-2", 11s, 200);
        retry.priority = 0;
        retry.firstTry = name(0, i);
    }
    CHECK(broken().empty());
}

// Guards against a soak that passes although one priority gets nothing at all (O3).
TEST_CASE_FIXTURE(OverloadFixture, "overloadCheck_priorityIsNeverServed_isReported")
{
    serve(2, 1);
    CHECK(broken().empty());
    serve(2, 0);
    CHECK(broken().size() == 1);
}

// Guards against a report of starvation where other faults have stopped all replicas of a service,
// and against one priority that gets nothing of the little that is left.
TEST_CASE_FIXTURE(OverloadFixture,
                  "overloadCheck_serviceIsDownBesideOtherFaults_noPriorityIsStarved")
{
    for (int i = 0; i < 3; ++i)
        serve(i, 0);
    CHECK(broken().size() == 3);
    history.overloads[0].isAlone = false;
    CHECK(broken().empty());
    serve(0, 8);
    serve(1, 8);
    CHECK(broken().empty()); // 16 of 600: 5 of 200 are expected, too few to tell.
    serve(0, 12);
    serve(1, 12);
    CHECK(broken().size() == 1); // 24 of 600: 8 of 200 are expected.
}

// Guards against a soak that passes although requests are still refused later than two seconds
// after the overload (O4).
TEST_CASE_FIXTURE(OverloadFixture, "overloadCheck_refusalsAfterTheOverload_areReported")
{
    for (int i = 0; i < 3; ++i)
        attempts[fmt::format("after-{}", i)].status = 503;
    CHECK(broken().empty());
    attempts["after-3"].status = 503;
    CHECK(broken().size() == 1);
    attempts["before-0"].status = 503;
    attempts["before-1"].status = 503;
    CHECK(broken().empty());
}

// Guards against a phase that checks nothing because the replicas never got full.
TEST_CASE_FIXTURE(OverloadFixture, "overloadCheck_nothingRefused_isReported")
{
    for (int i = 0; i < 3; ++i)
        serve(i, RequestsPerPriority);
    CHECK(broken().size() == 1);
}
