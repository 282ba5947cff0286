#include "Base/Hash.h"
#include "Base/ManualClock.h"
#include "Control/EngineDigest.h"
#include "Control/EngineOwners.h"
#include "Control/EnginePoller.h"
#include "Control/KvCacheMigrator.h"
#include "Decide/Rendezvous.h"
#include "FakeEngines.h"

#include <doctest/doctest.h>

#include <array>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct EngineTrackerFixture
{
    EngineTrackerFixture() { tracker.setOwned(names); }

    EngineLoad load(double running, Duration ago = 0s)
    {
        return {.running = running,
                .asOf = std::chrono::time_point_cast<std::chrono::milliseconds>(clock.wallNow()
                                                                                - ago)};
    }

    ManualClock clock;
    std::array<std::string, 2> names = {"e1", "e2"};
    EngineTracker tracker{{.clock = clock, .maxAge = 15s, .chatsPerEngine = 3}};
};

std::vector<RouterView> routersOf(int n)
{
    std::vector<RouterView> out;
    for (int i = 0; i < n; ++i) {
        RouterView it;
        it.name = fmt::format("router-{}", i);
        out.push_back(std::move(it));
    }
    return out;
}

std::vector<std::string> engineNames(int n)
{
    std::vector<std::string> out;
    out.reserve(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i)
        out.push_back(fmt::format("engine-{}", i));
    return out;
}

} // namespace

TEST_CASE_FIXTURE(EngineTrackerFixture, "engineTracker_delayedReports_haveAnAgeAndExpire")
{
    CHECK_FALSE(tracker.hint("e1"));
    tracker.recordLoad("e1", load(5, 3s));
    clock.advance(2s);
    REQUIRE(tracker.hint("e1"));
    CHECK(tracker.hint("e1")->age == 5s);
    tracker.recordLoad("e1", load(9, 8s)); // Overtaken by the more recent report.
    CHECK(tracker.hint("e1")->load == 5);
    tracker.recordLoad("e2", load(1, -1h)); // The engine's clock is ahead.
    CHECK(tracker.hint("e2")->age == 0s);
    clock.advance(11s);
    CHECK_FALSE(tracker.hint("e1"));
    tracker.recordUnreachable("e1");
    CHECK_FALSE(tracker.hint("e1")->reachable);
}

TEST_CASE_FIXTURE(EngineTrackerFixture, "engineTracker_gapInCacheEvents_halvesTokensFromBefore")
{
    tracker.applyEvents("e1",
                        {.events = {{.seq = 1, .chat = "a", .tokens = 100},
                                    {.seq = 2, .chat = "b", .tokens = 60}},
                         .next = 2});
    CHECK(tracker.cursor("e1") == 2);
    tracker.applyEvents("e1",
                        {.events = {{.seq = 2, .chat = "b", .tokens = 1},
                                    {.seq = 5, .chat = "c", .tokens = 80}},
                         .next = 5});
    CHECK(tracker.gaps() == 1);
    CHECK(tracker.cachedTokens("e1", "a") == 50);
    CHECK(tracker.cachedTokens("e1", "b") == 30);
    CHECK(tracker.cachedTokens("e1", "c") == 80);
    tracker.recordServed("e1", "a", 7, 120);
    CHECK(tracker.cachedTokens("e1", "a") == 120);
    tracker.applyEvents("e1", {.events = {{.seq = 6, .chat = "c", .stored = false}}, .next = 6});
    CHECK(tracker.cachedTokens("e1", "c") == 0);
}

TEST_CASE_FIXTURE(EngineTrackerFixture, "engineTracker_restartedEngine_hasNoCachedChats")
{
    tracker.applyEvents("e1", {.events = {{.seq = 9, .chat = "a", .tokens = 100}}, .next = 9});
    tracker.applyEvents("e1", {.events = {}, .next = 0});
    CHECK(tracker.cachedTokens("e1", "a") == 0);
    tracker.applyEvents("e1", {.events = {{.seq = 1, .chat = "b", .tokens = 10}}, .next = 1});
    CHECK(tracker.cachedTokens("e1", "b") == 10);
}

TEST_CASE_FIXTURE(EngineTrackerFixture, "engineTracker_moreChatsThanTheLimit_keepsTheLatest")
{
    for (const char *it : {"a", "b", "c", "d"})
        tracker.recordServed("e1", it, 1, 10);
    CHECK(tracker.chatsOf("e1").size() == 3);
    CHECK(tracker.cachedTokens("e1", "a") == 0);
}

TEST_CASE_FIXTURE(EngineTrackerFixture,
                  "poller_twoEnginesOneDown_readsBothAndReportsTheUnreachableOne")
{
    FakeEngines engines;
    engines.machines["a1"].load = load(4);
    engines.machines["a2"].isDown = true;
    bool hasRoom = false;
    EnginePoller poller({.clock = clock, .engines = engines, .tracker = tracker, .mayDefer = [&] {
                             return hasRoom;
                         }});
    poller.setEngines({{.name = "e1", .address = "a1"}, {.name = "e2", .address = "a2"}});
    const auto pass = [&] {
        for (int i = 0; i < 20; ++i) {
            poller.poll();
            engines.deliver();
            clock.advance(100ms);
        }
    };
    pass();
    CHECK_FALSE(tracker.hint("e1")); // No room for control traffic.
    hasRoom = true;
    pass();
    REQUIRE(tracker.hint("e1"));
    CHECK(tracker.hint("e1")->load == 4);
    REQUIRE(tracker.hint("e2"));
    CHECK_FALSE(tracker.hint("e2")->reachable);
}

