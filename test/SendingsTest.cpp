#include "Request/Sendings.h"

#include <doctest/doctest.h>

using namespace catkinloft;

namespace {

struct SendingsFixture
{
    Route route{.kind = CallKind::Idempotent, .maxAttempts = 2};
    Sendings sendings;
};

} // namespace

TEST_CASE_FIXTURE(SendingsFixture, "attemptHistory_idempotentCall_allowsTwoAttemptsPerReplica")
{
    for (const char *it : {"a", "b", "a"}) {
        CHECK(sendings.mayRepeat(route));
        sendings.sent(it);
    }
    CHECK(sendings.isBoundToReached(route));
    CHECK(sendings.reached().size() == 2);
    CHECK(sendings.mayRepeat(route));
    sendings.sent("b");
    CHECK_FALSE(sendings.mayRepeat(route));
}

TEST_CASE_FIXTURE(SendingsFixture, "attemptHistory_stream_allowsNoMoreAttemptsThanReplicas")
{
    route.kind = CallKind::Streaming;
    sendings.sent("a");
    CHECK(sendings.mayRepeat(route));
    sendings.sent("a");
    CHECK_FALSE(sendings.mayRepeat(route));
    CHECK_FALSE(sendings.isBoundToReached(route));
}

TEST_CASE_FIXTURE(SendingsFixture, "attemptHistory_attemptThatDidNotArrive_doesNotCount")
{
    sendings.sent("a");
    sendings.didNotArrive("a");
    CHECK(sendings.count() == 0);
    CHECK(sendings.reached().empty());
    sendings.didNotArrive("a");
    CHECK(sendings.count() == 0);
}

TEST_CASE_FIXTURE(SendingsFixture, "attemptHistory_secondAttemptDidNotArrive_firstStillCounts")
{
    sendings.sent("a");
    sendings.sent("a");
    sendings.didNotArrive("a");
    CHECK(sendings.count() == 1);
    CHECK(sendings.reached().size() == 1);
}

TEST_CASE_FIXTURE(SendingsFixture, "attemptHistory_replicasUnreachable_fourMoreAreTried")
{
    int tried = 0;
    for (bool more = true; more; ++tried) {
        sendings.sent("a");
        more = sendings.wasUnreachable("a");
    }
    CHECK(tried == 5);
    CHECK(sendings.count() == 0);
}
