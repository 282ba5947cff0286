#include "Net/PathProber.h"
#include "Base/EntrySettings.h"
#include "Base/Random.h"
#include "ClosingProxy.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Net/ServicePools.h"
#include "Net/Timer.h"
#include "ScriptedReplica.h"
#include "platform/RequestCodec.h"
#include "platform/WireNames.h"

#include <doctest/doctest.h>

#include <functional>
#include <optional>
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

/// Two replicas that accept connections and answer nothing until `answers` is set. Each has a
/// request in progress.
struct SilentPathFixture
{
    using Reply = ScriptedReplica::Reply;

    SilentPathFixture()
    {
        pools.setReplicas(records);
        for (const ReplicaRecord &it : records)
            pool.silence.sent(it.id);
    }

    void runFor(Duration time)
    {
        Timer timer(loop, [this] { loop.stop(); });
        timer.start(time);
        loop.run();
    }

    /// Requests a check of each replica, as its waiting requests do.
    void suspectFor(Duration time)
    {
        for (const TimePoint until = loop.now() + time; loop.now() < until;) {
            for (const ReplicaRecord &it : records)
                pool.paths.suspect(it.id);
            prober.wake();
            runFor(100ms);
        }
    }

    EventLoop loop;
    HttpClient client{loop};
    bool answers = false;
    bool received = true; ///< Whether bytes of the replicas arrive at another router.
    int questions = 0;
    ScriptedReplica::Script script = [this](const std::string &request, std::size_t) -> Reply {
        return {.bytes = answers ? ScriptedReplica::answer(request, 421, "") : std::string()};
    };
    ScriptedReplica first{loop, script};
    ScriptedReplica second{loop, script};
    EntrySettings settings;
    ServicePools pools{loop, seededRandom(1), settings};
    std::vector<ReplicaRecord> records = {
            {.id = "i-1", .service = "svc", .address = first.address()},
            {.id = "i-2", .service = "svc", .address = second.address()}};
    ServicePool &pool = pools.of("svc");
    PathProber prober{{.loop = loop,
                       .client = client,
                       .pools = pools,
                       .probeHeaders = {{"X-Target-Instance", "none"}},
                       .checkReceived = [this](const std::string &, const std::string &, Duration,
                                               const std::function<void(bool)> &done) {
                           ++questions;
                           done(received);
                       }}};
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

// Guards against a slow call that counts as silent because nothing else runs at its replica.
TEST_CASE_FIXTURE(SilentPathFixture, "pathProber_slowCallAlone_replicaIsAskedForSignOfLife")
{
    const SlowCallMonitor::Call it{
            .route = "/safe/", .replica = "i-1", .time = 1s, .stallLimit = 1s};
    SUBCASE("replica answers")
    {
        answers = true;
    }
    SUBCASE("replica stands still") { }
    pool.slowCalls.watch(it);
    prober.wake();
    runFor(200ms);
    CHECK(first.requests().size() == 1);
    CHECK(second.requests().empty());
    CHECK(pool.slowCalls.isSlow(it) == answers);
    CHECK(!pool.paths.isBroken("i-1"));
}

// Guards against a crash that is recorded a second time for a replica that is still registered
// while the next one listens at its address.
TEST_CASE_FIXTURE(PathProberFixture, "pathProber_addressMayBeAnothers_isNoProofThatTheReplicaRuns")
{
    SUBCASE("another registered replica has the address")
    {
        records.push_back({.id = "i-2", .service = "other", .address = proxy.address()});
        pools.setReplicas(records);
    }
    SUBCASE("the replica has crashed")
    {
        pools.noteCrashed("i-1", 3s);
    }
    pool.pathLost("i-1");
    prober.wake();
    runFor(500ms);
    CHECK_FALSE(pool.paths.isBroken("i-1"));
    CHECK((pool.paths.provenAt("i-1") == TimePoint::min()));
    pool.pathRegained("i-1");
    CHECK((pool.paths.provenAt("i-1") != TimePoint::min()));
}

// Guards against requests that wait for replicas behind a path on which connections are accepted
// and nothing returns, until the path delivers again.
TEST_CASE_FIXTURE(SilentPathFixture, "pathProber_nothingReturnsThatOthersReceive_pathIsLost")
{
    suspectFor(2s);
    CHECK(pool.paths.isBroken("i-1"));
    CHECK(pool.paths.isBroken("i-2"));
    CHECK(pool.paths.isPartitioned());
    REQUIRE_FALSE(first.requests().empty());
    CHECK(ScriptedReplica::headerOf(first.requests().front(), "X-Target-Instance") == "none");
    answers = true;
    runFor(1500ms);
    CHECK_FALSE(pool.paths.isBroken("i-1"));
    CHECK_FALSE(pool.paths.isBroken("i-2"));
}

// Guards against replicas that stand still for a moment and are taken for a lost path.
TEST_CASE_FIXTURE(SilentPathFixture, "pathProber_nothingReturnsToAnyRouter_pathIsKept")
{
    received = false;
    suspectFor(2s);
    CHECK(questions > 0);
    CHECK(pool.paths.broken().empty());
}

// Guards against a path that is taken for lost because its replicas need long for the requests.
TEST_CASE_FIXTURE(SilentPathFixture, "pathProber_replicasRejectProbes_pathIsKept")
{
    answers = true;
    suspectFor(2s);
    CHECK_FALSE(first.requests().empty());
    CHECK(questions == 0);
    CHECK(pool.paths.broken().empty());
}

namespace {

/// A replica at an address where another one ran before.
struct IdentityFixture
{
    IdentityFixture()
    {
        RouteConfig config;
        config.services = {{.name = "svc", .healthPath = "/health"}};
        pools.setServices(config);
    }

