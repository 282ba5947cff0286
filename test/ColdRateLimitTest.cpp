#include "Decide/ColdRateLimit.h"
#include "Base/ManualClock.h"
#include "Control/FleetView.h"
#include "Decide/ReplicaPool.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// Routers that share no counter, each with its own fleet view and pool, and replicas of which some
/// are cold.
struct ColdReplicaFleetFixture
{
    struct Router
    {
        std::unique_ptr<FleetView> view;
        std::unique_ptr<ReplicaPool> pool;
    };

    static std::string nameOf(std::size_t i) { return fmt::format("r{}", i); }

    void addRouters(std::size_t n)
    {
        for (std::size_t i = 0; i < n; ++i) {
            Router it;
            it.view = std::make_unique<FleetView>(FleetView::Options{
                    .clock = clock, .self = nameOf(i), .selfAddress = nameOf(i) + ":2"});
            FleetView &view = *it.view;
            it.pool = std::make_unique<ReplicaPool>(ReplicaPool::Options{
                    .clock = clock,
                    .random = seededRandom(i),
                    .routers = [&view] { return view.sharingRouters(); },
                    .isColdSender =
                            [&view](std::string_view replica, std::size_t senders) {
                                return view.isChosenFor(replica, senders);
                            }});
            it.pool->setColdRateLimit(FleetLimit);
            routers.push_back(std::move(it));
        }
    }

    /// Adds the first \a others routers to the fleet view of router \a i.
    void introduce(std::size_t i, std::size_t others)
    {
        std::vector<RegisteredRouter> rows;
        for (std::size_t k = 0; k < others; ++k) {
            if (k != i)
                rows.push_back({.name = nameOf(k),
                                .callerAddress = nameOf(k) + ":1",
                                .peerAddress = nameOf(k) + ":2"});
        }
        routers[i].view->setRegistered(rows);
    }

    void introduceAll()
    {
        for (std::size_t i = 0; i < routers.size(); ++i)
            introduce(i, routers.size());
    }

    void setReplicas(std::size_t cold, std::size_t warm)
    {
        std::vector<ReplicaRecord> list;
        for (std::size_t i = 0; i < cold + warm; ++i)
            list.push_back({.id = fmt::format("{}-{}", i < cold ? "cold" : "warm", i),
                            .service = "s",
                            .failureDomain = "d0",
                            .slots = 12,
                            .coldDuration = i < cold ? ColdTime : Duration::zero(),
                            .coldUntil = i < cold ? clock.now() + ColdTime : TimePoint()});
        for (Router &it : routers)
            it.pool->setReplicas(list);
    }

    /// Sends \a perSecond requests for \a length, through the routers in turn.
    void load(int perSecond, Duration length)
    {
        const Duration step = Duration(1s) / perSecond;
        for (Duration t = 0s; t < length; t += step) {
            Router &it = routers[sent++ % routers.size()];
            const ReplicaPool::Choice choice = it.pool->choose({});
            if (choice.replica) {
                it.pool->started(choice.replica->id);
                it.pool->finished(choice.replica->id, {.succeeded = true});
                arrivals[choice.replica->id].push_back(clock.now());
            } else {
                ++refused;
            }
            clock.advance(step);
        }
    }

    /// \returns the largest number of requests in any second to one replica whose id begins with
    /// \a prefix.
    std::size_t mostInASecond(const std::string &prefix) const
    {
        std::size_t most = 0;
        for (const auto &[id, times] : arrivals) {
            if (!id.starts_with(prefix))
                continue;
            for (std::size_t i = 0, first = 0; i < times.size(); ++i) {
                while (times[i] - times[first] >= 1s)
                    ++first;
                most = std::max(most, i - first + 1);
            }
        }
        return most;
    }

    std::size_t arrivedAt(const std::string &prefix) const
    {
        std::size_t n = 0;
        for (const auto &[id, times] : arrivals)
            n += id.starts_with(prefix) ? times.size() : 0;
        return n;
    }

    static constexpr double FleetLimit = 17;
    static constexpr Duration ColdTime = 30s;

    ManualClock clock;
    std::vector<Router> routers;
    std::map<std::string, std::vector<TimePoint>> arrivals; ///< By replica.
    std::size_t sent = 0;
    int refused = 0;
};

} // namespace

