#include "Control/OrderController.h"

#include "Base/Hash.h"
#include "Base/Log.h"

#include <algorithm>

#include <fmt/format.h>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// Delay before the state is read again after an order; engines switch versions and roles in less.
constexpr Duration ReadBackDelay = 1s;

/// Longest time between two reads of a failing engine: a dead engine costs very little and a
/// recovered one is detected within a minute.
constexpr Duration MaxBackOff = 60s;

/// Retry interval while a load waits for a slot of the weight store.
constexpr Duration SlotRetryDelay = 5s;

bool sameTargetState(const Engine &a, const Engine &b)
{
    return a.address == b.address && a.model == b.model && a.version == b.version
            && a.adapters == b.adapters && a.role == b.role && a.leaving == b.leaving
            && a.checksFencing == b.checksFencing;
}

} // namespace

OrderController::OrderController(Options options)
    : m_options(std::move(options)), m_weights({.clock = m_options.clock,
                                                .random = [this] { return m_options.random(); },
                                                .table = m_options.table,
                                                .self = m_options.self})
{ }

void OrderController::setInventory(InventoryPtr inventory)
{
    m_inventory = std::move(inventory);
    for (std::size_t i = 0; i < OrderGroupCount; ++i)
        m_wantedGroups[i] = m_options.isPrimaryFor(hash64("orders", i));
    rebuild();
}

void OrderController::routersChanged()
{
    std::vector<bool> wanted(OrderGroupCount);
    for (std::size_t i = 0; i < OrderGroupCount; ++i)
        wanted[i] = m_options.isPrimaryFor(hash64("orders", i));
    if (wanted == m_wantedGroups || !m_inventory)
        return;
    m_wantedGroups = std::move(wanted);
    rebuild();
}

void OrderController::rebuild()
{
    std::map<std::string, Target> next;
    for (auto &it : m_groups)
        it.second.engines.clear();
    // A router controls about 11 of 10,000 engines, so only those are copied with each revision.
    for (const Engine &it : m_inventory->engines) {
        if (m_wantedGroups[orderGroupOf(it.name)])
            addTarget(it, next);
    }
    m_targets = std::move(next);
    for (auto &it : m_groups)
        it.second.lease->setWanted(!it.second.engines.empty());
    dropLostLoads();
}

void OrderController::addTarget(const Engine &engine, std::map<std::string, Target> &into)
{
    const std::size_t group = orderGroupOf(engine.name);
    Group &it = m_groups[group];
    if (!it.lease) {
        it.lease = std::make_unique<LeaseManager>(
                LeaseManager::Options{.clock = m_options.clock,
                                      .random = [this] { return m_options.random(); },
                                      .table = m_options.table,
                                      .key = orderLeaseKey(group),
                                      .self = m_options.self});
    }
    it.engines.push_back(engine.name);
    Target &target = into[engine.name];
    // Changes arrive every 3.5 s in the largest fleet: restarting all reads with each change would
    // leave the engines at the end of the group unread.
    const auto old = m_targets.find(engine.name);
    if (old != m_targets.end())
        target = std::move(old->second);
    if (old == m_targets.end() || !sameTargetState(target.wanted, engine))
        target.nextCheck = m_options.clock.now();
    target.wanted = engine;
    target.group = group;
}

void OrderController::poll()
{
    dropLostLoads();
    m_weights.poll();
    for (auto &it : m_groups)
        it.second.lease->poll();
    checkMostOverdue();
}

TimePoint OrderController::nextDeadline() const
{
    TimePoint out = m_weights.nextDeadline();
    for (const auto &it : m_groups) {
        out = std::min(out, it.second.lease->nextDeadline());
        if (!it.second.lease->fence())
            continue;
        for (const std::string &name : it.second.engines) {
            const Target &target = m_targets.at(name);
            if (!target.busy)
                out = std::min(out, std::max(target.nextCheck, m_nextReading));
        }
    }
    return out;
}

std::size_t OrderController::groupsHeld() const
{
    return static_cast<std::size_t>(
            std::count_if(m_groups.begin(), m_groups.end(),
                          [](const auto &it) { return it.second.lease->fence().has_value(); }));
}

std::vector<OrderController::Target *> OrderController::heldTargets()
{
    std::vector<Target *> out;
    for (const auto &it : m_groups) {
        if (!it.second.lease->fence())
            continue;
        for (const std::string &name : it.second.engines)
            out.push_back(&m_targets.at(name));
    }
    return out;
}

