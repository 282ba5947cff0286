#include "Decide/SilenceMonitor.h"
#include "Base/ManualClock.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct SilenceFixture
{
    ManualClock clock;
    SilenceMonitor monitor{clock};
};

} // namespace

TEST_SUITE_BEGIN("SilenceMonitor");

// Guards against idle replicas that count as silent because their last byte is long ago.
TEST_CASE_FIXTURE(SilenceFixture, "silenceMonitor_replicaWithoutRequests_isNotSilent")
{
    monitor.sent("a");
    monitor.received("a");
    monitor.ended("a");
    clock.advance(10s);
    CHECK(monitor.silenceOf("a") == 0s);
    CHECK(monitor.silentReplicas(1s) == 0);
    monitor.sent("a");
    clock.advance(400ms);
    CHECK(monitor.silenceOf("a") == 400ms);
    CHECK(monitor.busyReplicas() == 1);
}

// Guards against a further request that hides how long a replica has been silent.
TEST_CASE_FIXTURE(SilenceFixture, "silenceMonitor_laterRequestAtSilentReplica_silenceGoesOn")
{
    monitor.sent("a");
    clock.advance(800ms);
    monitor.sent("a");
    clock.advance(400ms);
    CHECK(monitor.silenceOf("a") == 1200ms);
    monitor.ended("a");
    CHECK(monitor.silenceOf("a") == 1200ms);
}

TEST_CASE_FIXTURE(SilenceFixture, "silenceMonitor_bytesFromOneOfTwoReplicas_otherIsSilent")
{
    monitor.sent("a");
    monitor.sent("b");
    clock.advance(1s);
    monitor.received("b");
    clock.advance(200ms);
    CHECK(monitor.silentReplicas(1s) == 1);
    CHECK(monitor.silentReplicas(200ms) == 2);
    CHECK(monitor.silenceOf("b") == 200ms);
}

TEST_CASE_FIXTURE(SilenceFixture,
                  "silenceMonitor_replicaLeavesTheList_requestsInProgressStillCount")
{
    monitor.sent("a");
    monitor.sent("b");
    monitor.ended("b");
    monitor.retain({});
    clock.advance(1s);
    CHECK(monitor.silenceOf("a") == 1s);
    CHECK(monitor.busyReplicas() == 1);
}

// Guards against a whole service that stands still and is taken for replicas that failed.
TEST_CASE_FIXTURE(SilenceFixture, "silenceMonitor_mostReplicasAreSilent_isReported")
{
    for (const char *it : {"a", "b", "c", "d"})
        monitor.sent(it);
    clock.advance(1s);
    for (const char *it : {"c", "d"})
        monitor.received(it);
    CHECK(!monitor.isMostlySilent(600ms));
    CHECK(monitor.silent(600ms) == std::vector<std::string>{"a", "b"});
    clock.advance(600ms);
    CHECK(monitor.isMostlySilent(600ms));
    monitor.received("a");
    monitor.received("c");
    CHECK(!monitor.isMostlySilent(600ms));
}

// Guards against prompt answers that are forgotten because their replicas are idle at the moment.
TEST_CASE_FIXTURE(SilenceFixture, "silenceMonitor_idleReplicasAnsweredLately_serviceIsNotSilent")
{
    for (const char *it : {"a", "b", "c", "d"})
        monitor.sent(it);
    clock.advance(1s);
    for (const char *it : {"c", "d"}) {
        monitor.received(it);
        monitor.ended(it);
    }
    clock.advance(100ms);
    CHECK(monitor.silentReplicas(600ms) == 2);
    CHECK(!monitor.isMostlySilent(600ms));
}

// Guards against one failed replica that is taken for a silent service because no other one has
// requests in progress.
TEST_CASE_FIXTURE(SilenceFixture, "silenceMonitor_onlyBusyReplicaIsSilent_serviceIsNotSilent")
{
    monitor.sent("a");
    clock.advance(5s);
    CHECK(!monitor.isMostlySilent(600ms));
}

TEST_SUITE_END();
