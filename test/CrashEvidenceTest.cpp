#include "Net/CrashEvidence.h"
#include "Base/ManualClock.h"
#include "Net/ServicePools.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// Four routers and the replicas i-0, i-1 and so on of a service. Each router is asked by all
/// others; a replica that is down or whose path is cut refuses connections.
struct EvidenceFixture
{
    struct Router
    {
        explicit Router(const Clock &clock) : pools(clock, seededRandom(1), settings) { }

        EntrySettings settings;
        ServicePools pools;
        std::set<std::string> cut; ///< Replicas to which its paths are cut.
        bool isReady = true; ///< Whether the others ask it.
        std::unique_ptr<CrashEvidence> evidence;
        std::size_t connections = 0;
    };

    EvidenceFixture()
    {
        for (std::uint64_t i = 0; i < 4; ++i) {
            Router &it = *routers.emplace_back(std::make_unique<Router>(clock));
            it.evidence = std::make_unique<CrashEvidence>(CrashEvidence::Options{
                    .clock = clock,
                    .pools = it.pools,
                    .random = seededRandom(i),
                    .connect =
                            [this, &it](const ReplicaRecord &replica,
                                        const std::function<void(bool)> &done) {
                                ++it.connections;
                                done(reaches(it, replica.incarnation()));
                            },
                    .hasRouters = [this, &it](const std::string &) { return hasOthers(it); },
                    .askRouters =
                            [this, &it](const std::string &, const std::string &id,
                                        const std::function<void(RelayClient::PathState)> &done) {
                                done(ask(it, id));
                            }});
        }
    }

    void setReplicas(std::size_t n, const std::string &service = "svc")
    {
        for (std::size_t i = 0; i < n; ++i)
            records.push_back({.id = fmt::format("i-{}", records.size()), .service = service});
        for (const auto &it : routers) {
            it->pools.of(service);
            it->pools.setReplicas(records);
        }
    }

    bool reaches(const Router &it, const std::string &id) const
    {
        return !down.contains(id) && !it.cut.contains(id);
    }

    bool hasOthers(const Router &asking) const
    {
        return std::any_of(routers.begin(), routers.end(),
                           [&](const auto &it) { return it.get() != &asking && it->isReady; });
    }

    /// What the other routers answer, as RelayServer does.
    RelayClient::PathState ask(const Router &asking, const std::string &id)
    {
        if (crashedBefore.contains(id))
            return RelayClient::PathState::CrashedBefore;
        RelayClient::PathState out = RelayClient::PathState::Unknown;
        for (const auto &it : routers) {
            if (it.get() == &asking || !it->isReady)
                continue;
            if (reaches(*it, id))
                return RelayClient::PathState::Reached;
            it->evidence->checkPaths(id, [&](bool working) {
                if (working)
                    out = RelayClient::PathState::Refused;
            });
        }
        return out;
    }

    /// Router \a router finds that replica \a id refuses connections.
    /// \returns whether it counts as crashed.
    bool isCrash(std::size_t router, const std::string &id)
    {
        finding.reset();
        isUnreached = false;
        routers[router]->evidence->confirm(
                id, [&](CrashWatch::Finding it) { finding = it; }, [&] { isUnreached = true; });
        REQUIRE(finding.has_value());
        const bool crashed = *finding == CrashWatch::Finding::Crashed;
        if (crashed) {
            for (const auto &it : routers)
                it->pools.noteCrashed(id, 3s);
        }
        return crashed;
    }

    void cut(std::size_t router, std::size_t first, std::size_t last)
    {
        for (std::size_t i = first; i < last; ++i)
            routers[router]->cut.insert(records[i].incarnation());
    }

    ManualClock clock;
    std::vector<ReplicaRecord> records;
    std::set<std::string> down;
    std::set<std::string> crashedBefore; ///< Of which the asked routers know an earlier crash.
    std::vector<std::unique_ptr<Router>> routers;
    std::optional<CrashWatch::Finding> finding; ///< Of the last isCrash().
    bool isUnreached = false; ///< No router could tell in the last isCrash().
};

} // namespace

// Guards against harmless requests that are quarantined because routers whose new connections are
// all refused at the same moment confirm each other's replicas as crashed (soak seed 140103).
TEST_CASE_FIXTURE(EvidenceFixture, "crashEvidence_routersAreRefusedByAllReplicas_nothingCrashed")
{
    setReplicas(6);
    for (std::size_t i = 0; i < 3; ++i)
        cut(i, 0, 6);
    routers[3]->isReady = false; // It restarts.
    for (std::size_t router = 0; router < 3; ++router) {
        for (const ReplicaRecord &it : records)
            CHECK_FALSE(isCrash(router, it.incarnation()));
    }
}

// Guards against the same conclusion by a router that can ask no other one.
TEST_CASE_FIXTURE(EvidenceFixture, "crashEvidence_onlyReadyRouterIsRefusedByAll_nothingCrashed")
{
    setReplicas(3);
    cut(0, 0, 3);
    for (std::size_t i = 1; i < 4; ++i)
        routers[i]->isReady = false;
    for (const ReplicaRecord &it : records) {
        CHECK_FALSE(isCrash(0, it.incarnation()));
        CHECK((finding == CrashWatch::Finding::PathLost));
    }
}