    std::optional<bool> identify(const std::string &id)
    {
        std::optional<bool> out;
        prober.identify({.id = id, .service = "svc", .address = replica.address()},
                        [&](std::optional<bool> it) {
                            out = it;
                            loop.stop();
                        });
        loop.run();
        return out;
    }

    /// \returns the answer to a health check of a replica that names itself \a id.
    static std::string answer(int status, const std::string &id = {})
    {
        return ScriptedReplica::answer({}, status, {},
                                       id.empty() ? "" : "X-Instance-Id: " + id + "\r\n");
    }

    EventLoop loop;
    HttpClient client{loop};
    ScriptedReplica::Reply reply; ///< To a health check of i-2; that of another one gets 421.
    ScriptedReplica replica{
            loop, [this](const std::string &request, std::size_t) {
                const std::string id =
                        ScriptedReplica::headerOf(request, platform::headers::Replica);
                return id == "i-2" ? reply : ScriptedReplica::Reply{.bytes = answer(421)};
            }};
    EntrySettings settings;
    ServicePools pools{loop, seededRandom(1), settings};
    PathProber prober{{.loop = loop,
                       .client = client,
                       .pools = pools,
                       .identityHeaders = platform::identityProbeHeaders,
                       .isFromReplica = platform::isFromReplica}};
};

} // namespace

// Guards against taking the next replica at an address for the one that ran there before.
TEST_CASE_FIXTURE(IdentityFixture, "pathProber_identify_onlyTheNamedReplicaIsTheSame")
{
    SUBCASE("it is healthy")
    {
        reply.bytes = answer(200, "i-2");
        CHECK(identify("i-2") == std::optional(true));
        REQUIRE(replica.requests().size() == 1);
        CHECK(replica.requests()[0].starts_with("GET /health "));
    }
    SUBCASE("it is leaving")
    {
        reply.bytes = answer(503, "i-2");
        CHECK(identify("i-2") == std::optional(true));
    }
    SUBCASE("it is full")
    {
        reply.bytes = answer(503);
        CHECK(identify("i-2") == std::optional(true));
    }
    SUBCASE("another replica answers for it")
    {
        reply.bytes = answer(200, "i-3");
        CHECK(identify("i-2") == std::optional(false));
    }
    SUBCASE("another replica was meant")
    {
        CHECK(identify("i-1") == std::optional(false));
    }
    SUBCASE("nothing is answered")
    {
        CHECK(identify("i-2") == std::nullopt);
    }
    SUBCASE("the connection is closed")
    {
        reply.end = ScriptedReplica::End::Close;
        CHECK(identify("i-2") == std::nullopt);
    }
}
