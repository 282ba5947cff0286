#include "Decide/LoadShedder.h"
#include "Base/ManualClock.h"
#include "Decide/WorkspaceShares.h"

#include <doctest/doctest.h>

#include <cmath>
#include <deque>
#include <functional>
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
        std::size_t traffic = 0; ///< Index into the traffics of playMix().
    };
    /// Calls of one rank that arrive at random times.
    struct Traffic
    {
        RequestRank rank;
        double perSecond = 0;
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

    /// Each call arrives at a random router.
    /// \returns the outcome of each traffic.
    std::vector<Outcome> playMix(const std::vector<Traffic> &mix, Duration length)
    {
        outcomes.assign(mix.size(), {});
        const TimePoint end = clock.now() + length;
        while (clock.now() < end) {
            clock.advance(Tick);
            finishCalls();
            for (std::size_t i = 0; i < mix.size(); ++i) {
                for (double due = mix[i].perSecond * toSeconds(Tick); due > 0; --due) {
                    if (uniform(random) < due)
                        arriveAt(below(random, shedders.size()), mix[i].rank, i);
                }
            }
        }
        std::vector<Outcome> result;
        std::swap(result, outcomes);
        return result;
    }

    /// \returns the calls of \a traffic that were on time per second of \a length.
    static double onTimePerSecond(const Outcome &traffic, Duration length)
    {
        return traffic.onTime / toSeconds(length);
    }

    void arriveAt(std::size_t router, RequestRank rank, std::size_t traffic)
    {
        if (rankOf)
            rank = rankOf(router, traffic);
        ++next;
        const std::size_t i = next % replicas.size();
        Replica &it = replicas[i];
        if (!shedders[router]->admits(rank)) {
            ++outcomes[traffic].refused;
        } else if (it.waiting.size() >= queueRoom) {
            ++outcomes[traffic].refused;
            shedders[router]->refused(fmt::format("i-{}", i), replicas.size());
        } else {
            it.waiting.push_back(
                    {.came = clock.now(), .ends = {}, .router = router, .traffic = traffic});
        }
        fill(it);
    }

    void arrive(bool sheds)
    {
        const std::size_t router = next++ % shedders.size();
        const std::size_t i = next % replicas.size();
        Replica &it = replicas[i];
        if (sheds && !shedders[router]->admits({})) {
            ++outcome.refused;
        } else if (it.waiting.size() >= queueRoom) {
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
        Outcome &counts = call.traffic < outcomes.size() ? outcomes[call.traffic] : outcome;
        ++(took <= Target ? counts.onTime : counts.late);
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
    std::size_t queueRoom = 40;
    /// Overrides the rank of a traffic at a router.
    std::function<RequestRank(std::size_t router, std::size_t traffic)> rankOf;
    std::size_t next = 0;
    Outcome outcome;
    std::vector<Outcome> outcomes; ///< By traffic, while playMix() runs.
    RandomSource random = seededRandom(1);
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
        REQUIRE(it.admits({}));
    }
    CHECK_FALSE(it.isShedding());
}

TEST_CASE_FIXTURE(LoadShedderFixture, "loadShedder_reportsFromOneOfThreeReplicas_nothingIsRefused")
{
    LoadShedder &it = *shedders.front();
    for (int i = 0; i < 20; ++i)
        it.refused("i-0", 3);
    CHECK(it.admits({}));
    it.refused("i-1", 3);
    CHECK(it.isShedding());
}

TEST_CASE_FIXTURE(LoadShedderFixture, "loadShedder_oneRank_admitsTheTotalShareOfItsCalls")
{
    // Guards against a change of the calls that are sent where all are equally urgent.
    ManualClock time;
    LoadShedder it({.clock = time, .random = seededRandom(7)});
    RandomSource same = seededRandom(7);
    for (int i = 0; i < 2000; ++i) {
        time.advance(20ms);
        const ReplicaLoad load = {.running = 6, .waiting = i % 5 == 0 ? 40 : 0, .slots = 6};
        it.answered("i-0", load, Target, Target, 1);
        const double share = it.share();
        REQUIRE(it.admits({.priority = 3}) == (share >= 1 || uniform(same) < share));
    }
}

TEST_CASE_FIXTURE(LoadShedderFixture, "loadShedder_twoPriorities_urgentCallsAreOnTime")
{
    // One replica with a capacity of 200 calls a second could complete the urgent ones alone.
    const std::vector<Traffic> mix = {{{.priority = 0}, 100}, {{.priority = 2}, 200}};
    playMix(mix, 10s);
    const std::vector<Outcome> it = playMix(mix, 60s);
    MESSAGE("on time: urgent ", it[0].onTimeShare(), ", others ", it[1].onTimeShare());
    CHECK(it[0].onTimeShare() >= 0.9);
    // The remaining capacity goes to the others.
    CHECK(it[1].onTimeShare() > 0.3);
    CHECK(it[0].onTime + it[1].onTime > 0.75 * 200 * 60);
}

TEST_CASE_FIXTURE(LoadShedderFixture, "loadShedder_threeTimesCapacity_urgentCallsAreServedFirst")
{
    // Guards against refusing all ranks alike.
    const std::vector<Traffic> mix = {
            {{.priority = 0}, 100}, {{.priority = 1}, 100}, {{.priority = 2}, 400}};
    playMix(mix, 10s);
    const std::vector<Outcome> it = playMix(mix, 4min);
    MESSAGE("on time: ", it[0].onTimeShare(), ", ", it[1].onTimeShare(), ", ", it[2].onTimeShare());
    CHECK(it[0].onTimeShare() >= 0.9);
    CHECK(it[0].onTimeShare() > it[1].onTimeShare());
    CHECK(it[1].onTimeShare() > it[2].onTimeShare());
    // No rank is starved.
    CHECK(it[2].onTimeShare() > 0.03);
}

TEST_CASE_FIXTURE(LoadShedderFixture, "loadShedder_threeReplicas_urgentCallsAreServedFirst")
{
    // The plain service of the first deployment, with a capacity of 600 calls a second, gets three
    // times as many. Guards against refusing urgent calls if the replicas' reports differ.
    replicas.resize(3);
    queueRoom = 24;
    const std::vector<Traffic> mix = {
            {{.priority = 0}, 300}, {{.priority = 1}, 300}, {{.priority = 2}, 1200}};
    playMix(mix, 10s);
    const std::vector<Outcome> it = playMix(mix, 30s);
    MESSAGE("on time: ", it[0].onTimeShare(), ", ", it[1].onTimeShare(), ", ", it[2].onTimeShare());
    CHECK(it[0].onTimeShare() >= 0.9);
    CHECK(it[1].onTimeShare() > it[2].onTimeShare());
    CHECK(it[2].onTimeShare() > 0.03);
    CHECK(it[0].onTime + it[1].onTime + it[2].onTime > 0.9 * 600 * 30);
}

TEST_CASE_FIXTURE(LoadShedderFixture, "loadShedder_overShareCalls_takeNothingFromTheOthers")
{
    // One workspace sends many times its usual: urgent calls, but beyond its share.
    const std::vector<Traffic> mix = {{{.priority = 0}, 60},
                                      {{.priority = 1}, 60},
                                      {{.priority = 0, .overShare = true}, 180}};
    playMix(mix, 10s);
    const std::vector<Outcome> it = playMix(mix, 60s);
    MESSAGE("on time: ", it[0].onTimeShare(), ", ", it[1].onTimeShare(), ", over the share ",
            it[2].onTimeShare());
    CHECK(it[0].onTimeShare() >= 0.9);
    CHECK(it[1].onTimeShare() >= 0.9);
    CHECK(it[2].onTimeShare() < 0.6);
}

TEST_CASE_FIXTURE(LoadShedderFixture,
                  "loadShedder_surgeOfLessUrgentCalls_doesNotDisplaceUrgentOnes")
{
    // Guards against a distribution by a mix of ranks that is out of date when the surge begins.
    playMix({{{.priority = 0}, 100}, {{.priority = 2}, 40}}, 30s);
    const std::vector<Outcome> it = playMix({{{.priority = 0}, 100}, {{.priority = 2}, 240}}, 10s);
    CHECK(it[0].refusedShare() < 0.1);
    CHECK(it[0].onTimeShare() > it[1].onTimeShare());
}

TEST_CASE_FIXTURE(LoadShedderFixture, "loadShedder_onlyUrgentCallsFitIn_everyRankKeepsASmallShare")
{
    LoadShedder &it = *shedders.front();
    std::vector<Outcome> counts(3);
    for (int i = 0; i < 30'000; ++i) {
        clock.advance(10ms);
        it.refused("i-0", 1); // The share is the smallest one, 0.2.
        const std::size_t rank = i % 3;
        const bool admitted = it.admits({.priority = static_cast<int>(rank)});
        ++(admitted ? counts[rank].onTime : counts[rank].refused);
    }
    CHECK(counts[0].onTimeShare() > 0.45);
    CHECK(counts[1].onTimeShare() > 0.04);
    CHECK(counts[1].onTimeShare() < 0.06);
    CHECK(counts[2].onTimeShare() > 0.04);
    CHECK(counts[2].onTimeShare() < 0.06);
    const int admitted = counts[0].onTime + counts[1].onTime + counts[2].onTime;
    CHECK(admitted > 0.19 * 30'000);
    CHECK(admitted < 0.21 * 30'000);
}

TEST_CASE_FIXTURE(LoadShedderFixture, "loadShedder_urgentCallsEnd_theOthersGetTheirShare")
{
    // Guards against room that stays reserved for calls that no longer come.
    playMix({{{.priority = 0}, 150}, {{.priority = 2}, 250}}, 20s);
    playMix({{{.priority = 2}, 250}}, 20s);
    const std::vector<Outcome> it = playMix({{{.priority = 2}, 250}}, 30s);
    CHECK(it[0].onTimeShare() > 0.6);
}

TEST_CASE_FIXTURE(LoadShedderFixture, "loadShedder_overloadOfSeveralRanksEnds_allCallsAreSent")
{
    playMix({{{.priority = 0}, 100},
             {{.priority = 2}, 200},
             {{.priority = 0, .overShare = true}, 200}},
            20s);
    const std::vector<Traffic> usual = {{{.priority = 0}, 50}, {{.priority = 2}, 50}};
    playMix(usual, 2s);
    const std::vector<Outcome> it = playMix(usual, 10s);
    CHECK(it[0].refused == 0);
    CHECK(it[1].refused == 0);
    CHECK(it[0].late + it[1].late == 0);
}

TEST_CASE_FIXTURE(LoadShedderFixture, "loadShedder_severalRanksBelowCapacity_nothingIsRefused")
{
    const std::vector<Outcome> it = playMix({{{.priority = 0}, 50},
                                             {{.priority = 1}, 50},
                                             {{.priority = 2, .overShare = true}, 30}},
                                            60s);
    for (const Outcome &rank : it)
        CHECK(rank.refused == 0);
}

TEST_CASE_FIXTURE(LoadShedderFixture, "loadShedder_refusedCallers_retryAtTimesThatAreSpread")
{
    LoadShedder &it = *shedders.front();
    const auto mean = [&](Duration remaining) {
        Duration sum = 0ms;
        Duration least = Duration::max();
        Duration most = 0ms;
        for (int i = 0; i < 1000; ++i) {
            const Duration after = it.retryAfter(remaining);
            sum += after;
            least = std::min(least, after);
            most = std::max(most, after);
        }
        CHECK(least > 0ms);
        CHECK(most <= remaining / 3);
        CHECK(most > 2 * least);
        return sum / 1000;
    };
    it.refused("i-0", 1);
    const Duration mostAreSent = mean(2500ms);
    for (int i = 0; i < 10; ++i)
        it.refused("i-0", 1);
    const Duration fewAreSent = mean(2500ms);
    CHECK(fewAreSent > mostAreSent + 50ms);
    CHECK(mean(300ms) < fewAreSent);
    CHECK(mean(1h) <= 5s);
    CHECK(it.retryAfter(0ms) == 0ms);
    CHECK(it.retryAfter(-1s) == 0ms);
}

TEST_CASE_FIXTURE(LoadShedderFixture, "loadShedder_surgeOfOneWorkspace_theOthersAreServedAsBefore")
{
    // The plain service of the first deployment, with 245 calls a second, loses one of its three
    // replicas, and one of 24 workspaces sends eight times its usual: twice the capacity. Guards
    // against refusing the calls of all workspaces alike. Each of the 69 routers gets four calls a
    // second, so it takes some seconds until all have recognised the surge.
    replicas.resize(3);
    queueRoom = 24;
    std::vector<std::unique_ptr<WorkspaceShares>> shares;
    for (std::size_t i = 0; i < shedders.size(); ++i)
        shares.push_back(
                std::make_unique<WorkspaceShares>(WorkspaceShares::Options{.clock = clock}));
    std::vector<Traffic> mix(24);
    for (std::size_t i = 0; i < mix.size(); ++i)
        mix[i].perSecond = 83 * std::pow(i + 1, -1.2);
    rankOf = [&](std::size_t router, std::size_t workspace) {
        const bool isOver = shares[router]->count(fmt::format("workspace-{}", workspace),
                                                  shedders[router]->isShedding());
        return RequestRank{.priority = 1, .overShare = isOver};
    };
    const auto others = [](const std::vector<Outcome> &traffics) {
        Outcome sum;
        for (std::size_t i = 1; i < traffics.size(); ++i) {
            sum.onTime += traffics[i].onTime;
            sum.late += traffics[i].late;
            sum.refused += traffics[i].refused;
        }
        return sum;
    };
    const std::vector<Outcome> before = playMix(mix, 2min);
    CHECK(before[0].refused + others(before).refused == 0);
    mix[0].perSecond *= 8;
    replicas.resize(2);
    playMix(mix, 10s);
    const std::vector<Outcome> surge = playMix(mix, 1min);
    MESSAGE("on time: others ", others(surge).onTimeShare(), ", surging ", surge[0].onTimeShare());
    CHECK(others(surge).onTimeShare() >= 0.9);
    // The surging workspace keeps its usual calls.
    CHECK(surge[0].onTime > 0.9 * 83 * 60);
    mix[0].perSecond /= 8;
    playMix(mix, 3s);
    const std::vector<Outcome> after = playMix(mix, 10s);
    CHECK(after[0].refused + others(after).refused == 0);
}

// Guards against a service that counts as overloaded for as long as it gets no more calls, although
// prompts to it may go on.
TEST_CASE("loadShedder_callsStopDuringOverload_isNoLongerShedding")
{
    ManualClock clock;
    LoadShedder shedder({.clock = clock, .random = seededRandom(1)});
    shedder.refused("r", 1);
    CHECK(shedder.isShedding());
    CHECK(shedder.share() < 1);
    clock.advance(3s);
    CHECK_FALSE(shedder.isShedding());
    CHECK(shedder.share() == 1);
}
