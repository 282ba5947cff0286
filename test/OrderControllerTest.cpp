#include "Control/OrderController.h"
#include "Base/ManualClock.h"
#include "FakeEngines.h"
#include "StepTable.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using Fate = StepTable::Fate;

namespace {

InventoryPtr inventoryOf(std::uint64_t revision, std::vector<Engine> engines)
{
    auto out = std::make_shared<Inventory>();
    out->revision = revision;
    out->engines = std::move(engines);
    return out;
}

/// Controllers of several routers that share the engines and the table service.
struct OrdersFixture
{
    Engine engine(int i, bool checksFencing, const std::string &version = "v1")
    {
        Engine out;
        out.name = fmt::format("engine-{}", i);
        out.model = "planning";
        out.address = fmt::format("10.0.0.{}:80", i);
        out.checksFencing = checksFencing;
        out.adapters = {"tides"};
        out.version = version;
        if (!engines.machines.contains(out.address))
            engines.machines[out.address] = {.state = {.model = "planning",
                                                       .version = "v0",
                                                       .adapters = {},
                                                       .role = "serve"},
                                             .checksFencing = checksFencing};
        return out;
    }

    OrderController &addRouter(bool first = true)
    {
        const std::size_t i = routers.size();
        wanted.push_back(std::make_unique<bool>(first));
        routers.push_back(std::make_unique<OrderController>(OrderController::Options{
                .clock = clock,
                .random = seededRandom(i + 1),
                .table = table,
                .engines = engines,
                .metrics = metrics,
                .self = fmt::format("router-{}", i),
                .isPrimaryFor = [it = wanted.back().get()](std::uint64_t) { return *it; }}));
        return *routers.back();
    }

    void pass(Duration time, std::initializer_list<std::size_t> paused = {},
              Fate fate = Fate::Answered)
    {
        for (Duration t{}; t < time; t += 500ms) {
            clock.advance(500ms);
            for (std::size_t i = 0; i < routers.size(); ++i) {
                if (std::find(paused.begin(), paused.end(), i) == paused.end())
                    routers[i]->poll();
            }
            table.run(fate);
            engines.deliver();
            table.run(fate);
        }
    }

    const EngineState &state(int i)
    {
        return engines.machines.at(fmt::format("10.0.0.{}:80", i)).state;
    }

    ManualClock clock;
    StepTable table;
    FakeEngines engines;
    Metrics metrics;
    std::vector<std::unique_ptr<bool>> wanted;
    std::vector<std::unique_ptr<OrderController>> routers;
};

} // namespace

TEST_CASE_FIXTURE(OrdersFixture, "orders_drift_isRepairedStepByStepAndAgainAfterAnotherDrift")
{
    addRouter().setInventory(inventoryOf(1, {engine(1, true)}));
    pass(90s);
    CHECK(state(1).version == "v1");
    CHECK(state(1).adapters == std::vector<std::string>{"tides"});
    engines.machines.at("10.0.0.1:80").state.adapters.clear();
    pass(60s);
    CHECK(state(1).adapters == std::vector<std::string>{"tides"});
    CHECK(engines.log
          == std::vector<std::string>{"load_model", "set_version", "load_adapter", "load_adapter"});
}

TEST_CASE_FIXTURE(OrdersFixture,
                  "orders_holderPausedPastItsLease_checkingEngineRefusesItsLateOrder")
{
    OrderController &old = addRouter();
    old.setInventory(inventoryOf(1, {engine(1, true)}));
    engines.holdOrders = "set_version";
    pass(60s);
    REQUIRE(engines.held() == 1);
    engines.holdOrders.clear();
    addRouter().setInventory(inventoryOf(2, {engine(1, true, "v2")}));
    pass(120s, {0});
    REQUIRE(state(1).version == "v2");
    engines.releaseHeld();
    CHECK(state(1).version == "v2");
    CHECK(engines.refused == 1);
}

TEST_CASE_FIXTURE(OrdersFixture,
                  "orders_engineThatIgnoresNumbers_changesVersionOnlyWhileItGetsNoRequests")
{
    Engine it = engine(1, false);
    addRouter().setInventory(inventoryOf(1, {it}));
    pass(120s);
    CHECK(state(1).version == "v0");
    CHECK(state(1).adapters.size() == 1); // Orders that only add are still sent.
    CHECK(metrics.counter("catkinloft_orders_withheld_total", "order=\"set_version\"") > 0);
    it.leaving = true;
    routers[0]->setInventory(inventoryOf(2, {it}));
    pass(60s);
    CHECK(state(1).version == "v1");
}

