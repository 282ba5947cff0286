#include "Decide/ConnectionReusePolicy.h"
#include "Base/ManualClock.h"
#include "Base/Random.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct ConnectionReusePolicyFixture
{
    ManualClock clock;
    ConnectionReusePolicy policy{{.clock = clock}};

    /// \returns how many of \a n calls are lost if connections are idle for random times up to
    /// \a maxIdleTime between two calls and are dropped after \a droppedAfter.
    int lostCalls(int n, Duration maxIdleTime, Duration droppedAfter)
    {
        const RandomSource random = seededRandom(7);
        int lost = 0;
        for (int i = 0; i < n; ++i) {
            clock.advance(50ms);
            const Duration idleTime = scaled(maxIdleTime, uniform(random));
            const bool reused = idleTime < policy.limit(false);
            if (!reused || idleTime < droppedAfter)
                continue;
            ++lost;
            policy.reportBroken(idleTime, 2ms);
        }
        return lost;
    }
};

} // namespace

TEST_CASE_FIXTURE(ConnectionReusePolicyFixture,
                  "connectionReusePolicy_noConnectionDropped_longIdleTimesAreAllowed")
{
    CHECK(policy.limit(false) == 6s);
    CHECK(policy.limit(true) == 12s);
    CHECK(lostCalls(1000, 5s, 6s) == 0);
    CHECK(policy.limit(false) == 6s);
}

TEST_CASE_FIXTURE(ConnectionReusePolicyFixture,
                  "connectionReusePolicy_idleConnectionsDropped_fewCallsAreLost")
{
    // Without a limit 280 of these 400 calls in 20 seconds would be sent on a dropped connection.
    CHECK(lostCalls(400, 1s, 300ms) <= 4);
}

TEST_CASE_FIXTURE(ConnectionReusePolicyFixture,
                  "connectionReusePolicy_noneDroppedAnymore_limitRecoversWithinAMinute")
{
    CHECK(policy.reportBroken(400ms, 1ms));
    CHECK(policy.limit(false) == 200ms);
    clock.advance(9s);
    CHECK(policy.limit(false) == 200ms);
    clock.advance(1s);
    CHECK(policy.limit(false) == 400ms);
    clock.advance(50s);
    CHECK(policy.limit(false) == 6s);
}

TEST_CASE_FIXTURE(ConnectionReusePolicyFixture,
                  "connectionReusePolicy_connectionBreaksForOtherReasons_limitIsUnchanged")
{
    CHECK_FALSE(policy.reportBroken(0s, 1ms)); // a new connection
    CHECK_FALSE(policy.reportBroken(30ms, 1ms)); // idle for less than minLimit
    CHECK_FALSE(policy.reportBroken(3s, 40ms)); // broke too late for a reset
    CHECK(policy.limit(false) == 6s);
}
