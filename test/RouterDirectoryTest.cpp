#include "Control/RouterDirectory.h"
#include "Base/ManualClock.h"
#include "Decide/Dispatcher.h"

#include <doctest/doctest.h>

#include <algorithm>

#include <fmt/format.h>

using namespace catkinloft;

namespace {

RouterView view(std::size_t i)
{
    return {.name = fmt::format("router-{}", i),
            .callerAddress = fmt::format("10.0.0.{}:80", i),
            .failureDomain = fmt::format("domain-{}", i % 3),
            .load = -1};
}

struct SixRoutersFixture
{
    RouterDirectory directory{view(0)};
    RandomSource random = seededRandom(1);
    std::vector<RouterView> routers;

    SixRoutersFixture()
    {
        for (std::size_t i = 0; i < 6; ++i)
            routers.push_back(view(i));
        directory.setRouters(routers);
        directory.setEngines(inventory());
    }

    static InventoryPtr inventory()
    {
        std::string text = "places:\n  - {name: d, region: r}\nengines:\n";
        for (int i = 0; i < 30; ++i)
            text += fmt::format("  - {{name: e{}, model: m, address: \"10.1.0.{}:1\", "
                                "failure_domain: d}}\n",
                                i, i + 1);
        YamlProblems problems;
        return Inventory::parse(text, "i", 1, problems);
    }

    std::string ask(const RouterDirectory::Query &query)
    {
        return directory.routerFor(query, random).name;
    }

    std::map<std::string, int> askMany(const RouterDirectory::Query &query, int n = 6000)
    {
        std::map<std::string, int> out;
        for (int i = 0; i < n; ++i)
            ++out[ask(query)];
        return out;
    }
};

} // namespace

TEST_CASE_FIXTURE(SixRoutersFixture, "routerDirectory_knownChat_isSentToTheOwnerOfItsEngine")
{
    ManualClock clock;
    for (const std::uint64_t chat : {11U, 12U, 13U, 14U, 15U, 16U, 17U, 18U}) {
        const std::string name = ask({.chatKey = chat, .model = "m"});
        Dispatcher pool({.clock = clock, .random = random, .self = name});
        pool.setEngines(inventory(), "m");
        pool.setRouters(routers);
        std::optional<Result<Assignment>> out;
        pool.submit({.id = 1,
                     .workspace = "w",
                     .chatKey = chat,
                     .work = 10,
                     .deadline = clock.now() + std::chrono::seconds(9)},
                    [&](Result<Assignment> it) { out = std::move(it); });
        REQUIRE(out);
        REQUIRE(*out);
        CHECK_FALSE(out->value().relayed);
    }
}

TEST_CASE_FIXTURE(SixRoutersFixture, "routerDirectory_leavingRouter_isNotNamed")
{
    routers[2].leaving = true;
    directory.setRouters(routers);
    CHECK_FALSE(askMany({}).contains("router-2"));
    for (std::uint64_t chat = 1; chat < 500; ++chat)
        CHECK(ask({.chatKey = chat, .model = "m"}) != "router-2");
    directory.setLeaving();
    CHECK_FALSE(askMany({}).contains("router-0"));
}

TEST_CASE_FIXTURE(SixRoutersFixture, "routerDirectory_isolatedRouter_namesOthersIfItKnowsAny")
{
    directory.setIsolated(true);
    CHECK_FALSE(askMany({}).contains("router-0"));
    directory.setRouters({});
    CHECK(ask({}) == "router-0");
}

TEST_CASE_FIXTURE(SixRoutersFixture, "routerDirectory_callersWithoutChat_areDistributedEvenly")
{
    for (const auto &[name, n] : askMany({}))
        CHECK(std::abs(n - 1000) < 150);
}

TEST_CASE_FIXTURE(SixRoutersFixture, "routerDirectory_heavilyLoadedRouter_isNamedLessOften")
{
    for (RouterView &it : routers)
        it.load = it.name == "router-3" ? 100 : 10;
    directory.setRouters(routers);
    CHECK(askMany({})["router-3"] < 300);
}

TEST_CASE_FIXTURE(SixRoutersFixture, "routerDirectory_callersOwnFailureDomain_isPreferred")
{
    const auto named = askMany({.failureDomain = "domain-1"});
    CHECK(named.size() == 2);
    CHECK(named.contains("router-1"));
    CHECK(named.contains("router-4"));
    CHECK(askMany({.failureDomain = "unknown"}).size() == 6);
}

TEST_CASE_FIXTURE(SixRoutersFixture, "routerDirectory_onlyLoadsChanged_emitsNothing")
{
    int changes = 0;
    directory.changed().connect([&] { ++changes; });
    for (RouterView &it : routers)
        it.load = 7;
    directory.setRouters(routers);
    CHECK(changes == 0);
    routers.pop_back();
    directory.setRouters(routers);
    CHECK(changes == 1);
}
