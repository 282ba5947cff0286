#include "Decide/SlowCallMonitor.h"
#include "Base/ManualClock.h"
#include "Decide/AttemptSilence.h"

#include <doctest/doctest.h>

#include <string>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// What becomes of a call at a replica, with a timeout of 4 s and one other replica that is sound.
struct SlowCallMonitorFixture
{
    struct Replica
    {
        bool answersCall = true; ///< This call, once its work is done.
        bool answersOthers = true; ///< Each 100 ms, if there are others.
        bool hasOthers = true;
        bool answersProbes = true;
        Duration standsStillAfter = 1h; ///< Nothing is answered from then on.
    };

    struct Outcome
    {
        bool served = false;
        int runs = 1;
        Duration time = 0ms;
    };

    static constexpr Duration Timeout = 4s;
    static constexpr Duration Step = 100ms;

    /// Sends a call that needs \a work, first to \a replica.
    Outcome call(Duration work, const Replica &replica)
    {
        clock.advance(1s);
        Outcome out;
        silence.start(route, 0s);
        Duration attemptTime = 0ms;
        for (; out.time < Timeout; out.time += Step, attemptTime += Step) {
            const bool isFirst = out.runs == 1;
            const bool isUp = !isFirst || out.time < replica.standsStillAfter;
            if (isUp && (!isFirst || (replica.hasOthers && replica.answersOthers)))
                monitor.received(isFirst ? "first" : "second");
            if (isUp && (!isFirst || replica.answersCall) && attemptTime >= work) {
                out.served = true;
                monitor.answered("route", attemptTime);
                return out;
            }
            monitor.watch(current(isFirst));
            for (const std::string &it : monitor.dueProbes()) {
                ++probes;
                if (isUp && (!isFirst || replica.answersProbes))
                    monitor.received(it);
            }
            if (isFirst && silence.isStalled() && !monitor.isSlow(current(true))) {
                ++out.runs;
                silence.start(route, 0s);
                attemptTime = 0ms;
            }
            clock.advance(Step);
        }
        if (out.runs > 1)
            monitor.expired(current(false));
        return out;
    }

    SlowCallMonitor::Call current(bool isFirst) const
    {
        return {.route = "route",
                .replica = isFirst ? "first" : "second",
                .time = silence.time(),
                .stallLimit = silence.stallLimit()};
    }

    ManualClock clock;
    Route route{.kind = CallKind::Idempotent, .timeout = Timeout};
    AttemptSilence silence{clock};
    SlowCallMonitor monitor{{.clock = clock}};
    int probes = 0;
};

} // namespace

TEST_SUITE_BEGIN("SlowCallMonitor");

// Guards against calls that run twice and are answered by neither run.
TEST_CASE_FIXTURE(SlowCallMonitorFixture, "slowCall_replicaIsAlive_isServedByItsFirstRun")
{
    Replica replica;
    SUBCASE("beside other calls") { }
    SUBCASE("alone")
    {
        replica.hasOthers = false;
    }
    for (const Duration work : {400ms, 1500ms, 2500ms, 3000ms, 3800ms}) {
        const Outcome got = call(work, replica);
        CHECK(got.served);
        CHECK(got.runs == 1);
    }
    CHECK((probes > 0) == !replica.hasOthers);
}

// Guards against calls that wait for a replica which stands still.
TEST_CASE_FIXTURE(SlowCallMonitorFixture, "slowCall_replicaStandsStill_isServedByAnotherOne")
{
    Replica replica;
    SUBCASE("before the call")
    {
        replica.standsStillAfter = 0s;
    }
    SUBCASE("during the call")
    {
        replica.standsStillAfter = 900ms;
    }
    SUBCASE("shortly before the call counts as stalled")
    {
        replica.standsStillAfter = 1600ms;
    }
    SUBCASE("without other calls")
    {
        replica.hasOthers = false;
        replica.standsStillAfter = 500ms;
    }
    REQUIRE(call(1600ms, {}).served); // Calls of this length are usual.
    const Outcome got = call(1600ms, replica);
    CHECK(got.served);
    CHECK(got.runs == 2);
    CHECK(got.time <= 2s + 1600ms + Step);
}

// Guards against calls that wait until their deadline for a replica which answers only a part of
// its requests.
TEST_CASE_FIXTURE(SlowCallMonitorFixture, "slowCall_replicaAnswersOnlyOthers_isServedByAnotherOne")
{
    REQUIRE(call(30ms, {}).served);
    const Outcome got = call(30ms, {.answersCall = false});
    CHECK(got.served);
    CHECK(got.runs == 2);
    CHECK(got.time <= 2s + 2 * Step);
    CHECK(probes == 0);
}

// Guards against slow calls that are never served because the other calls of their route are fast.
TEST_CASE_FIXTURE(SlowCallMonitorFixture, "slowCall_routeIsFastOtherwise_onlyFirstOneIsGivenUp")
{
    REQUIRE(call(30ms, {}).served);
    CHECK(!call(3s, {}).served);
    for (int i = 0; i < 5; ++i) {
        REQUIRE(call(30ms, {}).served);
        const Outcome got = call(3s, {});
        CHECK(got.served);
        CHECK(got.runs == 1);
    }
}

// Guards against a slow call of long ago that lets calls wait for their deadline from then on.
TEST_CASE_FIXTURE(SlowCallMonitorFixture, "slowCall_slowOnesAreLongAgo_routeIsFastAgain")
{
    REQUIRE(call(3s, {}).served);
    REQUIRE(call(30ms, {}).served);
    CHECK(!call(30ms, {.answersCall = false}).served);
    for (int i = 0; i < 2; ++i) {
        clock.advance(5min);
        REQUIRE(call(30ms, {}).served);
    }
    CHECK(call(30ms, {.answersCall = false}).served);
}

TEST_CASE_FIXTURE(SlowCallMonitorFixture, "slowCall_replicaIsGone_itsSignsAreForgotten")
{
    const SlowCallMonitor::Call it{
            .route = "route", .replica = "first", .time = 2s, .stallLimit = 2s};
    monitor.received("first");
    CHECK(monitor.isSlow(it));
    monitor.retain({"second"});
    CHECK(!monitor.isSlow(it));
}

TEST_SUITE_END();
