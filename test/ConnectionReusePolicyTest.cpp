#include "Decide/ConnectionReusePolicy.h"
#include "Base/ManualClock.h"
#include "Base/Random.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct IdleTrustFixture
{
    ManualClock clock;
    ConnectionReusePolicy trust{{.clock = clock}};

    /// \returns how many calls of \a n are lost where connections rest for random times up to
    /// \a most between two calls and are forgotten after \a forgottenAfter.
    int lostCalls(int n, Duration most, Duration forgottenAfter)
    {
        const RandomSource random = seededRandom(7);
        int lost = 0;
        for (int i = 0; i < n; ++i) {
            clock.advance(50ms);
            const Duration idleTime = scaled(most, uniform(random));
            const bool reused = idleTime < trust.limit(false);
            if (!reused || idleTime < forgottenAfter)
                continue;
            ++lost;
            trust.reportBroken(idleTime, 2ms);
        }
        return lost;
    }
};

} // namespace

TEST_CASE_FIXTURE(IdleTrustFixture, "idleTrust_nothingForgotten_longRestsAreTrusted")
{
    CHECK(trust.limit(false) == 6s);
    CHECK(trust.limit(true) == 12s);
    CHECK(lostCalls(1000, 5s, 6s) == 0);
    CHECK(trust.limit(false) == 6s);
}

TEST_CASE_FIXTURE(IdleTrustFixture, "idleTrust_restingConnectionsForgotten_fewCallsAreLost")
{
    // 400 calls in 20 seconds, of which 280 would be sent on a forgotten connection.
    CHECK(lostCalls(400, 1s, 300ms) <= 4);
}

TEST_CASE_FIXTURE(IdleTrustFixture, "idleTrust_noneForgottenAnyMore_trustReturnsWithinAMinute")
{
    CHECK(trust.reportBroken(400ms, 1ms));
    CHECK(trust.limit(false) == 200ms);
    clock.advance(9s);
    CHECK(trust.limit(false) == 200ms);
    clock.advance(1s);
    CHECK(trust.limit(false) == 400ms);
    clock.advance(50s);
    CHECK(trust.limit(false) == 6s);
}

TEST_CASE_FIXTURE(IdleTrustFixture, "idleTrust_replicaBreaksAtWork_changesNothing")
{
    CHECK_FALSE(trust.reportBroken(0s, 1ms)); // A new connection.
    CHECK_FALSE(trust.reportBroken(30ms, 1ms)); // Used a moment ago.
    CHECK_FALSE(trust.reportBroken(3s, 40ms)); // The request had arrived.
    CHECK(trust.limit(false) == 6s);
}
