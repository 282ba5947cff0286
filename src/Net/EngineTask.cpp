#include "Net/EngineTask.h"

#include "Control/EngineOwners.h"
#include "Control/EnginePoller.h"
#include "Control/KvCacheMigrator.h"
#include "Control/OrderController.h"
#include "Net/EventLoop.h"
#include "Net/HttpEngineClient.h"
#include "Net/Timer.h"

#include <set>

namespace catkinloft {

namespace {

/// Interval at which the controllers check their deadlines, the shortest of which is one second.
constexpr Duration Tick = std::chrono::milliseconds(100);

} // namespace

struct EngineTask::Private
{
    explicit Private(Options o)
        : options(std::move(o)),
          http({.loop = options.loop,
                .client = options.client,
                .weightStore = options.weightStore,
                .secure = options.secure,
                .sent = [this](std::size_t n) { options.governor.countBytes(n); }}),
          tracker({.clock = options.loop}), owners(options.directory.self().name),
          poller({.clock = options.loop,
                  .engines = http,
                  .tracker = tracker,
                  .mayDefer = [this] { return options.governor.allowsDeferrable(); }}),
          migrator({.engines = http, .tracker = tracker, .metrics = options.metrics}),
          orders({.clock = options.loop,
                  .random = options.random,
                  .table = options.table,
                  .engines = http,
                  .metrics = options.metrics,
                  .self = options.directory.self().name,
                  .isPrimaryFor = [this](std::uint64_t key) { return owners.isPrimaryFor(key); },
                  .mayDefer = [this] { return options.governor.allowsDeferrable(); }}),
          timer(options.loop, [this] { tick(); })
    {
        options.config.changed().connect(
                [this](const InventoryPtr &inventory) { applyInventory(inventory); });
        options.directory.changed().connect([this] { applyRouters(); });
        options.metrics.addCollector([this](Metrics &metrics) { collect(metrics); });
    }

    void applyInventory(const InventoryPtr &inventory)
    {
        std::vector<std::string> names;
        for (const Engine &it : inventory->engines)
            names.push_back(it.name);
        owners.setEngines(names);
        updateOwned();
        // The migrator needs the state of a leaving engine before its owner may change.
        migrator.setInventory(inventory);
        orders.setInventory(inventory);
    }

    void applyRouters()
    {
        if (!owners.setRouters(options.directory.routers()))
            return;
        updateOwned();
        orders.routersChanged();
    }

    void updateOwned()
    {
        tracker.setOwned(owners.owned());
        const InventoryPtr inventory = options.config.current();
        if (!inventory)
            return;
        std::vector<EnginePoller::Engine> engines;
        const std::set<std::string_view> names(owners.owned().begin(), owners.owned().end());
        for (const Engine &it : inventory->engines) {
            if (names.contains(it.name))
                engines.push_back({.name = it.name, .address = it.address});
        }
        poller.setEngines(std::move(engines));
    }

    void tick()
    {
        poller.poll();
        orders.poll();
    }

    void collect(Metrics &metrics)
    {
        metrics.set("catkinloft_engines_owned", static_cast<double>(owners.owned().size()));
        metrics.set("catkinloft_order_groups_held", static_cast<double>(orders.groupsHeld()));
        metrics.set("catkinloft_cache_event_gaps", static_cast<double>(tracker.gaps()));
        metrics.set("catkinloft_kv_copies_waiting", static_cast<double>(migrator.waiting()));
    }

    Options options;
    HttpEngineClient http;
    EngineTracker tracker;
    EngineOwners owners;
    EnginePoller poller;
    KvCacheMigrator migrator;
    OrderController orders;
    Timer timer;
};

EngineTask::EngineTask(Options options) : m_d(std::make_unique<Private>(std::move(options))) { }

EngineTask::~EngineTask() = default;

void EngineTask::start()
{
    m_d->owners.setRouters(m_d->options.directory.routers());
    m_d->timer.startRepeating(Tick);
}

EngineTracker &EngineTask::tracker()
{
    return m_d->tracker;
}

} // namespace catkinloft
