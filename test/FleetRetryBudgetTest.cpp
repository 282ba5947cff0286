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

/// Routers that receive no messages from each other, and a service that fails all requests.
struct FleetRetryBudgetFixture
{
    explicit FleetRetryBudgetFixture(int n = 9)
    {
        for (int i = 0; i < n; ++i)
            routers.push_back(FleetRetryBudget({.clock = clock, .share = Share, .slack = Slack}));
    }

    /// \returns the largest number of retries beyond the limit in any window of ten seconds.
    double run(int seconds, int requestsPerTick)
    {
        double worst = -1e9;
        for (int tick = 0; tick < seconds * 10; ++tick) {
            for (std::size_t i = 0; i < routers.size(); ++i) {
                for (int k = 0; k < requestsPerTick; ++k) {
                    routers[i].countRequest();
                    ++requests.back();
                    if (routers[i].tryRetry(static_cast<int>(routers.size())))
                        ++retries.back();
                }
            }
            worst = std::max(worst, excess());
            clock.advance(100ms);
            requests.push_back(0);
            retries.push_back(0);
        }
        return worst;
    }

    double excess() const
    {
        double requestSum = 0;
        double retrySum = 0;
        for (std::size_t i = 0; i < 100 && i < requests.size(); ++i) {
            requestSum += requests[requests.size() - 1 - i];
            retrySum += retries[retries.size() - 1 - i];
        }
        return retrySum - Share * requestSum - Slack;
    }

    ManualClock clock;
    std::vector<FleetRetryBudget> routers;
    std::deque<double> requests{0};
    std::deque<double> retries{0};
};

} // namespace

TEST_CASE_FIXTURE(FleetRetryBudgetFixture,
                  "fleetRetryBudget_everythingFails_allRoutersTogetherStayWithinTheLimit")
{
    CHECK(run(40, 3) <= 0);
}

TEST_CASE_FIXTURE(FleetRetryBudgetFixture,
                  "fleetRetryBudget_fewRequestsPerRouter_allTogetherStayWithinTheLimit")
{
    CHECK(run(5, 1) <= 0);
    for (int i = 0; i < 50; ++i) { // Without requests the limit shrinks.
        clock.advance(100ms);
        requests.push_back(0);
        retries.push_back(0);
        CHECK(excess() <= 0);
    }
}

TEST_CASE_FIXTURE(FleetRetryBudgetFixture, "fleetRetryBudget_singleFailures_areRetried")
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

TEST_CASE_FIXTURE(FleetRetryBudgetFixture, "fleetRetryBudget_zeroShareAndSlack_allowsNothing")
{
    routers[0].setOptions(0, 0);
    routers[0].countRequest();
    CHECK_FALSE(routers[0].tryRetry(1));
}
