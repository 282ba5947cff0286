#include "Request/AttemptHistory.h"

#include <doctest/doctest.h>

using namespace catkinloft;

namespace {

struct AttemptHistoryFixture
{
    Route route{.kind = CallKind::Idempotent, .maxAttempts = 2};
    AttemptHistory history;
};

} // namespace

TEST_CASE_FIXTURE(AttemptHistoryFixture,
                  "attemptHistory_idempotentCall_allowsTwoAttemptsPerReplica")
{
    for (const char *it : {"a", "b", "a"}) {
        CHECK(history.mayRetry(route));
        history.sent(it);
    }
    CHECK(history.isLimitedToReached(route));
    CHECK(history.reached().size() == 2);
    CHECK(history.mayRetry(route));
    history.sent("b");
    CHECK_FALSE(history.mayRetry(route));
}

TEST_CASE_FIXTURE(AttemptHistoryFixture, "attemptHistory_stream_allowsNoMoreAttemptsThanReplicas")
{
    route.kind = CallKind::Streaming;
    history.sent("a");
    CHECK(history.mayRetry(route));
    history.sent("a");
    CHECK_FALSE(history.mayRetry(route));
    CHECK_FALSE(history.isLimitedToReached(route));
}

TEST_CASE_FIXTURE(AttemptHistoryFixture, "attemptHistory_attemptThatDidNotArrive_doesNotCount")
{
    history.sent("a");
    history.didNotArrive("a");
    CHECK(history.count() == 0);
    CHECK(history.reached().empty());
    history.didNotArrive("a");
    CHECK(history.count() == 0);
}

TEST_CASE_FIXTURE(AttemptHistoryFixture,
                  "attemptHistory_secondAttemptDidNotArrive_firstStillCounts")
{
    history.sent("a");
    history.sent("a");
    history.didNotArrive("a");
    CHECK(history.count() == 1);
    CHECK(history.reached().size() == 1);
}

TEST_CASE_FIXTURE(AttemptHistoryFixture, "attemptHistory_replicasUnreachable_fourMoreAreTried")
{
    int tried = 0;
    for (bool more = true; more; ++tried) {
        history.sent("a");
        more = history.wasUnreachable("a");
    }
    CHECK(tried == 5);
    CHECK(history.count() == 0);
}
