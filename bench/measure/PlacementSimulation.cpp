#include "PlacementSimulation.h"

#include "Base/Hash.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace catkinloft::measure {

namespace {

constexpr int Workspaces = 10;
constexpr int Protected = 2; ///< Number of protected workspaces, the last ones.
constexpr double LargeShare = 0.8; ///< Share of the traffic from large workspaces.
constexpr double WarmUp = 15; ///< Seconds at the start that are not measured.
constexpr double Deadline = 30;
constexpr double MessageDelay = 0.0005; ///< One-way delay between failure domains, in seconds.
constexpr double ReportPeriod = 1;
constexpr double ReportDelay = 0.2; ///< Seconds until a report has reached all routers.
constexpr double MeanSlotTime = 1.3; ///< Of a typical job, in seconds; only scales arrivals.
constexpr double ReturnShare = 0.75;
constexpr std::size_t ChatsPerEngine = 4; ///< For each workspace.
constexpr double Bound = 1.25;
constexpr PlacementEngine::Options EngineOptions;

} // namespace

PlacementSimulation::PlacementSimulation(Options options)
    : m_options(options), m_begin(m_clock.now()), m_random(seededRandom(options.seed)),
      m_lossRandom(seededRandom(hashCombine(options.seed, 1))),
      m_engines(static_cast<std::size_t>(options.engines), PlacementEngine(EngineOptions)),
      m_chats(Workspaces)
{
    for (int i = 0; i < options.routers; ++i)
        m_routers.push_back(makePlacementPolicy({.name = options.policy,
                                                 .clock = m_clock,
                                                 .seed = hashCombine(options.seed, 100 + i),
                                                 .router = i,
                                                 .routers = options.routers,
                                                 .engines = options.engines}));
    const InventoryPtr inventory = makeInventory();
    for (const auto &it : m_routers)
        it->setInventory(inventory);
}

InventoryPtr PlacementSimulation::makeInventory()
{
    std::string text = "places: [{name: d, region: r}]\nengines:\n";
    for (std::size_t i = 0; i < m_engines.size(); ++i)
        text += fmt::format("  - {{name: e{}, model: m, address: \"127.0.0.1:{}\", "
                            "failure_domain: d, slots: {}, leaving: {}}}\n",
                            i, i + 1, EngineOptions.slots, m_engines[i].leaving);
    text += "workspaces:\n";
    for (int i = 0; i < Workspaces; ++i)
        text += fmt::format("  - {{name: w{}, key_sha256: \"{:064x}\", protected: {}}}\n", i, i + 1,
                            i >= Workspaces - Protected);
    YamlProblems problems;
    return Inventory::parse(text, "measure", ++m_revision, problems);
}

void PlacementSimulation::after(double seconds, std::function<void()> action)
{
    m_events.push({m_clock.now() + fromSeconds(seconds), ++m_order, std::move(action)});
}

void PlacementSimulation::every(double seconds, std::function<void()> action)
{
    after(seconds, [this, seconds, action = std::move(action)] {
        action();
        every(seconds, action);
    });
}

PlacementSimulation::Results PlacementSimulation::run()
{
    scheduleArrival();
    scheduleFaults();
    every(ReportPeriod, [this] { exchangeReports(); });
    every(0.05, [this] {
        for (const auto &it : m_routers)
            it->poll();
    });
    every(0.1, [this] { sample(); });
    every(1, [this] {
        m_results.reuses.push_back(m_secondReturning > 0 ? m_secondFound / m_secondReturning : -1);
        m_secondReturning = 0;
        m_secondFound = 0;
    });
    const TimePoint end = m_begin + fromSeconds(m_options.seconds);
    while (m_events.top().at < end) {
        const Event it = m_events.top();
        m_events.pop();
        m_clock.advance(it.at - m_clock.now());
        it.action();
    }
    m_results.capacity = (m_options.seconds - WarmUp) * EngineOptions.slots * m_options.engines;
    return std::move(m_results);
}

bool PlacementSimulation::isMeasured() const
{
    return elapsed() >= WarmUp;
}

