#include "../../soak/SoakPlan.h"

#include "Base/Hash.h"

#include <doctest/doctest.h>

#include <map>
#include <vector>

#include <fmt/format.h>

using namespace catkinloft;
using namespace catkinloft::soak;
using namespace std::chrono_literals;

namespace {

constexpr Duration Length = 10s;

std::string describe(const std::vector<Fault> &plan)
{
    std::string out;
    for (const Fault &it : plan)
        out += fmt::format("{} {} {} {}\n", faultName(it.kind), it.at / 1ms, it.length / 1ms,
                           it.target);
    return out;
}

} // namespace

// Guards against a change that makes recorded seeds replay other faults. The expected value is that
// of the release before overloads were added.
TEST_CASE("soakPlan_levelsBeforeOverload_planIsUnchanged")
{
    constexpr std::uint64_t Seed = 404;
    const std::string all = describe(drawFaults(seededRandom(Seed), Length, 4, 6))
            + describe(drawReplicaFaults(seededRandom(Seed), Length, 3))
            + describe(drawDomainFaults(seededRandom(Seed), Length, 6))
            + describe(drawStoreRestores(seededRandom(Seed), Length))
            + describe(drawPartitions(seededRandom(Seed), Length, 4))
            + describe(drawVersionChanges(seededRandom(Seed), Length, 6));
    INFO(all);
    CHECK(hash64(all) == 0xd7e7352fdfe6c4b3);
}

// Guards against a plan whose overloads are too short or too weak to fill the replicas.
TEST_CASE("soakPlan_overloads_oneAmongTheFaultsAndOneAfterThem")
{
    constexpr Duration AloneAt = 30s;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        const std::vector<Fault> plan = drawOverloads(seededRandom(seed), Length, AloneAt, 4);
        REQUIRE(plan.size() == 2);
        CHECK(plan[0].at >= 1s);
        CHECK(plan[0].at < Length);
        CHECK(plan[1].at == AloneAt);
        for (const Fault &it : plan) {
            CHECK(faultName(it.kind) == "overload");
            CHECK(it.length >= 1s);
            CHECK(it.length <= 3s);
            CHECK(it.load >= 2);
            CHECK(it.target < 4);
        }
    }
}

// Guards against pauses that are too short to expire the routers' timeouts, spare most replicas, or
// lack the change of the configuration before them.
TEST_CASE("soakPlan_replicasPauses_mostReplicasAfterAChangeOfTheConfiguration")
{
    constexpr std::size_t Replicas = 6;
    std::size_t all = 0;
    std::size_t besideRouterPause = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        const std::vector<Fault> plan = drawReplicasPauses(seededRandom(seed), Length, 4, Replicas);
        TimePoint changedAt = {};
        std::size_t pauses = 0;
        for (const Fault &it : plan) {
            if (it.kind == FaultKind::ConfigChange)
                changedAt = TimePoint(it.at);
            if (it.kind == FaultKind::RouterPause)
                ++besideRouterPause;
            if (it.kind != FaultKind::ReplicasPause)
                continue;
            ++pauses;
            all += it.count == Replicas ? 1 : 0;
            CHECK(faultName(it.kind) == "replicas_pause");
            CHECK(TimePoint(it.at) - changedAt >= 400ms);
            CHECK(TimePoint(it.at) - changedAt <= 700ms);
            CHECK(it.length >= 1s);
            CHECK(it.length <= 1300ms);
            CHECK(it.target < Replicas);
            CHECK(it.count <= Replicas);
            CHECK(it.count > Replicas / 2);
        }
        CHECK(pauses >= 2);
    }
    CHECK(all > 0);
    CHECK(besideRouterPause > 0);
}

// Guards against plans in which no request can meet the copy of its own refusal: a former replica
// must be registered at the address of a replica that sends copies, while it sends them.
TEST_CASE("soakPlan_refusalCopies_mostBesideARegistrationOfAFormerReplica")
{
    std::size_t copies = 0;
    std::size_t registrations = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        Fault period;
        for (const Fault &it : drawRefusalCopies(seededRandom(seed), Length, 6)) {
            CHECK(it.target < 6);
            if (it.kind == FaultKind::ReplicaCopiesRefusals) {
                ++copies;
                period = it;
                CHECK(faultName(it.kind) == "replica_copies_refusals");
                CHECK(it.at >= 500ms);
                CHECK(it.at < Length);
                CHECK(it.length >= 3s);
                continue;
            }
            ++registrations;
            CHECK(faultName(it.kind) == "former_replica_registered");
            CHECK(it.target == period.target);
            CHECK(it.at >= period.at);
            CHECK(it.at + it.length > period.at + 1s);
            CHECK(it.at + 1s <= period.at + period.length);
        }
    }
    CHECK(copies == 400);
    CHECK(registrations > 200);
    CHECK(registrations < copies);
}

