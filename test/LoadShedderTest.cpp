#include "Decide/LoadShedder.h"
#include "Base/ManualClock.h"

#include <doctest/doctest.h>

#include <deque>
#include <memory>
#include <vector>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

constexpr Duration Target = 150ms;
constexpr Duration Service = 30ms;
constexpr Duration Tick = 1ms;
constexpr int Slots = 6;
constexpr std::size_t QueueRoom = 40;

/// Counts of the calls by result.
struct Outcome
{
    int onTime = 0;
    int late = 0;
    int refused = 0;

    int total() const { return onTime + late + refused; }
    double onTimeShare() const { return static_cast<double>(onTime) / std::max(1, total()); }
    double refusedShare() const { return static_cast<double>(refused) / std::max(1, total()); }
};

/// Many routers and a few replicas with a number of slots and a queue; calls arrive evenly.
struct LoadShedderFixture
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
    };

    explicit LoadShedderFixture(std::size_t routers = 69)
    {
        for (std::size_t i = 0; i < routers; ++i)
            shedders.push_back(std::make_unique<LoadShedder>(
                    LoadShedder::Options{.clock = clock, .random = seededRandom(i + 1)}));
    }

    Outcome play(double callsPerSecond, Duration length, bool sheds)
    {
        outcome = {};
        const TimePoint end = clock.now() + length;
        double due = 0;
        while (clock.now() < end) {
            clock.advance(Tick);
            finishCalls();
            due += callsPerSecond * toSeconds(Tick);
            for (; due >= 1; --due)
                arrive(sheds);
        }
        return outcome;
    }

    void arrive(bool sheds)
    {
        const std::size_t router = next++ % shedders.size();
        const std::size_t i = next % replicas.size();
        Replica &it = replicas[i];
        if (sheds && !shedders[router]->admits()) {
            ++outcome.refused;
        } else if (it.waiting.size() >= QueueRoom) {
            ++outcome.refused;
            shedders[router]->refused(fmt::format("i-{}", i), replicas.size());
        } else {
            it.waiting.push_back({.came = clock.now(), .ends = {}, .router = router});
        }
        fill(it);
    }

    void fill(Replica &it)
    {
        while (it.running.size() < Slots && !it.waiting.empty()) {
            it.running.push_back(it.waiting.front());
            it.running.back().ends = clock.now() + Service;
            it.waiting.pop_front();
        }
    }

    void finishCalls()
    {
        for (std::size_t i = 0; i < replicas.size(); ++i) {
            Replica &it = replicas[i];
            for (const Call &call : it.running) {
                if (call.ends <= clock.now())
                    answer(i, call);
            }
            std::erase_if(it.running, [&](const Call &call) { return call.ends <= clock.now(); });
            fill(it);
        }
    }

    void answer(std::size_t i, const Call &call)
    {
        const Duration took = clock.now() - call.came;
        ++(took <= Target ? outcome.onTime : outcome.late);
        const Replica &it = replicas[i];
        shedders[call.router]->answered(fmt::format("i-{}", i),
                                        {.running = static_cast<int>(it.running.size()),
                                         .waiting = static_cast<int>(it.waiting.size()),
                                         .slots = Slots},
                                        took, Target, replicas.size());
    }

    ManualClock clock;
    std::vector<std::unique_ptr<LoadShedder>> shedders;
    std::vector<Replica> replicas{1};
    std::size_t next = 0;
    Outcome outcome;
};

} // namespace

TEST_CASE_FIXTURE(LoadShedderFixture, "loadShedder_quarterAboveCapacity_mostCallsAreOnTime")
{
    // One replica of three is left; it is sent 250 calls a second and has a capacity of 200.
    play(250, 5s, false);
    const Outcome without = play(250, 30s, false);
    play(250, 10s, true);
    const Outcome with = play(250, 30s, true);
    MESSAGE("on time: without ", without.onTimeShare(), ", with ", with.onTimeShare());
    CHECK(without.onTimeShare() < 0.1);
    CHECK(with.onTimeShare() > 0.6);
    CHECK(with.onTimeShare() + with.refusedShare() > 0.85);
}

TEST_CASE_FIXTURE(LoadShedderFixture, "loadShedder_threeTimesCapacity_keepsTheServiceBusyAndOnTime")
{
    play(600, 10s, true);
    const Outcome it = play(600, 30s, true);
    const double served = 200 * 30.0;
    CHECK(it.onTime > 0.7 * served);
    CHECK(it.late < 0.25 * served);
}

TEST_CASE_FIXTURE(LoadShedderFixture, "loadShedder_belowCapacity_nothingIsRefused")
{
    const Outcome it = play(185, 30s, true);
    CHECK(it.refused == 0);
    CHECK(it.late == 0);
}

TEST_CASE_FIXTURE(LoadShedderFixture, "loadShedder_overloadEnds_allCallsAreSentWithinThreeSeconds")
{
    play(400, 10s, true);
    play(100, 3s, true);
    const Outcome it = play(100, 5s, true);
    CHECK(it.refused == 0);
}

TEST_CASE_FIXTURE(LoadShedderFixture, "loadShedder_oneOfThreeReplicasIsBusy_nothingIsRefused")
{
    LoadShedder &it = *shedders.front();
    for (int i = 0; i < 100; ++i) {
        clock.advance(10ms);
        it.answered("i-0", {.running = 6, .waiting = 30, .slots = 6}, 180ms, Target, 3);
        it.answered("i-1", {.running = 3, .waiting = 0, .slots = 6}, Service, Target, 3);
        REQUIRE(it.admits());
    }
    CHECK_FALSE(it.isShedding());
}

TEST_CASE_FIXTURE(LoadShedderFixture, "loadShedder_reportsFromOneOfThreeReplicas_nothingIsRefused")
{
    LoadShedder &it = *shedders.front();
    for (int i = 0; i < 20; ++i)
        it.refused("i-0", 3);
    CHECK(it.admits());
    it.refused("i-1", 3);
    CHECK(it.isShedding());
}