// Guards against the report of a router without working paths about a replica that restarts: the
// requests that it lost with its path are not the cause.
TEST_CASE_FIXTURE(EvidenceFixture, "crashEvidence_refusedRouterMeetsReplicaThatIsDown_noReport")
{
    setReplicas(6);
    cut(0, 0, 6);
    down = {"i-2"};
    CHECK_FALSE(isCrash(0, "i-2"));
    CHECK(isCrash(1, "i-2"));
}

// Guards against routers that are cut from most replicas and reach the others.
TEST_CASE_FIXTURE(EvidenceFixture, "crashEvidence_pathsToMostAreKnownToBeLost_nothingCrashed")
{
    setReplicas(8);
    for (std::size_t i = 0; i < 4; ++i) {
        cut(i, 0, 6);
        for (std::size_t k = 1; k < 6; ++k)
            routers[i]->pools.of("svc").pathLost(records[k].incarnation());
    }
    CHECK_FALSE(isCrash(0, "i-0"));
}

// Guards against fatal requests that stay unknown: the first replica is down when the next ones
// crash, and two may crash at the same moment.
TEST_CASE_FIXTURE(EvidenceFixture, "crashEvidence_replicasCrashOneAfterTheOther_eachCounts")
{
    setReplicas(6);
    for (const char *it : {"i-3", "i-0", "i-5", "i-1"}) {
        down.insert(it);
        CHECK(isCrash(down.size() % 4, it));
    }
}

TEST_CASE_FIXTURE(EvidenceFixture, "crashEvidence_twoOfThreeCrashTogether_bothCount")
{
    setReplicas(3);
    down = {"i-0", "i-1"};
    CHECK(isCrash(0, "i-0"));
    CHECK(isCrash(1, "i-1"));
}

// Guards against a large fleet in which machines that are gone for long hide each further crash.
TEST_CASE_FIXTURE(EvidenceFixture, "crashEvidence_twoFifthsAreGoneForLong_crashCounts")
{
    setReplicas(140);
    for (std::size_t i = 0; i < 56; ++i) {
        down.insert(records[i].incarnation());
        for (const auto &it : routers)
            it->pools.of("svc").pathLost(records[i].incarnation());
    }
    down.insert("i-100");
    CHECK(isCrash(0, "i-100"));
    CHECK(routers[0]->connections == CrashEvidence::MaxControls);
}

// Guards against a service with one replica for which no crash is ever counted, and against one
// that looks crashed because the router is cut off from all services.
TEST_CASE_FIXTURE(EvidenceFixture, "crashEvidence_onlyReplica_replicasOfOtherServicesAreControls")
{
    setReplicas(1, "single");
    down = {"i-0"};
    CHECK(isCrash(0, "i-0"));
    setReplicas(3, "other");
    CHECK(isCrash(0, "i-0"));
    down.clear();
    for (std::size_t i = 0; i < 4; ++i)
        cut(i, 0, 4);
    CHECK_FALSE(isCrash(0, "i-0"));
}

// Guards against a crash that is reported by a router whose own path alone is lost.
TEST_CASE_FIXTURE(EvidenceFixture, "crashEvidence_otherRouterReachesReplica_didNotCrash")
{
    setReplicas(6);
    cut(0, 2, 3);
    CHECK_FALSE(isCrash(0, "i-2"));
    CHECK((finding == CrashWatch::Finding::NotCrashed));
    CHECK(routers[0]->pools.of("svc").paths.isBroken("i-2"));
}

// Guards against the loss of all evidence when all replicas crash at a time.
TEST_CASE_FIXTURE(EvidenceFixture, "crashEvidence_allReplicasCrashTogether_nobodyCanTell")
{
    setReplicas(6);
    for (const ReplicaRecord &it : records)
        down.insert(it.incarnation());
    CHECK_FALSE(isCrash(0, "i-0"));
    CHECK(isUnreached);
}

TEST_CASE_FIXTURE(EvidenceFixture, "crashEvidence_onlyOwnPathsAreLost_otherRoutersCanTell")
{
    setReplicas(6);
    cut(0, 0, 6);
    CHECK_FALSE(isCrash(0, "i-0"));
    CHECK_FALSE(isUnreached);
}

// Guards against overlooking a replica that returns under its registration and crashes again.
TEST_CASE_FIXTURE(EvidenceFixture, "crashEvidence_replicaHasRunSinceItCrashed_nextCrashCounts")
{
    setReplicas(6);
    down = {"i-2"};
    crashedBefore = {"i-2"};
    CHECK_FALSE(isCrash(0, "i-2"));
    CHECK_FALSE(isUnreached);
    routers[0]->pools.of("svc").pathRegained("i-2");
    CHECK(isCrash(0, "i-2"));
}
