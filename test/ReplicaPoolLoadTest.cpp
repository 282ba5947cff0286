#include "Base/ManualClock.h"
#include "Decide/ReplicaPool.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

std::vector<ReplicaRecord> replicas(std::size_t n, int slots)
{
    std::vector<ReplicaRecord> out;
    for (std::size_t i = 0; i < n; ++i)
        out.push_back({.id = fmt::format("i-{}", i),
                       .service = "svc",
                       .address = fmt::format("10.0.0.{}:80", i),
                       .failureDomain = fmt::format("d{}", i % 3),
                       .slots = slots});
    return out;
}

/// Routers that exchange their counts as in production: each sends a heartbeat every 400 ms to 26
/// others.
struct RouterFleet
{
    RouterFleet(const Clock &time, std::size_t n, const std::vector<ReplicaRecord> &list,
                bool isEngine, bool byTime)
        : clock(time), next(n)
    {
        for (std::size_t i = 0; i < n; ++i) {
            pools.push_back(std::make_unique<ReplicaPool>(
                    ReplicaPool::Options{.clock = time,
                                         .random = seededRandom(i + 1),
                                         .failureDomain = fmt::format("d{}", i % 3),
                                         .isEngine = isEngine,
                                         .mechanisms = {.expectedTimePlacement = byTime}}));
            pools.back()->setReplicas(list);
        }
    }

    /// Sends the heartbeats that are due in millisecond \a ms.
    void sendHeartbeats(std::int64_t ms)
    {
        for (std::size_t i = 0; i < pools.size(); ++i) {
            if ((ms + static_cast<std::int64_t>(i) * 37) % 400 != 0)
                continue;
            for (int n = 0; n < 26; ++n) {
                const std::size_t to = next[i]++ % pools.size();
                if (to != i)
                    pools[to]->applyStatusUpdate(fmt::format("r{}", i), pools[i]->ownStatusUpdate(),
                                                 clock.now());
            }
        }
    }

    const Clock &clock;
    std::vector<std::unique_ptr<ReplicaPool>> pools;
    std::vector<std::size_t> next;
};

/// 76 routers and a plain service of three replicas with six slots and a queue of 24 calls. One of
/// the replicas, a different one every 600 ms, takes 2.5 times as long for the calls that it
/// begins.
struct SlowPhasesFixture
{
    struct Call
    {
        TimePoint came;
        TimePoint ends;
        std::size_t router = 0;
    };
    struct Replica
    {
        std::vector<Call> running;
        std::deque<Call> waiting;
        double pace = 1;
        int received = 0;
    };

    explicit SlowPhasesFixture(bool byTime = true)
        : fleet(clock, Routers, replicas(Replicas, Slots), false, byTime)
    { }

    /// \returns the share of the calls sent during \a length that were answered within 150 ms.
    double play(double callsPerSecond, Duration length)
    {
        run(0, 1s);
        calls = 0;
        onTime = 0;
        for (Replica &it : list)
            it.received = 0;
        run(callsPerSecond, length);
        run(0, 1s);
        return static_cast<double>(onTime) / std::max(1, calls);
    }

    void run(double callsPerSecond, Duration length)
    {
        for (const TimePoint end = clock.now() + length; clock.now() < end; ++ms) {
            clock.advance(1ms);
            if (changesPace && ms % 600 == 0) {
                for (Replica &it : list)
                    it.pace = 1;
                list[paceRandom() % Replicas].pace = 2.5;
            }
            for (std::size_t i = 0; i < Replicas; ++i)
                work(i);
            fleet.sendHeartbeats(ms);
            if (uniform(random) < callsPerSecond / 1000)
                send(random() % Routers);
        }
    }

    void send(std::size_t router)
    {
        ++calls;
        ReplicaPool &pool = *fleet.pools[router];
        const std::string id = pool.choose({}).replica->id;
        Replica &it = list[static_cast<std::size_t>(id.back() - '0')];
        ++it.received;
        if (it.waiting.size() >= QueueRoom)
            return;
        pool.started(id);
        it.waiting.push_back({.came = clock.now(), .ends = {}, .router = router});
    }

    void work(std::size_t i)
    {
        Replica &it = list[i];
        std::vector<Call> ended;
        std::erase_if(it.running, [&](const Call &call) {
            const bool ends = call.ends <= clock.now();
            if (ends)
                ended.push_back(call);
            return ends;
        });
        while (it.running.size() < Slots && !it.waiting.empty()) {
            it.running.push_back(it.waiting.front());
            it.running.back().ends = clock.now() + scaled(Service, it.pace);
            it.waiting.pop_front();
        }
        for (const Call &call : ended) {
            const Duration took = clock.now() - call.came;
            onTime += took <= 150ms ? 1 : 0;
            const std::string id = fmt::format("i-{}", i);
            ReplicaPool &pool = *fleet.pools[call.router];
            if (reports)
                pool.loadReported(id,
                                  {.running = static_cast<int>(it.running.size()),
                                   .waiting = static_cast<int>(it.waiting.size()),
                                   .slots = Slots,
                                   .pace = it.pace});
            pool.finished(id, {.succeeded = true, .total = took});
        }
    }

