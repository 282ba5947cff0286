#include "Decide/DrainPlan.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct DrainPlanFixture
{
    using Step = DrainPlan::Step;

    Step next(Duration since, DrainPlan::Work left) { return plan.next(begin + since, left); }

    TimePoint begin{100s};
    DrainPlan plan{{.refuseFrom = begin + 3s, .breakOffAt = begin + 7s}};
};

} // namespace

TEST_CASE_FIXTURE(DrainPlanFixture, "drainPlan_nothingIsLeft_endsOnceCallersHaveHeard")
{
    CHECK(next(0s, {}) == Step::Accept);
    CHECK(next(2900ms, {}) == Step::Accept);
    CHECK(next(3s, {}) == Step::End);
}

// Guards against a process that ends when its calls are over, while their answers are being sent.
TEST_CASE_FIXTURE(DrainPlanFixture, "drainPlan_answersAreBeingSent_waitsForThem")
{
    CHECK(next(3s, {.requests = 1, .answers = 1}) == Step::Finish);
    CHECK(next(4s, {.answers = 1}) == Step::Flush);
    CHECK(next(6900ms, {.answers = 1}) == Step::Flush);
    CHECK(next(6950ms, {}) == Step::End);
}

// Guards against a process that is killed with requests that got no answer.
TEST_CASE_FIXTURE(DrainPlanFixture, "drainPlan_timeIsOver_restIsBrokenOffOnceAndSent")
{
    CHECK(next(6900ms, {.requests = 2, .answers = 1}) == Step::Finish);
    CHECK(next(7s, {.requests = 2, .answers = 1}) == Step::BreakOff);
    CHECK(next(7050ms, {.requests = 2, .answers = 3}) == Step::Flush);
    CHECK(next(7100ms, {.requests = 2, .answers = 3}) == Step::End);
}

TEST_CASE_FIXTURE(DrainPlanFixture, "drainPlan_callerNeverReads_endsInTime")
{
    CHECK(next(7050ms, {.answers = 1}) == Step::Flush);
    CHECK(next(7100ms, {.answers = 1}) == Step::End);
}
