#include "AtMostOnceLoad.h"
#include "Base/Random.h"
#include "fleet/EntryFleet.h"

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <csignal>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <thread>

using namespace catkinloft;
using namespace std::chrono_literals;
using standin::EntryFleet;

namespace {

/// Routers, and four replicas of each service.
struct AtMostOnceFixture
{
    static constexpr std::size_t Replicas = 8;

    explicit AtMostOnceFixture(std::size_t routers = 6,
                               const std::string &extraSettings = "stop_limit: 3s\n")
        : fleet({.binaries = CATKINLOFT_BINARIES,
                 .routers = routers,
                 .replicas = Replicas / 2,
                 .extraSettings = extraSettings,
                 .serviceTime = 20ms})
    {
        fleet.start();
    }

    /// Sends requests while \a disturb runs, and checks that some are served, some refused, none
    /// runs twice and none that was refused runs.
    void requireAtMostOnce(const std::function<void()> &disturb, bool usesNewConnections = false)
    {
        AtMostOnceLoad load(fleet, usesNewConnections);
        std::atomic<bool> isDone = false;
        std::thread sender([&] { load.run(isDone); });
        disturb();
        isDone = true;
        sender.join();
        std::this_thread::sleep_for(500ms);
        std::map<int, int> counts = requireAtMostOnceRun(fleet, load.statuses());
        CHECK(counts[200] > 0);
        CHECK(counts[503] > 0);
    }

    /// Plays disturbances that overlap for \a length; \a seed determines kinds, targets and times.
    void disturb(std::uint64_t seed, Duration length);

    void after(Duration delay, std::function<void()> action)
    {
        m_actions.emplace(std::chrono::steady_clock::now() + delay, std::move(action));
    }
    void stopRouter(std::size_t i, Duration length);
    void stopReplicas(std::size_t n, Duration length);
    void restartRouter(std::size_t i, int signal);
    void awaitEnd(std::size_t i);
    void partition(const std::string &how, Duration length);
    void setReplicaFaults(const std::string &faults, Duration length);

    Duration between(Duration least, Duration most) const
    {
        return least + Duration(below(random, (most - least).count()));
    }

    RandomSource random;
    std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> m_actions;
    std::set<std::size_t> m_restarting; ///< Routers.

    EntryFleet fleet;
};

void AtMostOnceFixture::disturb(std::uint64_t seed, Duration length)
{
    random = seededRandom(seed);
    const auto begin = [this] {
        switch (below(random, 11)) {
        case 0:
        case 1:
            return stopReplicas(Replicas, between(300ms, 1500ms));
        case 2:
            return stopReplicas(1 + below(random, Replicas - 1), between(300ms, 2000ms));
        case 3:
        case 4:
            return stopRouter(below(random, fleet.routerCount()), between(200ms, 1500ms));
        case 5:
            return restartRouter(below(random, fleet.routerCount()), SIGTERM);
        case 6:
            return restartRouter(below(random, fleet.routerCount()), SIGKILL);
        case 7: {
            const std::array<const char *, 4> ways = {"reset", "drop", "refuse_new",
                                                      "accept_silent"};
            return partition(ways[below(random, ways.size())], between(200ms, 1500ms));
        }
        case 8:
            fleet.setStoreMode("slow", 400);
            return after(between(500ms, 1500ms), [this] { fleet.setStoreMode("up"); });
        case 9:
            return fleet.restartReplica(below(random, Replicas));
        default:
            return setReplicaFaults(R"({"refuse":0.3,"lose":0.05})", between(300ms, 1000ms));
        }
    };
    for (Duration at = 300ms; at < length; at += between(150ms, 600ms))
        after(at, begin);
    while (!m_actions.empty()) {
        const auto it = m_actions.begin();
        std::this_thread::sleep_until(it->first);
        const std::function<void()> action = std::move(it->second);
        m_actions.erase(it);
        action();
    }
}

void AtMostOnceFixture::stopRouter(std::size_t i, Duration length)
{
    if (m_restarting.contains(i))
        return;
    fleet.router(i).signal(SIGSTOP);
    after(length, [this, i] { fleet.router(i).signal(SIGCONT); });
}

void AtMostOnceFixture::stopReplicas(std::size_t n, Duration length)
{
    const std::size_t first = below(random, Replicas);
    const auto signal = [this, first, n](int number) {
        for (std::size_t i = 0; i < n; ++i)
            fleet.replica((first + i) % Replicas).signal(number);
    };
    signal(SIGSTOP);
    after(length, [signal] { signal(SIGCONT); });
}

void AtMostOnceFixture::restartRouter(std::size_t i, int signal)
{
    if (!m_restarting.insert(i).second)
        return;
    fleet.router(i).signal(SIGCONT);
    fleet.router(i).signal(signal);
    awaitEnd(i);
}

void AtMostOnceFixture::awaitEnd(std::size_t i)
{
    if (fleet.router(i).isRunning())
        return after(50ms, [this, i] { awaitEnd(i); });
    fleet.startRouter(i);
    m_restarting.erase(i);
}

void AtMostOnceFixture::partition(const std::string &how, Duration length)
{
    std::set<std::size_t> routers;
    for (std::size_t i = 0; i < fleet.routerCount(); ++i) {
        if (below(random, 2) == 0)
            routers.insert(i);
    }
    fleet.partition(routers, how, 0, Replicas);
    after(length, [this, how] { fleet.partition({}, how, 0, Replicas); });
}

void AtMostOnceFixture::setReplicaFaults(const std::string &faults, Duration length)
{
    // A replica that stands still accepts no faults.
    for (std::size_t i = 0; i < Replicas; ++i)
        fleet.replica(i).signal(SIGCONT);
    for (std::size_t i = 0; i < Replicas; ++i)
        fleet.setReplicaFaults(i, faults);
    after(length, [this] {
        for (std::size_t i = 0; i < Replicas; ++i)
            fleet.replica(i).signal(SIGCONT);
        for (std::size_t i = 0; i < Replicas; ++i)
            fleet.setReplicaFaults(i, "{}");
    });
}

} // namespace

// Guards against requests that may run at most once and run twice, or run although their callers
// were told that they did not, while routers and replicas stand still, restart and lose each other.
TEST_CASE_FIXTURE(AtMostOnceFixture,
                  "atMostOnce_disturbancesOverlap_nothingRunsTwiceOrAfterRefusal")
{
    constexpr std::uint64_t Seed = 1;
    requireAtMostOnce([this] { disturb(Seed, 10s); });
}

namespace {

/// Two routers with few connections each.
struct ConnectionLimitFixture : AtMostOnceFixture
{
    ConnectionLimitFixture() : AtMostOnceFixture(2, "limits:\n  max_connections: 20\n") { }
};

} // namespace

// Guards against requests on connections beyond the limit that run although their callers were told
// that they did not.
TEST_CASE_FIXTURE(ConnectionLimitFixture,
                  "atMostOnce_routersReachTheirConnectionLimit_nothingRunsAfterRefusal")
{
    constexpr bool UsesNewConnections = true;
    requireAtMostOnce([] { std::this_thread::sleep_for(1s); }, UsesNewConnections);
    CHECK(fleet.routerLog(0).find("\"event\":\"connections_refused\"") != std::string::npos);
}