    static constexpr std::size_t Routers = 76;
    static constexpr std::size_t Replicas = 3;
    static constexpr int Slots = 6;
    static constexpr std::size_t QueueRoom = 24;
    static constexpr Duration Service = 30ms;

    ManualClock clock;
    RandomSource random = seededRandom(17);
    RandomSource paceRandom = seededRandom(18);
    RouterFleet fleet;
    std::array<Replica, Replicas> list;
    std::int64_t ms = 0;
    bool changesPace = true;
    bool reports = true;
    int calls = 0;
    int onTime = 0;
};

/// 24 routers and 48 engines, of which every third may be slower. Chats of 24 workspaces share the
/// first part of their prompts. Engines cache what they have read; a router announces its prompts
/// at once.
struct SlowEnginesFixture
{
    struct Run
    {
        std::size_t router = 0;
        std::size_t engine = 0;
    };

    explicit SlowEnginesFixture(bool byTime = true, int slotsPerEngine = 16)
        : fleet(clock, Routers, replicas(Engines, slotsPerEngine), true, byTime),
          slots(slotsPerEngine)
    { }

    bool isSlow(std::size_t engine) const { return engine % 3 == 0; }

    void play(double promptsPerSecond, Duration length)
    {
        for (const TimePoint end = clock.now() + length; clock.now() < end; ++ms) {
            clock.advance(1ms);
            while (!running.empty() && running.begin()->first <= clock.now()) {
                finish(running.begin()->second);
                running.erase(running.begin());
            }
            fleet.sendHeartbeats(ms);
            if (uniform(random) < promptsPerSecond / 1000)
                send(random() % Routers);
        }
    }