void PlacementSimulation::scheduleFaults()
{
    const PlacementScenario &s = m_options.scenario;
    const double third = m_options.seconds / 3;
    if (s.slowness != 1) {
        after(third, [this] { m_engines[0].slowness = m_options.scenario.slowness; });
        after(2 * third, [this] { m_engines[0].slowness = 1; });
    }
    if (s.flapping)
        every(5, [this] { setEngineLeaving(0, !m_engines[0].leaving); });
    if (s.leavesPerMinute > 0) {
        every(60.0 / s.leavesPerMinute, [this] {
            const int it = static_cast<int>(below(m_random, m_engines.size()));
            if (m_engines[static_cast<std::size_t>(it)].leaving)
                return;
            setEngineLeaving(it, true);
            after(30, [this, it] { setEngineLeaving(it, false); });
        });
    }
}

void PlacementSimulation::setEngineLeaving(int engine, bool leaving)
{
    PlacementEngine &it = m_engines[static_cast<std::size_t>(engine)];
    it.leaving = leaving;
    if (!leaving) {
        it.clearCache();
        it.returnedAt = m_clock.now();
    }
    propagateInventory();
}

void PlacementSimulation::propagateInventory()
{
    const InventoryPtr inventory = makeInventory();
    for (const auto &router : m_routers) {
        after(uniform(m_lossRandom) * m_options.scenario.listLag,
              [it = router.get(), inventory] { it->setInventory(inventory); });
    }
}

int PlacementSimulation::pickWorkspace()
{
    if (uniform(m_random) < LargeShare)
        return static_cast<int>(
                below(m_random, static_cast<std::uint64_t>(m_options.largeWorkspaces)));
    const int small = Workspaces - m_options.largeWorkspaces;
    return m_options.largeWorkspaces
            + static_cast<int>(below(m_random, static_cast<std::uint64_t>(small)));
}

void PlacementSimulation::scheduleArrival()
{
    const double rate =
            m_options.scenario.load * m_options.engines * EngineOptions.slots / MeanSlotTime;
    after(-std::log(1 - uniform(m_random)) / rate, [this] {
        const int workspace = pickWorkspace();
        const double t = elapsed() / m_options.seconds;
        const bool surges = workspace == 0 && t >= 1.0 / 3 && t < 2.0 / 3;
        const int copies = surges ? static_cast<int>(m_options.scenario.surge) : 1;
        for (int i = 0; i < copies; ++i) {
            auto job = std::make_unique<SimulatedJob>();
            job->workspace = workspace;
            // The requests of a surge are distributed over 0.1 s.
            after(uniform(m_random) * (copies > 1 ? 0.1 : 0), [this, it = job.get()] {
                it->arrived = m_clock.now();
                fillChat(*it);
                ++classOf(*it).arrived;
                submit(it, static_cast<int>(below(m_random, m_routers.size())), 0);
            });
            m_jobs.push_back(std::move(job));
        }
        scheduleArrival();
    });
}

