#include "Base/ManualClock.h"
#include "Decide/HealthTracker.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct HealthTrackerFixture
{
    void answer(std::size_t i, Duration total, bool succeeded = true)
    {
        const AttemptReport report{.succeeded = succeeded,
                                   .verdict = Verdict::Ran,
                                   .reason = Reason::UpstreamBroken,
                                   .untilFirstByte = total,
                                   .total = total};
        tracker.record(entries[i], 100, report, entries.size(), clock.now());
    }

    void warmUp()
    {
        for (int round = 0; round < 20; ++round) {
            for (std::size_t i = 0; i < entries.size(); ++i)
                answer(i, 100ms);
        }
        std::vector<double> costs;
        for (const auto &it : entries)
            costs.push_back(it.cost);
        tracker.updateBaseline(costs);
    }

    ManualClock clock;
    HealthTracker tracker;
    std::vector<HealthTracker::Entry> entries{9};
};

using State = HealthTracker::State;

} // namespace

TEST_CASE_FIXTURE(HealthTrackerFixture, "healthTracker_crashed_isEjectedAfterThreeFailures")
{
    warmUp();
    answer(2, 1ms, false);
    answer(2, 1ms, false);
    CHECK(tracker.admits(entries[2], clock.now()));
    answer(2, 1ms, false);
    CHECK_FALSE(tracker.admits(entries[2], clock.now()));
}

TEST_CASE_FIXTURE(HealthTrackerFixture, "healthTracker_slowUpstream_onlyItIsEjected")
{
    warmUp();
    for (int i = 0; i < 10; ++i)
        answer(4, 1s);
    CHECK(entries[4].state == State::Ejected);
    CHECK(tracker.ejectedCount() == 1);
}

// Guards against the ejection of a healthy upstream because of a single answer that a lost packet
// or a suspended VM delayed.
TEST_CASE_FIXTURE(HealthTrackerFixture, "healthTracker_singleStall_ejectsNothing")
{
    warmUp();
    answer(4, 10s);
    CHECK(entries[4].state == State::Healthy);
    for (int i = 0; i < 10; ++i)
        answer(4, 100ms);
    answer(4, 10s);
    CHECK(entries[4].state == State::Healthy);
}

// Guards against the same for an answer that was delayed before the usual cost was known.
TEST_CASE_FIXTURE(HealthTrackerFixture, "healthTracker_stallBeforeBaseline_ejectsNothing")
{
    answer(4, 10s);
    warmUp();
    for (int i = 0; i < 3; ++i)
        answer(4, 100ms);
    CHECK(entries[4].state == State::Healthy);
}

TEST_CASE_FIXTURE(HealthTrackerFixture, "healthTracker_allFail_ejectsAtMostTheMaxShare")
{
    for (int round = 0; round < 20; ++round) {
        for (std::size_t i = 0; i < entries.size(); ++i)
            answer(i, 1ms, false);
    }
    CHECK(tracker.ejectedCount() == 3); // 0.34 of 9, rounded down
}

TEST_CASE_FIXTURE(HealthTrackerFixture, "healthTracker_halfOpen_admitsOneProbeAndStartsSlowly")
{
    warmUp();
    for (int i = 0; i < 3; ++i)
        answer(0, 1ms, false);
    clock.advance(5s);
    REQUIRE(tracker.admits(entries[0], clock.now()));
    CHECK(entries[0].state == State::HalfOpen);
    entries[0].probing = true;
    CHECK_FALSE(tracker.admits(entries[0], clock.now()));
    answer(0, 100ms);
    CHECK(entries[0].state == State::Healthy);
    CHECK(HealthTracker::ramp(entries[0], clock.now()) == doctest::Approx(0.1));
    clock.advance(5s);
    CHECK(HealthTracker::ramp(entries[0], clock.now()) == doctest::Approx(0.5));
    CHECK(tracker.ejectedCount() == 0);
}

TEST_CASE_FIXTURE(HealthTrackerFixture, "healthTracker_failsAgain_isEjectedTwiceAsLong")
{
    warmUp();
    for (int i = 0; i < 3; ++i)
        answer(0, 1ms, false);
    clock.advance(5s);
    REQUIRE(tracker.admits(entries[0], clock.now()));
    answer(0, 1ms, false);
    clock.advance(9s);
    CHECK_FALSE(tracker.admits(entries[0], clock.now()));
    clock.advance(1s);
    CHECK(tracker.admits(entries[0], clock.now()));
}

// Guards against ejecting a healthy upstream that was suspended for a moment, after which all
// requests that it had in progress are answered late.
TEST_CASE_FIXTURE(HealthTrackerFixture, "healthTracker_onePauseDelaysManyAnswers_isNotEjected")
{
    warmUp();
    clock.advance(2s);
    for (int i = 0; i < 10; ++i) {
        answer(3, 1500ms);
        clock.advance(1ms);
    }
    CHECK(entries[3].state == State::Healthy);
    for (int i = 0; i < 20; ++i) {
        clock.advance(100ms);
        answer(3, 100ms);
        CHECK(entries[3].state == State::Healthy);
    }
}

// Guards against an upstream that takes much too long for each answer and is taken for one that
// pauses.
TEST_CASE_FIXTURE(HealthTrackerFixture, "healthTracker_threeAnswersInARowAreVeryLate_isEjected")
{
    warmUp();
    for (int i = 0; i < 3; ++i) {
        CHECK(entries[3].state == State::Healthy);
        clock.advance(2s);
        answer(3, 2s);
    }
    CHECK(entries[3].state == State::Ejected);
}
