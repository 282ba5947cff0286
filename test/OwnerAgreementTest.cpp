#include "Base/ManualClock.h"
#include "Control/RouterDirectory.h"
#include "Decide/Dispatcher.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <memory>
#include <optional>

using namespace catkinloft;

namespace {

/// The same routers and engines for the directory, which names a router to callers, and for the
/// placement of each router.
struct RoutersAndEnginesFixture
{
    void build(int routerCount, int engineCount)
    {
        auto made = std::make_shared<Inventory>();
        made->revision = 1;
        made->workspaces.push_back({.name = "w"});
        for (int i = 0; i < engineCount; ++i)
            made->engines.push_back({.name = fmt::format("engine-{}", i),
                                     .model = "m",
                                     .address = fmt::format("10.0.{}.{}:80", i / 250, i % 250),
                                     .weight = 1.0 + i % 3,
                                     .role = i % 7 == 6 ? "standby" : "serve"});
        made->buildIndexes();
        inventory = made;
        for (int i = 0; i < routerCount; ++i)
            routers.push_back({.name = fmt::format("router-{}", i),
                               .callerAddress = fmt::format("10.1.0.{}:80", i)});
    }

    /// \returns the router that router \a self relays the first request of chat \a key to; nothing
    /// if it places the request itself.
    std::optional<std::string> relayedTo(const std::string &self, std::uint64_t key)
    {
        Dispatcher pool({.clock = clock, .random = seededRandom(1), .self = self});
        pool.setRouters(routers);
        pool.setEngines(inventory, "m");
        std::optional<std::string> out;
        pool.submit({.id = 1,
                     .workspace = "w",
                     .chatKey = key,
                     .deadline = clock.now() + std::chrono::seconds(9)},
                    [&](const Result<Assignment> &it) {
                        REQUIRE(it);
                        if (it.value().relayed)
                            out = it.value().address;
                    });
        return out;
    }

    ManualClock clock;
    InventoryPtr inventory;
    std::vector<RouterView> routers;
};

} // namespace

TEST_CASE_FIXTURE(RoutersAndEnginesFixture, "routerDirectory_everyChat_namesTheRouterThatPlacesIt")
{
    for (const int engines : {9, 40, 200}) {
        routers.clear();
        build(8, engines);
        RouterDirectory directory(routers[3]);
        directory.setRouters(routers);
        directory.setEngines(inventory);
        for (std::uint64_t key = 1; key <= 50; ++key) {
            CAPTURE(key);
            const RouterView &named = directory.routerFor(
                    {.chatKey = hashCombine(key, 5), .model = "m"}, seededRandom(2));
            CHECK_FALSE(relayedTo(named.name, hashCombine(key, 5)));
            const std::string other = named.name == "router-0" ? "router-1" : "router-0";
            CHECK(relayedTo(other, hashCombine(key, 5)) == named.callerAddress);
        }
    }
}
