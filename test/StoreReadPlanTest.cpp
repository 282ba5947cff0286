#include "Control/StoreReadPlan.h"
#include "Base/ManualClock.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <vector>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// The plans of the routers of a fleet for reading the same data.
struct StoreReadPlanFixture
{
    void addRouters(int n)
    {
        for (int i = 0; i < n; ++i) {
            plans.push_back(std::make_unique<StoreReadPlan>(
                    StoreReadPlan::Options{.clock = clock, .random = seededRandom(i + 1)}));
        }
    }

    /// Polls every router each 200 ms while the store refuses all calls.
    /// \returns the number of calls.
    int refuseFor(Duration length, bool reader, bool overdue)
    {
        return refuseFor(length, state(reader, overdue));
    }

    int refuseFor(Duration length, const StoreReadPlan::State &state)
    {
        int calls = 0;
        for (Duration t = 0ms; t < length; t += 200ms) {
            for (const auto &it : plans) {
                if (!it->isDue(state))
                    continue;
                ++calls;
                it->began();
                it->failed();
            }
            clock.advance(200ms);
        }
        return calls;
    }

    StoreReadPlan::State state(bool reader, bool overdue) const
    {
        return {.reader = reader, .overdue = overdue, .routers = static_cast<int>(plans.size())};
    }

    ManualClock clock;
    std::vector<std::unique_ptr<StoreReadPlan>> plans;
};

} // namespace

TEST_CASE_FIXTURE(StoreReadPlanFixture,
                  "storeReadPlan_hundredsOfRoutersStoreUnavailable_callsAreBounded")
{
    addRouters(295);
    const int calls = refuseFor(8s, false, true);
    CHECK(calls >= 295); // Each router has called.
    CHECK(calls <= 295 + static_cast<int>(8s / 15ms) * 5 / 4);
}

// Guards against a thundering herd of routers that start while the store is unavailable. The key
// that they need to verify each other's messages is in the store, so each assumes that it is the
// only one.
TEST_CASE_FIXTURE(StoreReadPlanFixture,
                  "storeReadPlan_hundredsStartWithoutKnownRouters_callsAreBounded")
{
    addRouters(295);
    const int calls = refuseFor(8s, {.reader = false, .overdue = true, .routers = 1});
    CHECK(calls >= 295);
    CHECK(calls <= 295 + static_cast<int>(8s / 15ms) * 5 / 4);
}

// Guards against a small fleet that waits as long as a large one: the first router that receives an
// answer makes the others retry early.
TEST_CASE_FIXTURE(StoreReadPlanFixture,
                  "storeReadPlan_nineStartWithoutKnownRouters_allReadWithinTwoSeconds")
{
    addRouters(9);
    const StoreReadPlan::State state{.reader = false, .overdue = true, .routers = 1};
    refuseFor(8s, state);
    std::vector<bool> served(plans.size());
    for (Duration t = 0ms; t < 2s; t += 200ms) {
        for (std::size_t i = 0; i < plans.size(); ++i) {
            if (served[i] || !plans[i]->isDue(state))
                continue;
            served[i] = true;
            plans[i]->began();
            plans[i]->answered();
            for (const auto &it : plans)
                it->answeredElsewhere(clock.now());
        }
        clock.advance(200ms);
    }
    CHECK(std::count(served.begin(), served.end(), true) == 9);
}

// Guards against a router that the store refuses and that retries whenever another one is answered.
TEST_CASE_FIXTURE(StoreReadPlanFixture, "storeReadPlan_otherRoutersAreAnswered_callsStayBounded")
{
    addRouters(295);
    int calls = 0;
    for (Duration t = 0ms; t < 8s; t += 200ms) {
        for (const auto &it : plans)
            it->answeredElsewhere(clock.now());
        calls += refuseFor(200ms, false, true);
    }
    CHECK(calls <= 295 + 2 * static_cast<int>(8s / 15ms) * 5 / 4);
}

TEST_CASE_FIXTURE(StoreReadPlanFixture,
                  "storeReadPlan_refusedButUpdatedByPeers_makesNoFurtherCalls")
{
    addRouters(100);
    CHECK(refuseFor(200ms, false, true) == 100);
    CHECK(refuseFor(9s, false, false) == 0);
    CHECK(plans.front()->isDue(state(false, true)));
}

TEST_CASE_FIXTURE(StoreReadPlanFixture, "storeReadPlan_readerRefused_retriesSeveralTimesASecond")
{
    addRouters(1);
    const int calls = refuseFor(3s, true, true);
    CHECK(calls >= 6);
    CHECK(calls <= 15);
}

TEST_CASE_FIXTURE(StoreReadPlanFixture, "storeReadPlan_failureLongAgo_doesNotCountAsFailing")
{
    addRouters(1);
    StoreReadPlan &plan = *plans.front();
    plan.began();
    clock.advance(400ms);
    CHECK(plan.unansweredFor() == 400ms);
    plan.failed();
    CHECK(plan.isFailing());
    CHECK(plan.unansweredFor() == 400ms);
    plan.rest();
    CHECK(plan.unansweredFor() == 0ms);
    clock.advance(11s);
    CHECK_FALSE(plan.isFailing());
}

TEST_CASE_FIXTURE(StoreReadPlanFixture, "storeReadPlan_nothingWrittenYet_retriesSoonWithoutFailure")
{
    addRouters(295);
    StoreReadPlan &plan = *plans.front();
    plan.began();
    plan.answeredEmpty();
    CHECK_FALSE(plan.isFailing());
    CHECK_FALSE(plan.isDue(state(false, true)));
    clock.advance(400ms);
    CHECK(plan.isDue(state(false, true)));
}

TEST_CASE_FIXTURE(StoreReadPlanFixture, "storeReadPlan_callInProgress_noSecondCallIsDue")
{
    addRouters(1);
    StoreReadPlan &plan = *plans.front();
    CHECK(plan.isDue(state(true, false)));
    CHECK_FALSE(plan.isDue(state(false, false)));
    plan.began();
    CHECK_FALSE(plan.isDue(state(true, true)));
    plan.answered();
    CHECK(plan.isDue(state(true, true)));
}
