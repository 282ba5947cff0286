#include "Net/StoreWatch.h"
#include "Base/ManualClock.h"
#include "Net/EventLoop.h"

#include <doctest/doctest.h>

#include <unistd.h>

using namespace catkinloft;

namespace {

/// Store whose calls stay pending until a test answers them.
class FakeStore final : public FleetStore
{
public:
    void readConfig(Callback<ConfigRead> done) override { fullRead = std::move(done); }
    void watchConfig(const StorePosition &position, Duration, Callback<ConfigRead> done) override
    {
        watchedFrom = position;
        watch = std::move(done);
    }
    void readReplicas(Callback<ReplicaSnapshot> done) override
    {
        ++replicaReads;
        replicas = std::move(done);
    }
    void dropConnections() override { }
    Result<RouteConfigPtr> decodeConfig(std::string_view) const override
    {
        return Error{.reason = Reason::MalformedRequest};
    }

    Callback<ConfigRead> fullRead = {};
    Callback<ConfigRead> watch = {};
    Callback<ReplicaSnapshot> replicas = {};
    int replicaReads = 0;
    StorePosition watchedFrom;
};

struct StoreWatchFixture
{
    StoreWatchFixture() { storeWatch.start(); }

    static RouteConfigPtr configOf(std::uint64_t revision)
    {
        auto out = std::make_shared<RouteConfig>();
        out->revision = revision;
        return out;
    }

    void answerFullRead(const StorePosition &position, std::uint64_t revision)
    {
        REQUIRE(store.fullRead);
        std::exchange(store.fullRead, {})(
                ConfigRead{.position = position, .config = configOf(revision), .isComplete = true});
    }

    void answerWatch(const ConfigRead &read)
    {
        REQUIRE(store.watch);
        std::exchange(store.watch, {})(read);
    }

    void answerReplicas()
    {
        REQUIRE(store.replicas);
        std::exchange(store.replicas, {})(ReplicaSnapshot{.position = {.era = 1, .version = 1}});
    }

    bool readsReplicas(int n)
    {
        for (int i = 0; i < 2000 && store.replicaReads < n; ++i) {
            loop.runOnce();
            usleep(500);
        }
        return store.replicaReads == n;
    }

    EventLoop loop;
    FakeStore store;
    /// Paused, so that the age of the proof changes only with the proof.
    ManualClock clock;
    ActiveConfig config{clock};
    EvacuatedDomains evacuated{{.clock = loop}};
    ReplicaRegistry replicas{{.clock = loop}};
    Metrics metrics;
    EntrySettings settings;
    StoreWatch storeWatch{{.loop = loop,
                           .store = store,
                           .config = config,
                           .evacuated = evacuated,
                           .replicas = replicas,
                           .metrics = metrics,
                           .random = seededRandom(1),
                           .askPeer = [] {},
                           .isReader = [] { return true; },
                           .routers = [] { return 1; },
                           .settings = settings}};
};

} // namespace

TEST_CASE_FIXTURE(StoreWatchFixture, "storeWatch_historyLost_readsEverythingAgain")
{
    answerFullRead({.era = 1, .version = 30}, 24);
    CHECK(store.watchedFrom == StorePosition{.era = 1, .version = 30});
    answerWatch({.historyLost = true});
    answerFullRead({.era = 2, .version = 11}, 24);
    CHECK(store.watchedFrom == StorePosition{.era = 2, .version = 11});
}

// Guards against a router that reads the store again and again without a pause because the store
// reports lost history to a read that needs none.
TEST_CASE_FIXTURE(StoreWatchFixture, "storeWatch_historyLostInCompleteRead_isAFailedRead")
{
    REQUIRE(store.fullRead);
    std::exchange(store.fullRead, {})(ConfigRead{.historyLost = true});
    CHECK_FALSE(store.fullRead);
    CHECK_FALSE(config.config());
}

// Guards against accepting a revoked key after the store was restored from a copy that is older
// than the active configuration: reads of that copy do not prove that the configuration is current.
TEST_CASE_FIXTURE(StoreWatchFixture, "storeWatch_restoredStoreHasOlderConfig_provesNothing")
{
    answerFullRead({.era = 1, .version = 30}, 24);
    answerWatch({.historyLost = true});
    const Duration age = config.proofAge();
    usleep(1000);
    answerFullRead({.era = 2, .version = 11}, 20);
    CHECK(config.revision() == 24);
    answerWatch({.position = {.era = 2, .version = 12}});
    CHECK(config.proofAge() == age);
    answerWatch({.position = {.era = 2, .version = 14}, .config = configOf(24)});
    CHECK(config.proofAge() < age);
}

// Guards against a refresh that shares a read which began before it, and against a read for each of
// many refreshes.
TEST_CASE_FIXTURE(StoreWatchFixture, "storeWatch_refreshes_shareAReadThatBeginsLater")
{
    REQUIRE(store.replicaReads == 1);
    for (int i = 0; i < 5; ++i)
        storeWatch.refreshReplicas();
    for (int i = 0; i < 20; ++i) {
        loop.runOnce();
        usleep(500);
    }
    CHECK(store.replicaReads == 1);
    answerReplicas();
    REQUIRE(store.replicaReads == 2);
    const Duration age = replicas.age();
    answerReplicas();
    CHECK(replicas.age() <= age);
    for (int i = 0; i < 5; ++i)
        storeWatch.refreshReplicas();
    CHECK(readsReplicas(3));
}