    void send(std::size_t router)
    {
        const std::uint64_t workspace = random() % workspaces + 1;
        const std::vector<PromptPart> prompt = {{workspace, 10'512},
                                                {200'000 + random() / 2, 1300}};
        const std::string id = fleet.pools[router]->choose({.prompt = prompt}).replica->id;
        chosen.push_back(id);
        const auto engine = static_cast<std::size_t>(std::stoi(id.substr(2)));
        const bool othersFree = std::any_of(load.begin(), load.end(),
                                            [this](const auto &it) { return it < slots; });
        sentToFull += load[engine] >= slots && othersFree ? 1 : 0;
        double total = 0;
        for (const int it : load)
            total += it;
        ++load[engine];
        overLimit += load[engine] > 2 * total / Engines + 3 ? 1 : 0;
        ++received[engine];
        if (cached.emplace(engine, workspace).second)
            tokensRead += 10'512;
        for (std::size_t i = 0; i < Routers; ++i) {
            if (i != router)
                fleet.pools[i]->notePrompt(id, std::vector{workspace});
        }
        fleet.pools[router]->started(id, prompt);
        const double speed = isSlow(engine) ? slowness : 1;
        running.emplace(clock.now() + scaled(streamLength, speed * (0.7 + 0.6 * uniform(random))),
                        Run{router, engine});
    }

    void finish(const Run &it)
    {
        --load[it.engine];
        ReplicaPool &pool = *fleet.pools[it.router];
        const std::string id = fmt::format("i-{}", it.engine);
        const double speed = isSlow(it.engine) ? slowness : 1;
        pool.eventTimeObserved(id,
                               scaled(33ms, speed * (1 + noise * (2 * uniform(timeRandom) - 1))));
        pool.finished(id, {.succeeded = true, .total = streamLength});
    }

    /// \returns the mean number of prompts sent to each slow engine, or to each usual one.
    double receivedBy(bool slow) const
    {
        double out = 0;
        for (std::size_t i = 0; i < Engines; ++i)
            out += isSlow(i) == slow ? received[i] : 0;
        return out / static_cast<double>(slow ? Engines / 3 : Engines - Engines / 3);
    }

    static constexpr std::size_t Routers = 24;
    static constexpr std::size_t Engines = 48;

    ManualClock clock;
    RandomSource random = seededRandom(7);
    RandomSource timeRandom = seededRandom(8);
    RouterFleet fleet;
    int slots;
    std::uint64_t workspaces = 24;
    double slowness = 1.3;
    double noise = 0.2; ///< Relative variation of the time of an event.
    Duration streamLength = 1s;
    std::int64_t ms = 0;
    std::multimap<TimePoint, Run> running;
    std::array<int, Engines> load = {};
    std::array<int, Engines> received = {};
    std::set<std::pair<std::size_t, std::uint64_t>> cached;
    std::vector<std::string> chosen;
    double tokensRead = 0;
    int sentToFull = 0;
    int overLimit = 0;
};

} // namespace

// Load: 250 and 400 of 600 calls a second that the replicas could answer if none was slow.
TEST_CASE("replicaPool_plainReplicasSlowInTurn_moreCallsAreOnTime")
{
    for (const double rate : {250.0, 400.0}) {
        SlowPhasesFixture without(false);
        SlowPhasesFixture with;
        const double before = without.play(rate, 60s);
        const double after = with.play(rate, 60s);
        MESSAGE(rate, " calls a second, on time: without ", before, ", with ", after);
        CHECK(1 - after < (1 - before) * 2 / 3);
        for (const SlowPhasesFixture::Replica &it : with.list)
            CHECK(it.received > with.calls / 5);
    }
}

// Guards against a worse distribution among equal replicas than by the counts alone.
TEST_CASE("replicaPool_plainReplicasAreEqual_allCallsAreOnTime")
{
    for (const double rate : {150.0, 300.0, 450.0}) {
        SlowPhasesFixture with;
        with.changesPace = false;
        CHECK(with.play(rate, 30s) > 0.995);
    }
}

// Load: one replica of three is always two times slower and none reports its load, 400 of 500 calls
// a second.
TEST_CASE("replicaPool_silentPlainReplicaAlwaysSlower_getsFewerCalls")
{
    SlowPhasesFixture with;
    with.changesPace = false;
    with.reports = false;
    with.list[0].pace = 2;
    with.play(400, 10s);
    CHECK(with.play(400, 30s) > 0.9);
    MESSAGE("calls by replica: ", with.list[0].received, ", ", with.list[1].received, ", ",
            with.list[2].received);
    CHECK(with.list[0].received < with.list[1].received);
    CHECK(with.list[0].received < with.list[2].received);
    CHECK(with.list[0].received > with.calls / 20);
}

// Guards against routers that received the same reports and all choose the same replica.
TEST_CASE("replicaPool_routersWithTheSameReports_doNotChooseTheSameReplica")
{
    ManualClock clock;
    RouterFleet fleet(clock, 76, replicas(3, 6), false, true);
    std::map<std::string, int> n;
    for (const auto &it : fleet.pools) {
        it->loadReported("i-0", {.running = 2, .slots = 6});
        it->loadReported("i-1", {.running = 3, .slots = 6});
        it->loadReported("i-2", {.running = 3, .slots = 6, .pace = 1.5});
        for (int i = 0; i < 20; ++i)
            ++n[it->choose({}).replica->id];
    }
    MESSAGE("chosen: ", n["i-0"], ", ", n["i-1"], ", ", n["i-2"]);
    CHECK(n["i-0"] < 0.75 * 76 * 20);
    CHECK(n["i-0"] > n["i-1"]);
    CHECK(n["i-1"] > n["i-2"]);
    CHECK(n["i-2"] > 0.03 * 76 * 20);
}

// Load: 240 prompts a second, about five for each engine, which has 16 slots. Guards against
// engines that are slower and get as many requests as others, so that their streams take longer,
// and against loading the others with everything.
TEST_CASE("replicaPool_everyThirdEngineSlower_getsASmallerShare")
{
    for (const std::uint64_t workspaces : {24U, 100'000U}) {
        SlowEnginesFixture without(false);
        SlowEnginesFixture with;
        for (SlowEnginesFixture *it : {&without, &with}) {
            it->workspaces = workspaces;
            it->play(240, 90s); // The speeds are learned within this time.
            it->received = {};
            it->overLimit = 0;
            it->play(240, 30s);
        }
        MESSAGE("prompts by slow and usual engine: without ", without.receivedBy(true), ", ",
                without.receivedBy(false), ", with ", with.receivedBy(true), ", ",
                with.receivedBy(false), ", read ", without.tokensRead, ", ", with.tokensRead);
        // Prompts of few workspaces stay where their first part has been read.
        if (workspaces > 1000)
            CHECK(with.receivedBy(true) * 1.3 < with.receivedBy(false));
        CHECK(with.receivedBy(true) > 0.3 * with.receivedBy(false));
        CHECK(with.receivedBy(true) < without.receivedBy(true));
        CHECK(with.tokensRead <= 1.1 * without.tokensRead);
        CHECK(with.overLimit <= 0.03 * 240 * 30);
    }
}

// Guards against a different placement among equal engines.
TEST_CASE("replicaPool_enginesAreEqual_areChosenAsWithoutSpeeds")
{
    SlowEnginesFixture without(false);
    SlowEnginesFixture with;
    for (SlowEnginesFixture *it : {&without, &with}) {
        it->slowness = 1;
        it->noise = 0.15;
        it->play(150, 120s);
    }
    REQUIRE(without.chosen.size() == with.chosen.size());
    CHECK(without.chosen == with.chosen);
}

// Load: engines with four slots, of which three fifths are taken on average.
TEST_CASE("replicaPool_enginesNearlyFull_fewerPromptsWaitForASlot")
{
    SlowEnginesFixture without(false, 4);
    SlowEnginesFixture with(true, 4);
    for (SlowEnginesFixture *it : {&without, &with}) {
        it->slowness = 1;
        it->play(0.6 * 4 * 48, 40s);
    }
    MESSAGE("sent to full engines of ", with.chosen.size(), ": without ", without.sentToFull,
            ", with ", with.sentToFull);
    CHECK(with.sentToFull < 0.7 * without.sentToFull);
}