void OrderController::checkMostOverdue()
{
    const TimePoint now = m_options.clock.now();
    if (m_nextReading > now)
        return;
    Target *best = nullptr;
    for (Target *it : heldTargets()) {
        if (!it->busy && it->nextCheck <= now && (!best || it->nextCheck < best->nextCheck))
            best = it;
    }
    if (!best)
        return;
    m_nextReading = now + fromSeconds(1 / m_options.checksPerSecond);
    if (!m_options.mayDefer())
        return;
    check(best->wanted.name, *best);
}

template<typename T>
std::function<void(Result<T>)>
OrderController::receiver(const std::string &name, std::function<void(Target &, Result<T>)> then)
{
    return [this, name, then = std::move(then), alive = std::weak_ptr(m_alive)](Result<T> answer) {
        if (alive.expired())
            return;
        const auto it = m_targets.find(name);
        if (it == m_targets.end())
            return;
        it->second.busy = false;
        then(it->second, std::move(answer));
    };
}

void OrderController::check(const std::string &name, Target &target)
{
    scheduleCheck(target, m_options.checkInterval);
    target.busy = true;
    m_options.engines.readState(
            target.wanted.address,
            receiver<EngineState>(name, [this, name](Target &it, const auto &state) {
                if (state)
                    handleState(name, state.value());
                else
                    handleFailure(it, "reading its state", state.error());
            }));
}

void OrderController::scheduleCheck(Target &target, Duration delay)
{
    target.nextCheck = m_options.clock.now() + delay;
}

void OrderController::handleFailure(Target &target, std::string_view what, const Error &error)
{
    const int doublings = std::min(++target.failures, 10);
    const Duration delay = std::min(ReadBackDelay * (1 << doublings), MaxBackOff);
    scheduleCheck(target, scaled(delay, 0.5 + uniform(m_options.random)));
    cancelLoad(target.wanted.name);
    m_options.metrics.count("catkinloft_engine_control_failures_total",
                            Metrics::label("reason", error.reason));
    Log::warning("engine_control_failed",
                 {{"engine", target.wanted.name},
                  {"during", what},
                  {"reason", reasonInfo(error.reason).code},
                  {"detail", error.detail},
                  {"verdict", toString(error.verdict)}});
}

void OrderController::cancelLoad(const std::string &name)
{
    m_pendingLoads.erase(name);
    if (m_loadingEngine == name)
        m_loadingEngine.clear();
    m_weights.setWanted(!m_pendingLoads.empty());
}

void OrderController::dropLostLoads()
{
    const auto isLost = [this](const std::string &name) {
        const auto it = m_targets.find(name);
        return it == m_targets.end() || (!it->second.busy && !leaseOf(it->second).fence());
    };
    std::erase_if(m_pendingLoads, isLost);
    if (!m_pendingLoads.contains(m_loadingEngine))
        m_loadingEngine.clear();
    m_weights.setWanted(!m_pendingLoads.empty());
}

void OrderController::handleState(const std::string &name, const EngineState &state)
{
    Target &target = m_targets.at(name);
    LeaseManager &lease = leaseOf(target);
    const auto fence = lease.fence();
    if (!fence)
        return; // The current holder reads the state itself.
    if (target.wanted.checksFencing && state.fence > *fence) {
        // The engine received a higher number than that of the row, for example because it was
        // renamed into another group. The number is raised before any order is sent.
        if (lease.raiseFence(state.fence))
            scheduleCheck(target, ReadBackDelay);
        else
            handleFailure(target, "reading its state",
                          {.reason = Reason::UpstreamBroken,
                           .detail = "the engine reports an implausibly high fencing number"});
        return;
    }
    auto step = nextOrderStep(target.wanted, state, target.loadedVersion);
    if (step)
        step->revision = m_inventory->revision;
    if (!step || !step->needsWeights)
        cancelLoad(name);
    if (!step) {
        target.failures = 0;
        target.lastCause.clear();
    } else if (step->withheld) {
        withhold(target, *step);
    } else if (!step->needsWeights) {
        confirmLease(name, *step);
    } else if (acquireLoadSlot(name, target)) {
        requestWeights(name, *step);
    }
}