void PlacementSimulation::fillChat(SimulatedJob &job)
{
    auto &chats = m_chats[static_cast<std::size_t>(job.workspace)];
    const std::size_t maxChats = ChatsPerEngine * m_engines.size();
    job.id = ++m_lastId;
    job.output = 60 + 120 * uniform(m_random);
    const bool returns = !chats.empty() && uniform(m_random) < ReturnShare;
    if (!returns) {
        const bool isLong = uniform(m_random) < m_options.scenario.longShare;
        const Chat chat{.id = ++m_lastId, .tokens = isLong ? 8000.0 : 300.0};
        if (chats.size() < maxChats)
            chats.push_back(chat);
        else
            chats[below(m_random, maxChats)] = chat;
        job.chat = chat.id;
        job.prompt = chat.tokens;
        return;
    }
    Chat &chat = chats[below(m_random, chats.size())];
    job.chat = chat.id;
    job.sharedPrefix = chat.tokens;
    job.prompt = chat.tokens + 100;
    chat.tokens = std::min(16'000.0, job.prompt + job.output);
}

PlacementSimulation::ClassResult &PlacementSimulation::classOf(const SimulatedJob &job)
{
    static ClassResult warmUp;
    if (toSeconds(job.arrived - m_begin) < WarmUp)
        return warmUp;
    if (job.workspace < m_options.largeWorkspaces)
        return m_results.classes[0];
    return m_results.classes[job.workspace >= Workspaces - Protected ? 2 : 1];
}

void PlacementSimulation::submit(SimulatedJob *job, int router, int hops)
{
    m_routers[static_cast<std::size_t>(router)]->submit(
            *job, hops, [this, job, router](int engine, int relayTo, bool refused) {
                decided(job, router, engine, relayTo, refused);
            });
}

void PlacementSimulation::decided(SimulatedJob *job, int router, int engine, int relayTo,
                                  bool refused)
{
    if (refused) {
        ++classOf(*job).refused;
        for (const int it : job->relays)
            m_routers[static_cast<std::size_t>(it)]->finished(*job, true, Duration(0));
        return;
    }
    if (relayTo >= 0) {
        m_results.relays += isMeasured() ? 1 : 0;
        job->relays.push_back(router);
        const int hops = static_cast<int>(job->relays.size());
        after(MessageDelay, [this, job, relayTo, hops] { submit(job, relayTo, hops); });
        return;
    }
    job->router = router;
    job->engine = engine;
    m_engines[static_cast<std::size_t>(engine)].add(job);
    checkBound(*job);
    startJobs(engine);
}

void PlacementSimulation::checkBound(const SimulatedJob &job)
{
    if (!isMeasured())
        return;
    double total = 0;
    int n = 0;
    for (const PlacementEngine &it : m_engines) {
        total += it.leaving ? 0 : it.work;
        n += it.leaving ? 0 : 1;
    }
    const double mean = total / n;
    const double over =
            m_engines[static_cast<std::size_t>(job.engine)].work - Bound * mean - job.work();
    ++m_results.placements;
    m_results.overBound += over > 1e-6 ? 1 : 0;
    m_results.excess = std::max(m_results.excess, over / mean);
}

void PlacementSimulation::startJobs(int engine)
{
    PlacementEngine &it = m_engines[static_cast<std::size_t>(engine)];
    while (SimulatedJob *job = it.startNext()) {
        double found = 0;
        job->slotTime = it.serve(*job, found);
        if (isMeasured()) {
            classOf(*job).waits.push_back(toSeconds(m_clock.now() - job->arrived));
            m_results.returningTokens += job->sharedPrefix;
            m_results.foundTokens += found;
        }
        m_secondReturning += job->sharedPrefix;
        m_secondFound += found;
        after(job->slotTime, [this, job] { finish(job); });
    }
}

void PlacementSimulation::finish(SimulatedJob *job)
{
    m_engines[static_cast<std::size_t>(job->engine)].finish(*job);
    const bool late = toSeconds(m_clock.now() - job->arrived) > Deadline;
    classOf(*job).late += late ? 1 : 0;
    if (isMeasured() && !late)
        m_results.usefulSlotTime += job->slotTime;
    startJobs(job->engine);
    const Duration total = m_clock.now() - job->arrived;
    m_routers[static_cast<std::size_t>(job->router)]->finished(*job, false, total);
    for (const int it : job->relays)
        m_routers[static_cast<std::size_t>(it)]->finished(*job, true, total);
}

void PlacementSimulation::exchangeReports()
{
    std::vector<double> loads;
    for (const PlacementEngine &it : m_engines)
        loads.push_back(it.work);
    std::vector<std::vector<LoadReport>> reports;
    for (const auto &it : m_routers) {
        reports.push_back(it->report());
        m_results.reportEntries += reports.back().size();
    }
    for (std::size_t to = 0; to < m_routers.size(); ++to) {
        std::vector<LoadReport> receivedReports;
        for (std::size_t from = 0; from < reports.size(); ++from) {
            if (from != to && uniform(m_lossRandom) >= m_options.scenario.reportLoss)
                receivedReports.insert(receivedReports.end(), reports[from].begin(),
                                       reports[from].end());
        }
        after(ReportDelay,
              [it = m_routers[to].get(), loads, receivedReports = std::move(receivedReports)] {
                  it->updateLoads(loads, receivedReports);
              });
    }
}

void PlacementSimulation::sample()
{
    if (!isMeasured())
        return;
    double total = 0;
    double largest = 0;
    int n = 0;
    for (const PlacementEngine &it : m_engines) {
        if (it.leaving)
            continue;
        total += it.work;
        largest = std::max(largest, it.work);
        ++n;
    }
    if (total > 0)
        m_results.skews.push_back(largest * n / total);
}

} // namespace catkinloft::measure