// Guards against plans whose signals and configurations come one by one, that stop a router before
// it has answered anything, or whose crowds meet different routers.
TEST_CASE("soakPlan_plannedWork_seriesOverlapAndCrowdsMeetOneRouter")
{
    std::size_t overlapping = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        std::map<FaultKind, std::vector<Fault>> byKind;
        for (const Fault &it : drawPlannedWork(seededRandom(seed), Length, 4)) {
            CHECK(it.at >= 500ms);
            CHECK(it.target < 4);
            CHECK(faultName(it.kind) != "unknown");
            byKind[it.kind].push_back(it);
        }
        const std::vector<Fault> &stops = byKind[FaultKind::RouterTerm];
        REQUIRE(stops.size() >= 4);
        for (std::size_t i = 1; i < stops.size(); ++i) {
            CHECK(stops[i].target == (stops[i - 1].target + 1) % 4);
            overlapping += stops[i].at - stops[i - 1].at < 2s ? 1 : 0;
        }
        const std::vector<Fault> &crowds = byKind[FaultKind::HalfBodyCrowd];
        REQUIRE(crowds.size() == 3);
        for (const Fault &it : crowds)
            CHECK(it.target == crowds[0].target);
        CHECK(crowds[2].at > crowds[1].at + crowds[1].length);
        CHECK(byKind[FaultKind::RouterHup].size() + byKind[FaultKind::IdleTimeoutChange].size()
                      + byKind[FaultKind::ConfigChange].size()
              >= 8);
    }
    CHECK(overlapping > 300);
}

// Guards against checks for an overload without other faults that are applied beside other faults,
// and against a phase that counts itself as another fault, so that they would never be applied.
TEST_CASE("soakPlan_overloadBesideOtherFaults_isAloneOnlyIfTheyAreFarAway")
{
    const Fault overload{.kind = FaultKind::Overload, .at = 20s, .length = 2s};
    const auto isAloneBeside = [&](Duration at, Duration length) {
        const Fault other{.kind = FaultKind::StoreDown, .at = at, .length = length};
        return isAlone(overload, {other, overload}, 10s, 5s);
    };
    CHECK(isAlone(overload, {overload}, 10s, 5s));
    CHECK(isAloneBeside(5s, 4s));
    CHECK(isAloneBeside(28s, 1s));
    CHECK_FALSE(isAloneBeside(5s, 6s));
    CHECK_FALSE(isAloneBeside(12s, 0s));
    CHECK_FALSE(isAloneBeside(21s, 0s));
    CHECK_FALSE(isAloneBeside(5s, 30s));
    CHECK_FALSE(isAloneBeside(26s, 1s));
    const Fault another{.kind = FaultKind::Overload, .at = 25s, .length = 1s};
    CHECK_FALSE(isAlone(overload, {overload, another}, 10s, 5s));
}

// Guards against retry storms that are too short to use up a budget, spare replicas of a service,
// or exceed the fleet.
TEST_CASE("soakPlan_retryStorms_everyReplicaOfAServiceFails")
{
    std::map<std::string_view, std::size_t> kinds;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        const RetryStormSetup setup = drawRetryStormSetup(seededRandom(~seed));
        CHECK(setup.routers >= 3);
        CHECK(setup.routers <= 9);
        for (const Fault &it : drawRetryStorms(seededRandom(seed), Length, setup)) {
            ++kinds[faultName(it.kind)];
            CHECK(mayAccompanyRetryStorms(it.kind));
            if (it.kind == FaultKind::RouterKill)
                CHECK(it.target < setup.routers);
            if (it.kind == FaultKind::PathsStall)
                CHECK(it.firstRouter < setup.routers);
            if (it.kind == FaultKind::PathsStall || it.kind == FaultKind::ServiceFails)
                CHECK(it.target + it.count <= 2 * setup.replicas);
            if (it.kind != FaultKind::ServiceFails)
                continue;
            CHECK(it.count == setup.replicas);
            CHECK(it.length >= 4s);
            CHECK_FALSE(it.faults.empty());
        }
    }
    CHECK(kinds["service_fails"] == 400);
    for (const char *it :
         {"router_kill", "router_pause", "paths_stall", "replicas_pause", "store_down"})
        CHECK(kinds[it] >= 20);
}
