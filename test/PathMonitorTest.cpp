#include "Decide/PathMonitor.h"
#include "Base/ManualClock.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <vector>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// A service with replicas i-0, i-1 and so on. Checks of paths succeed except for those in `down`.
struct PathMonitorFixture
{
    void setReplicas(int n)
    {
        std::vector<ReplicaRecord> records;
        records.reserve(static_cast<std::size_t>(n));
        for (int i = 0; i < n; ++i)
            records.push_back({.id = fmt::format("i-{}", i), .service = "svc"});
        paths.setReplicas(records);
    }

    /// Performs the checks that become due within \a length, which takes steps of 50 ms.
    void runChecks(Duration length)
    {
        for (const TimePoint until = clock.now() + length; clock.now() < until;) {
            const std::vector<std::string> due = paths.dueChecks();
            mostAtOnce = std::max(mostAtOnce, due.size());
            checks += due.size();
            for (const std::string &it : due) {
                if (down.contains(it))
                    paths.failed(it);
                else
                    paths.connected(it);
            }
            clock.advance(50ms);
        }
    }

    ManualClock clock;
    PathMonitor paths{{.clock = clock, .service = "svc"}};
    std::set<std::string> down;
    std::size_t checks = 0;
    std::size_t mostAtOnce = 0;
};

} // namespace

// Guards against taking a crashed replica for a partition, and against a check of every replica by
// every router when one crashes.
TEST_CASE_FIXTURE(PathMonitorFixture, "pathMonitor_oneReplicaIsDown_serviceIsNotPartitioned")
{
    setReplicas(9);
    down = {"i-4"};
    paths.failed("i-4");
    runChecks(200ms);
    CHECK(paths.isBroken("i-4"));
    CHECK_FALSE(paths.isPartitioned());
    CHECK(checks <= 4);
}

// Guards against a partition that is found only after callers' requests have tried every replica.
TEST_CASE_FIXTURE(PathMonitorFixture, "pathMonitor_allPathsFail_oneFailedRequestFindsThePartition")
{
    setReplicas(9);
    for (int i = 0; i < 9; ++i)
        down.insert(fmt::format("i-{}", i));
    paths.failed("i-0");
    runChecks(300ms);
    CHECK(paths.isPartitioned());
    CHECK(paths.isMostlyLost());
}

// Guards against a herd of new connections when a partition ends, and against paths that stay
// marked as lost.
TEST_CASE_FIXTURE(PathMonitorFixture, "pathMonitor_partitionEnds_pathsAreRegainedOneAtATime")
{
    setReplicas(9);
    for (int i = 0; i < 9; ++i) {
        down.insert(fmt::format("i-{}", i));
        paths.failed(fmt::format("i-{}", i));
    }
    paths.dueChecks();
    runChecks(5s);
    // One check in each interval.
    CHECK(checks <= 11);
    down.clear();
    checks = mostAtOnce = 0;
    runChecks(2s);
    CHECK_FALSE(paths.isPartitioned());
    CHECK(paths.broken().empty());
    CHECK(mostAtOnce <= 1);
}

// Guards against a router that never relays for a service with a single replica.
TEST_CASE_FIXTURE(PathMonitorFixture, "pathMonitor_onlyReplicaIsUnreachable_serviceIsPartitioned")
{
    setReplicas(1);
    CHECK_FALSE(paths.isPartitioned());
    paths.failed("i-0");
    CHECK(paths.isPartitioned());
}

// Guards against a partition that outlives the replicas to which the paths were lost.
TEST_CASE_FIXTURE(PathMonitorFixture, "pathMonitor_unreachableReplicasAreRemoved_partitionEnds")
{
    setReplicas(4);
    paths.failed("i-2");
    paths.failed("i-3");
    CHECK(paths.isPartitioned());
    setReplicas(2);
    CHECK_FALSE(paths.isPartitioned());
    CHECK(paths.broken().empty());
}

// Guards against requests that go through other routers because some replicas have crashed.
TEST_CASE_FIXTURE(PathMonitorFixture, "pathMonitor_fewerThanAThirdAreDown_serviceIsNotPartitioned")
{
    setReplicas(9);
    down = {"i-3", "i-4"};
    paths.failed("i-3");
    paths.failed("i-4");
    runChecks(2s);
    CHECK(paths.broken().size() == 2);
    CHECK_FALSE(paths.isPartitioned());
    paths.failed("i-5");
    CHECK(paths.isPartitioned());
}

// Guards against a path that counts as working because connections are accepted, although no byte
// returns on it.
TEST_CASE_FIXTURE(PathMonitorFixture, "pathMonitor_silentPathAcceptsConnections_staysBroken")
{
    setReplicas(4);
    CHECK(paths.silent("i-1"));
    runChecks(2s);
    CHECK(paths.isBroken("i-1"));
    CHECK(paths.hasSilentPath());
    CHECK(paths.answered("i-1"));
    CHECK_FALSE(paths.isBroken("i-1"));
    CHECK_FALSE(paths.hasSilentPath());
    CHECK(paths.silent("i-1"));
    setReplicas(1);
    CHECK_FALSE(paths.hasSilentPath());
}

// Guards against repeated checks of a replica that is merely slow.
TEST_CASE_FIXTURE(PathMonitorFixture, "pathMonitor_replicaIsSilentForLong_pathIsCheckedRarely")
{
    setReplicas(3);
    for (int i = 0; i < 20; ++i) {
        paths.suspect("i-1");
        runChecks(50ms);
    }
    CHECK(checks >= 1);
    CHECK(checks <= 3);
    CHECK_FALSE(paths.isBroken("i-1"));
}