void OrderController::withhold(Target &target, const OrderStep &step)
{
    m_options.metrics.count("catkinloft_orders_withheld_total",
                            Metrics::label("order", toString(step.order.kind)));
    if (target.lastCause == step.cause)
        return;
    target.lastCause = step.cause;
    Log::warning("order_withheld",
                 {{"engine", target.wanted.name},
                  {"order", toString(step.order.kind)},
                  {"cause", step.cause}});
}

bool OrderController::acquireLoadSlot(const std::string &name, Target &target)
{
    m_pendingLoads.insert(name);
    m_weights.setWanted(true);
    // One load at a time, because this router has one slot.
    if ((m_loadingEngine.empty() || m_loadingEngine == name) && m_weights.mayAsk()) {
        m_loadingEngine = name;
        return true;
    }
    scheduleCheck(target, SlotRetryDelay);
    return false;
}

void OrderController::requestWeights(const std::string &name, const OrderStep &step)
{
    if (step.order.kind != OrderKind::LoadModel || step.order.version.empty()) {
        confirmLease(name, step);
        return;
    }
    m_targets.at(name).busy = true;
    m_options.engines.requestWeights(
            step.order.model, step.order.version,
            receiver<void>(name, [this, name, step](Target &target, const auto &answer) {
                if (answer) {
                    confirmLease(name, step);
                    return;
                }
                if (answer.error().retryAfter)
                    m_weights.backOff(*answer.error().retryAfter);
                handleFailure(target, "asking the weight store", answer.error());
                if (answer.error().retryAfter)
                    target.nextCheck = std::max(target.nextCheck,
                                                m_options.clock.now() + *answer.error().retryAfter);
            }));
}

void OrderController::confirmLease(const std::string &name, const OrderStep &step)
{
    Target &target = m_targets.at(name);
    if (target.wanted.checksFencing) {
        sendOrder(name, step);
        return;
    }
    // This engine does not detect orders of a former holder, so the row is read right before.
    target.busy = true;
    leaseOf(target).confirm([this, name, step, alive = std::weak_ptr(m_alive)](bool isHeld) {
        if (alive.expired())
            return;
        const auto it = m_targets.find(name);
        if (it == m_targets.end())
            return;
        it->second.busy = false;
        if (isHeld)
            sendOrder(name, step);
    });
}

void OrderController::sendOrder(const std::string &name, const OrderStep &step)
{
    Target &target = m_targets.at(name);
    // Checked here because the process may have been paused since the state was read.
    const auto fence = leaseOf(target).fence();
    if (!fence || step.revision != m_inventory->revision) {
        cancelLoad(name);
        scheduleCheck(target, ReadBackDelay); // Computes the step from the newest inventory.
        return;
    }
    EngineOrder order = step.order;
    order.fence = *fence;
    order.id = fmt::format("{}-{}-{}", m_options.self, order.fence, ++m_orders);
    Log::info("order_given",
              {{"engine", name},
               {"order", toString(order.kind)},
               {"cause", step.cause},
               {"fence", order.fence},
               {"order_id", order.id},
               {"revision", m_inventory->revision}});
    target.busy = true;
    m_options.engines.sendOrder(
            target.wanted.address, order,
            receiver<OrderAnswer>(name, [this, name, order](Target &it, const auto &answer) {
                scheduleCheck(it, ReadBackDelay);
                handleAnswer(name, order, answer);
            }));
}

void OrderController::handleAnswer(const std::string &name, const EngineOrder &order,
                                   const Result<OrderAnswer> &answer)
{
    Target &target = m_targets.at(name);
    cancelLoad(name);
    const auto count = [&](std::string_view result) {
        m_options.metrics.count("catkinloft_orders_total",
                                Metrics::label("order", toString(order.kind)) + ","
                                        + Metrics::label("result", result));
    };
    if (!answer) {
        count("unknown"); // The next read of the state shows the outcome.
        handleFailure(target, "giving an order", answer.error());
    } else if (!answer.value().applied) {
        count("fenced");
        Log::warning("order_fenced",
                     {{"engine", name},
                      {"order_id", order.id},
                      {"fence", order.fence},
                      {"seen", answer.value().fence}});
        leaseOf(target).raiseFence(answer.value().fence);
    } else {
        count("applied");
        if (order.kind == OrderKind::LoadModel)
            target.loadedVersion = order.version;
    }
}

} // namespace catkinloft
