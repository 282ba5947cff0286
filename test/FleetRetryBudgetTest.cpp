#include "Decide/FleetRetryBudget.h"
#include "Base/ManualClock.h"
#include "Base/Random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include <fmt/format.h>

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
            routers.push_back(
                    FleetRetryBudget({.clock = clock,
                                      .random = seededRandom(static_cast<std::uint64_t>(i)),
                                      .share = Share,
                                      .slack = Slack}));
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

    /// Sends \a requestsPerTick requests to each router in a tick of 100 ms, of which every router
    /// replaces one by a retry if \a isStalled and the budget allows it. \returns the number of
    /// attempts that are replaced and may arrive later.
    int tick(int requestsPerTick, bool isStalled)
    {
        int out = 0;
        for (FleetRetryBudget &it : routers) {
            for (int k = 0; k < requestsPerTick; ++k)
                it.countRequest();
            requests.back() += requestsPerTick;
            if (!isStalled || !it.tryRetry(static_cast<int>(routers.size())))
                continue;
            it.noteUnanswered();
            ++out;
        }
        clock.advance(100ms);
        requests.push_back(0);
        retries.push_back(0);
        return out;
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

// Guards against a budget that counts permits only: attempts that stalled paths have held back
// arrive together, beside the retries of the next window.
TEST_CASE_FIXTURE(FleetRetryBudgetFixture,
                  "fleetRetryBudget_heldBackAttemptsArriveTogether_staysWithinTheLimit")
{
    constexpr int RequestsPerTick = 3;
    for (int i = 0; i < 150; ++i)
        tick(RequestsPerTick, false);
    int heldBack = 0;
    for (int i = 0; i < 40; ++i)
        heldBack += tick(RequestsPerTick, i % 4 == 0);
    CHECK(heldBack == 90);
    retries.back() += heldBack;
    CHECK(run(12, RequestsPerTick) <= 0);
}

// Guards against a budget that many unanswered attempts close: what is earned stays usable.
TEST_CASE_FIXTURE(FleetRetryBudgetFixture,
                  "fleetRetryBudget_manyAttemptsAreUnanswered_earnedRetriesAreAllowed")
{
    for (int i = 0; i < 150; ++i)
        tick(3, false);
    for (int i = 0; i < 200; ++i)
        routers[0].noteUnanswered();
    int allowed = 0;
    for (int i = 0; i < 50; ++i) {
        tick(3, false);
        allowed += routers[0].tryRetry(9) ? 1 : 0;
    }
    CHECK(allowed >= 15);
}

TEST_CASE_FIXTURE(FleetRetryBudgetFixture, "fleetRetryBudget_singleFailures_areRetried")
{
    int allowed = 0;
    for (int i = 0; i < 100; ++i) {
        routers[0].countRequest();
        if (i % 10 == 9 && routers[0].tryRetry(9))
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

namespace {

/// Routers of which any number is killed and started again. While a router is down, its callers use
/// the others. Before the failure begins, the fleet serves requests for two windows.
class RetryFleet
{
public:
    struct Options
    {
        std::size_t routers = 9;
        int requestsPerSecond = 93;
        double slack = 58; ///< Per window, over all routers.
        double failing = 0.9; ///< Share of the attempts that fail.
    };

    /// What the limit over all routers was worth in the worst window, and what callers got.
    struct Outcome
    {
        double worstUse = 0; ///< Retries in the worst window, as a share of the limit.
        int retries = 0;
        int failed = 0; ///< Requests whose first attempt failed.
        int repaired = 0; ///< Of these, served by a retry.
    };

    static constexpr Duration Tick = 100ms;
    static constexpr Duration DownTime = 1s;

    explicit RetryFleet(const Options &options) : m_options(options)
    {
        addRouters(options.routers);
        for (int i = 0; i < 2 * TicksPerWindow; ++i)
            tick(0);
        m_outcome = {};
    }

    std::size_t size() const { return m_routers.size(); }

    void kill(std::size_t i) { m_routers[i] = newRouter(m_clock.now() + DownTime); }

    /// Kills every \a step th router, the first one after \a offset.
    void killEvery(std::size_t step, std::size_t offset = 0)
    {
        for (std::size_t i = offset; i < size(); i += step)
            kill(i);
    }

    /// Adds \a n routers that the others don't know until learnOfAll() is called.
    void addRouters(std::size_t n)
    {
        m_known = size() == 0 ? n : size();
        for (std::size_t i = 0; i < n; ++i)
            m_routers.push_back(newRouter(m_clock.now()));
    }

    void learnOfAll() { m_known = size(); }

    void run(Duration length)
    {
        for (Duration it = Duration::zero(); it < length; it += Tick)
            tick(m_options.failing);
    }

    /// Breaks \a n requests that are in progress at the same time.
    void breakRequests(int n)
    {
        const std::vector<std::size_t> up = running();
        for (int i = 0; i < n; ++i) {
            ++m_outcome.failed;
            m_outcome.repaired += retry(*m_routers[up[pick(up.size())]].budget) ? 1 : 0;
        }
    }

    const Outcome &outcome() const { return m_outcome; }

private:
    static constexpr int TicksPerWindow = 100;
    static constexpr int TicksPerSecond = 10;

    struct Router
    {
        std::unique_ptr<FleetRetryBudget> budget;
        TimePoint upAt;
    };

    Router newRouter(TimePoint upAt)
    {
        return {.budget = std::make_unique<FleetRetryBudget>(
                        FleetRetryBudget::Options{.clock = m_clock,
                                                  .random = seededRandom(++m_seed),
                                                  .share = Share,
                                                  .slack = m_options.slack}),
                .upAt = upAt};
    }

    std::size_t pick(std::size_t n)
    {
        return std::min(n - 1,
                        static_cast<std::size_t>(uniform(m_random) * static_cast<double>(n)));
    }

    std::vector<std::size_t> running() const
    {
        std::vector<std::size_t> out;
        for (std::size_t i = 0; i < size(); ++i) {
            if (m_routers[i].upAt <= m_clock.now())
                out.push_back(i);
        }
        return out;
    }

    bool retry(FleetRetryBudget &budget)
    {
        const bool isAllowed = budget.tryRetry(static_cast<int>(m_known));
        m_retries.back() += isAllowed ? 1 : 0;
        m_outcome.retries += isAllowed ? 1 : 0;
        return isAllowed;
    }

    void tick(double failing)
    {
        m_retries.push_back(0);
        m_requests.push_back(0);
        m_due += static_cast<double>(m_options.requestsPerSecond) / TicksPerSecond;
        const std::vector<std::size_t> up = running();
        for (; m_due >= 1; --m_due) {
            ++m_requests.back();
            if (up.empty())
                continue;
            FleetRetryBudget &budget = *m_routers[up[pick(up.size())]].budget;
            budget.countRequest();
            if (uniform(m_random) >= failing)
                continue;
            ++m_outcome.failed;
            if (retry(budget) && uniform(m_random) >= failing)
                ++m_outcome.repaired;
        }
        m_clock.advance(Tick);
        const auto window = [](const std::deque<int> &it) {
            const auto n = std::min<std::ptrdiff_t>(TicksPerWindow, std::ssize(it));
            return static_cast<double>(std::accumulate(it.end() - n, it.end(), 0));
        };
        const double limit = Share * window(m_requests) + m_options.slack;
        m_outcome.worstUse = std::max(m_outcome.worstUse, window(m_retries) / limit);
    }

    Options m_options;
    ManualClock m_clock;
    RandomSource m_random = seededRandom(7);
    std::uint64_t m_seed = 7;
    std::vector<Router> m_routers;
    std::size_t m_known = 0;
    double m_due = 0;
    std::deque<int> m_requests; ///< By tick, over all routers.
    std::deque<int> m_retries;
    Outcome m_outcome;
};

/// Fleets of the sizes that the design must support.
const std::vector<RetryFleet::Options> RetryFleets = {
        {.routers = 4, .requestsPerSecond = 108, .slack = 60},
        {.routers = 9, .requestsPerSecond = 93, .slack = 58},
        {.routers = 69, .requestsPerSecond = 1300, .slack = 178},
        {.routers = 295, .requestsPerSecond = 1910, .slack = 630},
};

void requireWithinLimit(const RetryFleet &fleet, const std::string &what)
{
    const RetryFleet::Outcome &outcome = fleet.outcome();
    MESSAGE(fmt::format("{}, {} routers: {:.2f} of the limit in the worst window, {} retries", what,
                        fleet.size(), outcome.worstUse, outcome.retries));
    CHECK(outcome.worstUse <= 1);
}

} // namespace

// Guards against a budget that each process starts anew: killed routers had used their part, and
// the routers that replace them use it again in the same window.
TEST_CASE("fleetRetryBudget_halfOfTheRoutersAreKilledInSeries_stayWithinTheLimit")
{
    for (const RetryFleet::Options &options : RetryFleets) {
        RetryFleet fleet(options);
        fleet.run(2s);
        for (std::size_t i = 0; i < 5; ++i) {
            fleet.killEvery(2, i % 2);
            fleet.run(2500ms);
        }
        fleet.run(10s);
        requireWithinLimit(fleet, "half killed in series");
    }
}

// Guards against the same when nobody is left that knows what was spent.
TEST_CASE("fleetRetryBudget_allRoutersAreKilledAtOnce_stayWithinTheLimit")
{
    for (const RetryFleet::Options &options : RetryFleets) {
        RetryFleet fleet(options);
        fleet.run(3s);
        fleet.killEvery(1);
        fleet.run(5s);
        fleet.killEvery(1);
        fleet.run(10s);
        requireWithinLimit(fleet, "all killed at once");
    }
}

// Guards against the same in a rollout, which restarts each router once.
TEST_CASE("fleetRetryBudget_routersAreRestartedInTurn_stayWithinTheLimit")
{
    for (const RetryFleet::Options &options : RetryFleets) {
        RetryFleet fleet(options);
        constexpr std::size_t Steps = 60;
        for (std::size_t step = 0; step < Steps; ++step) {
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                if (i * Steps / fleet.size() == step)
                    fleet.kill(i);
            }
            fleet.run(200ms);
        }
        fleet.run(10s);
        requireWithinLimit(fleet, "restarted in turn");
    }
}

// Guards against routers that join and take a part of the slack while the others still use theirs.
TEST_CASE("fleetRetryBudget_fleetDoubles_staysWithinTheLimit")
{
    for (const RetryFleet::Options &options : RetryFleets) {
        RetryFleet fleet(options);
        fleet.run(2s);
        fleet.addRouters(options.routers);
        fleet.run(1s);
        fleet.learnOfAll();
        fleet.run(10s);
        requireWithinLimit(fleet, "doubled");
    }
}

// Guards against a limit that is kept by retrying too little.
TEST_CASE("fleetRetryBudget_everyAttemptFailsForLong_mostOfTheLimitIsUsed")
{
    for (RetryFleet::Options options : RetryFleets) {
        options.failing = 1;
        RetryFleet fleet(options);
        fleet.run(10s);
        requireWithinLimit(fleet, "all fail");
        CHECK(fleet.outcome().worstUse >= 0.8);
    }
}

// Guards against a budget that refuses the retries of a few replicas that fail for long.
TEST_CASE("fleetRetryBudget_oneInTwentyAttemptsFails_callersAreServedByRetries")
{
    for (RetryFleet::Options options : RetryFleets) {
        options.failing = 0.05;
        RetryFleet fleet(options);
        fleet.run(20s);
        CHECK(fleet.outcome().repaired >= 0.93 * fleet.outcome().failed);
    }
}

// Guards against a budget that is too small for the loss of a rack.
TEST_CASE("fleetRetryBudget_thirdOfTheRequestsOfASecondBreakAtOnce_areRetried")
{
    for (const RetryFleet::Options &options : RetryFleets) {
        RetryFleet fleet(options);
        fleet.breakRequests(options.requestsPerSecond / 3);
        CHECK(fleet.outcome().repaired >= 0.95 * fleet.outcome().failed);
    }
}

// Guards against the first requests of a router that is alone, or of a new fleet, not being
// retried.
TEST_CASE("fleetRetryBudget_noProcessCameBefore_firstFailuresAreRetried")
{
    const ManualClock clock;
    for (const bool followsOthers : {false, true}) {
        FleetRetryBudget budget({.clock = clock,
                                 .random = seededRandom(3),
                                 .share = 0,
                                 .slack = 100,
                                 .followsOthers = followsOthers});
        budget.countRequest();
        int allowed = 0;
        for (int i = 0; i < 100; ++i)
            allowed += budget.tryRetry(1) ? 1 : 0;
        CHECK((allowed > 0) == !followsOthers);
        CHECK(allowed <= 36);
    }
}