TEST_CASE("coldRateLimit_anyFleet_twoSetsOfSendersStayWithinTheLimit")
{
    for (const double fleetLimit : {0.4, 1.0, 1.9, 2.0, 5.0, 17.4, 50.0, 1000.0}) {
        for (const int routers : {1, 2, 9, 73, 295, 890}) {
            const ColdRateLimit limit = ColdRateLimit::fromFleetLimit(fleetLimit, routers);
            const double perSender = std::floor(1s / limit.minInterval) + 1;
            CAPTURE(fleetLimit);
            CAPTURE(routers);
            CHECK(limit.senders >= 1);
            CHECK(limit.senders <= static_cast<std::size_t>(routers));
            if (fleetLimit >= 2)
                CHECK(2 * perSender * static_cast<double>(limit.senders) <= fleetLimit);
            else
                CHECK(toSeconds(limit.minInterval) * fleetLimit >= 2);
        }
    }
}

// Guards against a stated limit that no counter can hold, which ended every router by a division by
// zero at the next request for a cold replica.
TEST_CASE("coldRateLimit_limitOutOfRange_partIsUsable")
{
    for (const double fleetLimit : {1e-300, 1e-9, 1e12, 1e19, 1e20, 1e300}) {
        const ColdRateLimit limit = ColdRateLimit::fromFleetLimit(fleetLimit, 9);
        CAPTURE(fleetLimit);
        CHECK(limit.senders >= 1);
        CHECK(limit.senders <= 9);
        CHECK(limit.minInterval >= Duration::zero());
        if (fleetLimit < 1)
            CHECK(limit.minInterval > 1h);
    }
}

// Guards against hundreds of routers that each send a few requests to a cold replica and together
// overload it.
TEST_CASE_FIXTURE(ColdReplicaFleetFixture,
                  "coldReplica_hundredsOfRouters_stayWithinItsLimitTogether")
{
    addRouters(295);
    introduceAll();
    setReplicas(4, 36);
    load(2000, 8s);
    CHECK(refused == 0);
    CHECK(mostInASecond("cold") <= FleetLimit);
    CHECK(arrivedAt("cold") > 0);
}

// Guards against routers that do not know each other yet, so that each of them considers itself a
// sender.
TEST_CASE_FIXTURE(ColdReplicaFleetFixture,
                  "coldReplica_routersStartWithDifferentFleetViews_stayWithinItsLimit")
{
    addRouters(70);
    for (std::size_t i = 0; i < routers.size(); ++i) {
        // The last ten have not read the rows; others have read them before all were written.
        if (i < 60)
            introduce(i, i < 30 ? 70 : 40);
    }
    setReplicas(4, 30);
    load(1500, 8s);
    CHECK(refused == 0);
    CHECK(mostInASecond("cold") <= FleetLimit);
}

// Guards against refusing requests while every replica is cold but the sum of their limits is
// sufficient.
TEST_CASE_FIXTURE(ColdReplicaFleetFixture, "coldReplica_allAreCold_takeAThirdOfTheirLimits")
{
    addRouters(70);
    introduceAll();
    setReplicas(140, 0);
    load(600, 5s);
    CHECK(mostInASecond("cold") <= FleetLimit);
    CHECK(refused < 30);
}

TEST_CASE_FIXTURE(ColdReplicaFleetFixture, "coldReplica_warmAgain_isNoLongerLimited")
{
    addRouters(2);
    introduceAll();
    setReplicas(1, 0);
    load(100, 2s);
    CHECK(mostInASecond("cold") <= FleetLimit);
    CHECK(refused > 100);
    clock.advance(ColdTime);
    refused = 0;
    load(100, 2s);
    CHECK(refused == 0);
}

// Guards against a domain that is no longer evacuated and gets its usual load before the registry
// entries show that its replicas are cold.
TEST_CASE_FIXTURE(ColdReplicaFleetFixture,
                  "coldReplica_domainNoLongerEvacuated_isLimitedUntilEntriesAreCurrent")
{
    addRouters(10);
    introduceAll();
    setReplicas(0, 4);
    for (Router &it : routers) {
        it.pool->setEvacuated({"d0"});
        it.pool->setEvacuated({});
    }
    load(400, 2s);
    CHECK(mostInASecond("warm") <= FleetLimit);
    CHECK(refused > 0);
    clock.advance(2s);
    refused = 0;
    load(400, 1s);
    CHECK(refused == 0);
}

// Guards against a replica that terminates and returns cold while its registry entry is still the
// former one.
TEST_CASE_FIXTURE(ColdReplicaFleetFixture,
                  "coldReplica_returnsAfterUnreachable_isLimitedUntilItsEntryIsCurrent")
{
    addRouters(10);
    introduceAll();
    setReplicas(0, 2);
    for (Router &it : routers)
        it.pool->noteUnreachable("warm-0", 0s);
    load(400, 2s);
    CHECK(mostInASecond("warm-0") <= FleetLimit);
    CHECK(refused == 0);
    clock.advance(5s);
    arrivals.clear();
    load(400, 1s);
    CHECK(mostInASecond("warm-0") > FleetLimit);
}
