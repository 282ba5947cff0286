#include "Net/PathProber.h"
#include "Base/EntrySettings.h"
#include "Base/Random.h"
#include "ClosingProxy.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Net/ServicePools.h"
#include "Net/Timer.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// A service of which one replica, behind a proxy, has a lost path.
struct PathProberFixture
{
    PathProberFixture()
    {
        pools.setReplicas(records);
        pool.pathLost("i-1");
        prober.wake();
    }

    void runFor(Duration time)
    {
        Timer timer(loop, [this] { loop.stop(); });
        timer.start(time);
        loop.run();
    }

    EventLoop loop;
    HttpClient client{loop};
    ClosingProxy proxy{loop};
    EntrySettings settings;
    ServicePools pools{loop, seededRandom(1), settings};
    std::vector<ReplicaRecord> records = {
            {.id = "i-1", .service = "svc", .address = proxy.address()}};
    ServicePool &pool = pools.of("svc");
    PathProber prober{{.loop = loop, .client = client, .pools = pools}};
};

} // namespace

// Guards against requests that are sent to a crashed replica, and against a second crash that is
// recorded for it, because its proxy closes connections only after a round trip to the replica.
TEST_CASE_FIXTURE(PathProberFixture, "pathProber_proxyClosesAfterRoundTrip_pathStaysLost")
{
    proxy.closeAfter(130ms);
    for (int i = 0; i < 20; ++i) {
        runFor(40ms);
        CHECK(pool.paths.isBroken("i-1"));
    }
    CHECK(proxy.connections() > 1);
    CHECK((pool.paths.provenAt("i-1") == TimePoint::min()));
}

TEST_CASE_FIXTURE(PathProberFixture, "pathProber_connectionStaysOpen_pathIsRegained")
{
    runFor(500ms);
    CHECK_FALSE(pool.paths.isBroken("i-1"));
    CHECK((pool.paths.provenAt("i-1") != TimePoint::min()));
}
