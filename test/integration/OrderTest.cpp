#include "Control/OrderPlan.h"
#include "fleet/Fleet.h"

#include <doctest/doctest.h>

#include <csignal>

#include <fmt/format.h>
#include <json/json.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using standin::Fleet;

namespace {

/// Three engines that check fencing numbers. The inventory states this for the first two only.
struct EngineOrderFixture
{
    EngineOrderFixture()
    {
        standin::Deployment small = standin::deploymentNamed("sofiyska");
        small.engines = 3;
        small.replicas = 1;
        small.routers = 3;
        fleet = std::make_unique<Fleet>(
                Fleet::Options{.deployment = small,
                               .binaries = CATKINLOFT_BINARIES,
                               .engineFlags = {"--checks_fencing", "--model=" + small.model}});
        fleet->start();
    }

    /// \returns the fleet's inventory with \a version as the wanted version of every engine.
    std::string inventoryWithVersion(const std::string &version) const
    {
        std::string out = fleet->inventory();
        for (int i = 0; i < 3; ++i) {
            const std::size_t line = out.find(fmt::format("name: engine-{},", i));
            out.insert(out.find('}', line),
                       fmt::format(", version: {}, adapters: [tides], "
                                   "checks_fencing: {}",
                                   version, i < 2));
        }
        return out;
    }

    Json::Value state(std::size_t engine) const
    {
        Json::Value out;
        const Result<HttpAnswer> answer =
                Fleet::fetch({.address = fleet->engineAddress(engine), .target = "/v1/state"});
        if (answer)
            Json::Reader().parse(answer.value().body, out);
        return out;
    }

    bool waitForVersion(std::size_t engine, const std::string &version, Duration limit) const
    {
        return Fleet::waitFor(
                [&] {
                    const Json::Value it = state(engine);
                    return it["version"].asString() == version && it["adapters"].size() == 1;
                },
                limit);
    }

    /// \returns the index of the router that took the lease of \a engine, or 3 if none did.
    std::size_t holderOf(const std::string &engine) const
    {
        const std::string key = orderLeaseKey(orderGroupOf(engine)) + "\"";
        for (std::size_t i = 0; i < 3; ++i) {
            const std::string log = fleet->routerLog(i);
            const std::size_t taken = log.find("\"lease_taken\"");
            if (taken != std::string::npos && log.find(key, taken) != std::string::npos)
                return i;
        }
        return 3;
    }

    std::unique_ptr<Fleet> fleet;
};

} // namespace

TEST_CASE_FIXTURE(EngineOrderFixture,
                  "orders_driftThenHolderPausedPastItsLease_reachTheWantedVersion")
{
    REQUIRE(fleet->apply(inventoryWithVersion("v1")) == 200);
    CHECK(waitForVersion(0, "v1", 60s));
    CHECK(waitForVersion(1, "v1", 60s));
    CHECK(waitForVersion(2, "",
                         60s)); // Declared as not checking, and serving: it only gets the adapter.

    const std::size_t holder = holderOf("engine-0");
    REQUIRE(holder < 3);
    const auto fence = state(0)["fence"].asUInt64();
    fleet->router(holder).signal(SIGSTOP);
    REQUIRE(fleet->apply(inventoryWithVersion("v2"), (holder + 1) % 3) == 200);
    CHECK(waitForVersion(0, "v2", 150s));
    CHECK(state(0)["fence"].asUInt64() > fence);
    fleet->router(holder).signal(SIGCONT);
    CHECK(Fleet::waitFor([&] {
        const std::string log = fleet->routerLog(holder);
        return log.find("lease_lapsed") != std::string::npos
                || log.find("lease_lost") != std::string::npos;
    }));
    CHECK(state(0)["version"].asString() == "v2");
    // The engine refuses every order with the fencing number of the paused holder.
    const Result<HttpAnswer> late = Fleet::fetch(
            {.address = fleet->engineAddress(0),
             .method = "POST",
             .target = "/v1/orders",
             .body = fmt::format(R"({{"order":"set_version","args":{{"version":"v1"}},)"
                                 R"("fence":{},"order_id":"late"}})",
                                 fence)});
    REQUIRE(late);
    CHECK(late.value().head.status == 409);
    CHECK(state(0)["version"].asString() == "v2");
}
