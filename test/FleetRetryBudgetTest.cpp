#include "Decide/FleetRetryBudget.h"
#include "Base/ManualClock.h"

#include <doctest/doctest.h>

#include <deque>
#include <vector>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

constexpr double Share = 0.2;
constexpr double Slack = 58;

/// Routers that can't hear each other, before a service that fails everything.
struct RepeatBudgetFixture
{
    explicit RepeatBudgetFixture(int n = 9)
    {
        for (int i = 0; i < n; ++i)
            routers.push_back(FleetRetryBudget({.clock = clock, .share = Share, .slack = Slack}));
    }

    /// \returns the most repeats beyond the allowance in any window of ten seconds.
    double run(int seconds, int requestsPerTick)
    {
        double worst = -1e9;
        for (int tick = 0; tick < seconds * 10; ++tick) {
            for (std::size_t i = 0; i < routers.size(); ++i) {
                for (int k = 0; k < requestsPerTick; ++k) {
                    routers[i].countRequest();
                    ++requests.back();
                    if (routers[i].tryRetry(static_cast<int>(routers.size())))
                        ++repeats.back();
                }
            }
            worst = std::max(worst, excess());
            clock.advance(100ms);
            requests.push_back(0);
            repeats.push_back(0);
        }
        return worst;
    }

    double excess() const
    {
        double asked = 0;
        double again = 0;
        for (std::size_t i = 0; i < 100 && i < requests.size(); ++i) {
            asked += requests[requests.size() - 1 - i];
            again += repeats[repeats.size() - 1 - i];
        }
        return again - Share * asked - Slack;
    }

    ManualClock clock;
    std::vector<FleetRetryBudget> routers;
    std::deque<double> requests{0};
    std::deque<double> repeats{0};
};

} // namespace

TEST_CASE_FIXTURE(RepeatBudgetFixture, "repeatBudget_everythingFails_sumOfAllRoutersStaysWithin")
{
    CHECK(run(40, 3) <= 0);
}

TEST_CASE_FIXTURE(RepeatBudgetFixture, "repeatBudget_fewRequestsOnEach_sumStaysWithin")
{
    CHECK(run(5, 1) <= 0);
    for (int i = 0; i < 50; ++i) { // A pause, after which the allowance has shrunk.
        clock.advance(100ms);
        requests.push_back(0);
        repeats.push_back(0);
        CHECK(excess() <= 0);
    }
}

TEST_CASE_FIXTURE(RepeatBudgetFixture, "repeatBudget_singleFailures_areRepeated")
{
    int allowed = 0;
    for (int i = 0; i < 100; ++i) {
        routers[0].countRequest();
        if (i % 10 == 0 && routers[0].tryRetry(9))
            ++allowed;
        clock.advance(200ms);
    }
    CHECK(allowed == 10);
}

TEST_CASE_FIXTURE(RepeatBudgetFixture, "repeatBudget_nothingAllowed_allowsNothing")
{
    routers[0].setOptions(0, 0);
    routers[0].countRequest();
    CHECK_FALSE(routers[0].tryRetry(1));
}
