#include "Base/ManualClock.h"
#include "Control/EngineDigest.h"
#include "Control/EngineOwners.h"
#include "Control/EnginePoller.h"
#include "Control/OrderController.h"
#include "FakePlatform.h"
#include "Slope.h"

#include <array>
#include <deque>
#include <memory>

#include <fmt/format.h>

namespace catkinloft::measure {

namespace {

using namespace std::chrono_literals;

constexpr std::array EngineCounts = {1250, 2500, 5000, 10'000};
constexpr std::array RouterCounts = {6, 222, 445, 890};
constexpr int FullRouters = 890;
constexpr int FullEngines = 10'000;

/// Bytes of one reading in both directions: 48 for the request and 172 for the answer of an idle
/// engine on loopback, three TCP headers of 52, and a margin for longer numbers.
constexpr double ReadingBytes = 450;

/// \brief Simulates engines that are in the desired state and answer immediately.
class IdleEngines final : public EngineClient
{
public:
    void readLoad(std::string, Callback<EngineLoad> done) override
    {
        ++readings;
        done(EngineLoad{.running = 10});
    }
    void readCacheEvents(std::string, std::uint64_t, Callback<CacheFeed> done) override
    {
        ++readings;
        done(CacheFeed{});
    }
    void readState(std::string, Callback<EngineState> done) override
    {
        ++readings;
        done(EngineState{.model = "m", .version = "v1", .adapters = {}, .role = "serve"});
    }
    void sendOrder(std::string, EngineOrder, Callback<OrderAnswer> done) override
    {
        done(OrderAnswer{.applied = true});
    }
    void exportKv(std::string, std::string, Callback<std::string> done) override { done(""); }
    void importKv(std::string, std::string, std::string, Callback<void> done) override
    {
        done(outcome::success());
    }
    void requestWeights(std::string, std::string, Callback<void> done) override
    {
        done(outcome::success());
    }

    std::uint64_t readings = 0;
};

/// \brief Counts the reads and commits that reach a table.
class CountingTable final : public TableService
{
public:
    void read(std::vector<std::string> keys, Callback<std::vector<TableRow>> done) override
    {
        ++reads;
        m_table.read(std::move(keys), std::move(done));
    }
    void scan(std::string prefix, std::size_t limit, Callback<std::vector<TableRow>> done) override
    {
        m_table.scan(std::move(prefix), limit, std::move(done));
    }
    void commit(TableTransaction transaction, Callback<TableCommit> done) override
    {
        ++writes;
        m_table.commit(std::move(transaction), std::move(done));
    }

    void run()
    {
        while (!m_later.empty()) {
            const auto it = std::move(m_later.front());
            m_later.pop_front();
            it();
        }
    }

    std::uint64_t reads = 0;
    std::uint64_t writes = 0;

private:
    std::deque<std::function<void()>> m_later;
    fakes::FakeTable m_table{
            [this](std::function<void()> it) { m_later.push_back(std::move(it)); }};
};

std::vector<std::string> namesOf(const char *kind, int n)
{
    std::vector<std::string> out;
    out.reserve(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i)
        out.push_back(fmt::format("{}-{}", kind, i));
    return out;
}

std::vector<RouterView> routersOf(int n)
{
    std::vector<RouterView> out(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i)
        out[static_cast<std::size_t>(i)].name = fmt::format("router-{}", i);
    return out;
}

InventoryPtr inventoryOf(int engines)
{
    auto out = std::make_shared<Inventory>();
    for (const std::string &it : namesOf("engine", engines)) {
        Engine engine;
        engine.name = it;
        engine.model = "m";
        engine.address = it;
        engine.version = "v1";
        out->engines.push_back(std::move(engine));
    }
    return out;
}

Point digestBytes(int engines, std::uint64_t seed)
{
    const ManualClock clock;
    EngineTracker tracker({.clock = clock});
    const RandomSource random = seededRandom(seed);
    const std::vector<std::string> names = namesOf("engine", engines);
    tracker.setOwned(names);
    for (const std::string &it : names)
        tracker.recordLoad(it, {.running = 32 * uniform(random), .asOf = clock.wallNow()});
    const std::string text = EngineDigest::of(tracker, names, 1.25).encode();
    return {.size = double(engines), .cost = double(text.size())};
}

/// \returns the traffic of one of \a routers routers for reading loads and cache events, in bytes
/// per second.
Point readingBytes(int engines, int routers)
{
    ManualClock clock;
    IdleEngines engineClient;
    EngineOwners owners("router-0");
    owners.setRouters(routersOf(routers));
    owners.setEngines(namesOf("engine", engines));
    EngineTracker tracker({.clock = clock});
    EnginePoller poller({.clock = clock, .engines = engineClient, .tracker = tracker});
    std::vector<EnginePoller::Engine> owned;
    for (const std::string &it : owners.owned())
        owned.push_back({.name = it, .address = it});
    poller.setEngines(std::move(owned));
    constexpr int Seconds = 600;
    for (int i = 0; i < Seconds * 10; ++i) {
        clock.advance(100ms);
        poller.poll();
    }
    return {.size = double(engines),
            .cost = double(engineClient.readings) * ReadingBytes / Seconds};
}

/// \brief The order controllers of all routers of a fleet, which share one table.
class OrderFleet
{
public:
    OrderFleet(int routers, int engines, std::uint64_t seed)
    {
        const InventoryPtr inventory = inventoryOf(engines);
        const std::vector<RouterView> views = routersOf(routers);
        for (std::size_t i = 0; i < views.size(); ++i) {
            m_owners.push_back(std::make_unique<EngineOwners>(views[i].name));
            m_owners.back()->setRouters(views);
            m_controllers.push_back(std::make_unique<OrderController>(OrderController::Options{
                    .clock = m_clock,
                    .random = seededRandom(seed * 100'000 + i),
                    .table = table,
                    .engines = engineClient,
                    .metrics = m_metrics,
                    .self = views[i].name,
                    .isPrimaryFor = [it = m_owners.back().get()](std::uint64_t key) {
                        return it->isPrimaryFor(key);
                    }}));
            m_controllers.back()->setInventory(inventory);
        }
    }

    void advanceBy(Duration time)
    {
        for (Duration t{}; t < time; t += 500ms) {
            m_clock.advance(500ms);
            for (const auto &it : m_controllers)
                it->poll();
            table.run();
        }
    }

    CountingTable table;
    IdleEngines engineClient;

private:
    ManualClock m_clock;
    Metrics m_metrics;
    std::vector<std::unique_ptr<EngineOwners>> m_owners;
    std::vector<std::unique_ptr<OrderController>> m_controllers;
};

struct FleetCost
{
    double writes = 0; ///< Per second, over the whole fleet.
    double reads = 0;
    double readings = 0; ///< Of engines' states, per second and router.
};

FleetCost orderCost(int routers, int engines, std::uint64_t seed)
{
    OrderFleet fleet(routers, engines, seed);
    fleet.advanceBy(60s); // Until every lease is held.
    fleet.table.writes = fleet.table.reads = fleet.engineClient.readings = 0;
    constexpr double Seconds = 300;
    fleet.advanceBy(fromSeconds(Seconds));
    return {.writes = double(fleet.table.writes) / Seconds,
            .reads = double(fleet.table.reads) / Seconds,
            .readings = double(fleet.engineClient.readings) / Seconds / routers};
}

/// \returns the processor time of one router for a new revision of the inventory.
Point changeSeconds(int engines)
{
    constexpr int Changes = 20;
    const InventoryPtr inventory = inventoryOf(engines);
    const std::vector<std::string> names = namesOf("engine", engines);
    ManualClock clock;
    CountingTable table;
    IdleEngines engineClient;
    Metrics metrics;
    EngineOwners owners("router-0");
    owners.setRouters(routersOf(FullRouters));
    owners.setEngines(names);
    OrderController controller(
            {.clock = clock,
             .random = seededRandom(1),
             .table = table,
             .engines = engineClient,
             .metrics = metrics,
             .self = "router-0",
             .isPrimaryFor = [&](std::uint64_t key) { return owners.isPrimaryFor(key); }});
    const double before = processorSeconds();
    for (int i = 0; i < Changes; ++i) {
        owners.setEngines(names);
        controller.setInventory(inventory);
    }
    return {.size = double(engines), .cost = (processorSeconds() - before) / Changes};
}

void measureEngines(std::uint64_t seed, const Report &report)
{
    std::vector<Point> digest;
    std::vector<Point> reading;
    std::vector<Point> change;
    for (const int it : EngineCounts) {
        digest.push_back(digestBytes(it, seed));
        reading.push_back(readingBytes(it, FullRouters));
        change.push_back(changeSeconds(it));
    }
    std::vector<Point> writes;
    std::vector<Point> reads;
    std::vector<Point> states;
    for (const int it : RouterCounts) {
        const FleetCost cost = orderCost(it, FullEngines, seed);
        writes.push_back({.size = double(it), .cost = cost.writes});
        reads.push_back({.size = double(it), .cost = cost.reads});
        states.push_back({.size = double(it), .cost = cost.readings * ReadingBytes});
    }
    reportSlope(report, "engine_digest_size", digest, "B", "engine", seed);
    reportSlope(report, "engine_reading_traffic", reading, "B/s", "engine", seed);
    reportSlope(report, "engine_change_cpu", change, "s", "engine", seed);
    reportSlope(report, "lease_writes", writes, "1/s", "router", seed);
    reportSlope(report, "lease_reads", reads, "1/s", "router", seed);
    reportSlope(report, "engine_state_traffic", states, "B/s", "router", seed);
}

const bool Registered = registerSubject(
        {.name = "engines",
         .summary = "digests, readings and lease traffic by number of engines and routers",
         .slopes = true,
         .run = &measureEngines});

} // namespace

} // namespace catkinloft::measure