TEST_CASE_FIXTURE(OrdersFixture,
                  "orders_engineThatIgnoresNumbers_lateOrderOfPausedHolderIsRepaired")
{
    Engine it = engine(1, false);
    it.leaving = true;
    addRouter().setInventory(inventoryOf(1, {it}));
    engines.holdOrders = "set_version";
    pass(60s);
    REQUIRE(engines.held() == 1);
    engines.holdOrders.clear();
    it.version = "v2";
    addRouter().setInventory(inventoryOf(2, {it}));
    pass(120s, {0});
    REQUIRE(state(1).version == "v2");
    engines.releaseHeld();
    CHECK(state(1).version == "v1"); // The late order is executed, but the engine gets no requests
    pass(30s, {0});
    CHECK(state(1).version == "v2"); // until the next read of its state repairs it.
}

TEST_CASE_FIXTURE(OrdersFixture, "orders_engineThatIgnoresNumbers_rowIsReadRightBeforeTheOrder")
{
    Engine it = engine(1, false);
    addRouter().setInventory(inventoryOf(1, {it}));
    pass(5s);
    // Another holder acquires the row while this router still considers the lease held.
    const std::string key = orderLeaseKey(orderGroupOf(it.name));
    pass(4s);
    const Lease other{.holder = "x", .fence = 9, .attempt = 1, .duration = 45s};
    TableTransaction theft;
    theft.writes.push_back({.key = key, .value = other.encode()});
    engines.log.clear();
    engines.machines.at(it.address).state.adapters.clear();
    table.commit(std::move(theft), [](const auto &) {});
    pass(12s);
    CHECK(engines.log.empty());
}

TEST_CASE_FIXTURE(OrdersFixture, "orders_storeDown_stopWithTheLeaseAndRepairAfterTheOutage")
{
    addRouter().setInventory(inventoryOf(1, {engine(1, true)}));
    pass(60s);
    pass(60s, {}, Fate::LostRequest);
    engines.log.clear();
    engines.machines.at("10.0.0.1:80").state.adapters.clear();
    pass(60s, {}, Fate::LostRequest);
    CHECK(engines.log.empty());
    pass(60s);
    CHECK(state(1).adapters.size() == 1);
}

TEST_CASE_FIXTURE(OrdersFixture, "orders_engineReceivedHigherNumber_numberIsRaisedAndOrderApplied")
{
    Engine it = engine(1, true);
    engines.machines.at(it.address).state.fence = 70;
    addRouter().setInventory(inventoryOf(1, {it}));
    pass(90s);
    CHECK(state(1).version == "v1");
    CHECK(state(1).fence > 70);
}

TEST_CASE_FIXTURE(OrdersFixture,
                  "orders_engineReportsImplausibleNumber_othersOfItsGroupStillGetOrders")
{
    Engine liar = engine(1, true);
    Engine honest = engine(2, true);
    for (int i = 3; orderGroupOf(honest.name) != orderGroupOf(liar.name); ++i)
        honest = engine(i, true);
    engines.machines.at(liar.address).state.fence = UINT64_MAX - 1;
    addRouter().setInventory(inventoryOf(1, {liar, honest}));
    pass(120s);
    CHECK(engines.machines.at(honest.address).state.version == "v1");
    CHECK(engines.machines.at(liar.address).state.version == "v0");
}

TEST_CASE_FIXTURE(OrdersFixture, "orders_weightStoreRefuses_retryAfterIsHonouredAndFewLoadAtATime")
{
    std::vector<Engine> all;
    for (int i = 1; i <= 24; ++i)
        all.push_back(engine(i, true));
    engines.clock = &clock;
    engines.weightStoreClosedFor = 60s;
    engines.loadTime = 20s;
    for (std::size_t i = 0; i < 8; ++i)
        addRouter().setInventory(inventoryOf(1, all));
    pass(900s);
    CHECK(engines.askedTooEarly <= 3); // Each holder of another slot asks once before it knows.
    CHECK(engines.mostLoading <= 4);
    for (int i = 1; i <= 24; ++i)
        CHECK(state(i).version == "v1");
}

TEST_CASE_FIXTURE(OrdersFixture, "orders_manyEngines_readsStayWithinTheirBudget")
{
    std::vector<Engine> all;
    for (int i = 1; i <= 200; ++i) {
        all.push_back(engine(i, true));
        engines.machines.at(all.back().address).state = {
                .model = "planning", .version = "v1", .adapters = {"tides"}, .role = "serve"};
    }
    addRouter().setInventory(inventoryOf(1, all));
    pass(400s);
    CHECK(engines.readings <= 400);
    CHECK(engines.machinesRead() == 200);
}