TEST_CASE("digest_tenThousandEngines_staysWithinItsSizeAndListsTheWorst")
{
    ManualClock clock;
    EngineTracker tracker({.clock = clock});
    const std::vector<std::string> names = engineNames(10'000);
    tracker.setOwned(names);
    for (std::size_t i = 0; i < names.size(); ++i)
        tracker.recordLoad(
                names[i],
                {.running = i % 100 == 0 ? 50.0 + double(i) / 100 : 8.0, .asOf = clock.wallNow()});
    tracker.recordUnreachable("engine-7");
    const std::string text = EngineDigest::of(tracker, names, 1.25).encode();
    CHECK(text.size() <= 134);
    const auto digest = EngineDigest::decode(text);
    REQUIRE(digest);
    PeerEngineDigests digests(clock);
    digests.update("router-1", *digest);
    REQUIRE(digests.hint("engine-7"));
    CHECK_FALSE(digests.hint("engine-7")->reachable);
    REQUIRE(digests.hint("engine-9900"));
    CHECK(digests.hint("engine-9900")->load == doctest::Approx(149).epsilon(0.04));
    CHECK_FALSE(digests.hint("engine-8"));
    clock.advance(16s);
    CHECK_FALSE(digests.hint("engine-7"));
    for (const char *it : {"", "AAAA", "AQAQAA", "!!"})
        CHECK_FALSE(EngineDigest::decode(it));
}

TEST_CASE("owners_oneRouterComesOrGoes_onlyItsEnginesAreScoredAgain")
{
    EngineOwners owners("router-0");
    const std::vector<std::string> names = engineNames(1000);
    owners.setRouters(routersOf(100));
    owners.setEngines(names);
    const std::uint64_t before = owners.scoreCount();
    owners.setRouters(routersOf(99));
    CHECK(owners.scoreCount() - before < 30 * 99);
    owners.setRouters(routersOf(100));
    std::size_t total = 0;
    for (const RouterView &it : routersOf(100)) {
        EngineOwners other(it.name);
        other.setEngines(names);
        other.setRouters(routersOf(100));
        total += other.owned().size();
        if (it.name == "router-0")
            CHECK(other.owned() == owners.owned());
    }
    CHECK(total == 1000); // Each engine has exactly one owner while the lists agree.
}

TEST_CASE_FIXTURE(EngineTrackerFixture,
                  "kvCacheMigrator_engineLeaves_copiesEachChatToTheNextInItsOrder")
{
    FakeEngines engines;
    Metrics metrics;
    KvCacheMigrator migrator({.engines = engines, .tracker = tracker, .metrics = metrics});
    YamlProblems problems;
    const auto inventory = [&](bool leaving) {
        std::string text = "places: [{name: d, region: r}]\nengines:\n";
        for (int i = 1; i <= 4; ++i)
            text += fmt::format("  - {{name: e{0}, model: m, address: \"10.0.0.{0}:80\", "
                                "failure_domain: d, leaving: {1}}}\n",
                                i, leaving && i == 1);
        return Inventory::parse(text, "test", 1, problems);
    };
    for (int i = 1; i <= 4; ++i)
        engines.machines[fmt::format("10.0.0.{}:80", i)] = {};
    engines.machines["10.0.0.1:80"].kv = {{"a", "blob-a"}, {"b", "blob-b"}};
    tracker.recordServed("e1", "a", 11, 10);
    tracker.recordServed("e1", "b", 12, 20);
    tracker.recordServed("e1", "gone", 13, 5); // Evicted meanwhile: this copy fails.
    migrator.setInventory(inventory(false));
    CHECK(migrator.waiting() == 0);
    migrator.setInventory(inventory(true));
    for (int i = 0; i < 10; ++i)
        engines.deliver();
    const std::array<std::pair<const char *, std::uint64_t>, 2> chats = {{{"a", 11}, {"b", 12}}};
    for (const auto &[chat, key] : chats) {
        int best = 2;
        for (int i = 3; i <= 4; ++i) {
            if (rendezvousScore(key, hash64(fmt::format("e{}", i)), 1)
                > rendezvousScore(key, hash64(fmt::format("e{}", best)), 1))
                best = i;
        }
        CHECK(engines.machines[fmt::format("10.0.0.{}:80", best)].kv.contains(chat));
    }
    CHECK(metrics.counter("catkinloft_kv_copies_total", "result=\"copied\"") == 2);
    CHECK(metrics.counter("catkinloft_kv_copies_total", "result=\"failed\"") == 1);
}
