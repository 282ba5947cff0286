#include "fleet/EntryFleet.h"
#include "fleet/Fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using standin::EntryFleet;
using standin::Fleet;

namespace {

/// Four routers and three replicas of eight slots whose calls take 40 ms.
struct BrittleFleetFixture
{
    explicit BrittleFleetFixture(const std::string &settings = {})
        : fleet({.binaries = CATKINLOFT_BINARIES,
                 .routers = 4,
                 .replicas = Replicas,
                 .extraSettings = settings})
    {
        fleet.start();
    }

    void setFaults(const std::string &more)
    {
        for (std::size_t i = 0; i < Replicas; ++i)
            REQUIRE(fleet.setReplicaFaults(
                    i, fmt::format(R"({{"slots":8,"queue":24,"call_ms":40{}}})", more)));
    }

    struct Served
    {
        int ok = 0;
        int refused = 0; ///< With status 503 and `Retry-After`.
        int other = 0;
    };

    /// Calls the routers for \a length, each of \a callers sending its next request 10 ms after the
    /// last answer.
    Served callFor(Duration length, std::size_t callers)
    {
        std::atomic<int> ok = 0;
        std::atomic<int> refused = 0;
        std::atomic<int> other = 0;
        const auto until = std::chrono::steady_clock::now() + length;
        std::vector<std::thread> threads;
        threads.reserve(callers);
        for (std::size_t i = 0; i < callers; ++i) {
            threads.emplace_back([&, i] {
                for (int k = 0; std::chrono::steady_clock::now() < until; ++k) {
                    const auto answer = Fleet::fetch(
                            {.address = fleet.callerAddress(i % fleet.routerCount()),
                             .target = "/safe/a",
                             .headers = {{"Host", EntryFleet::Host},
                                         {"X-Request-Id", fmt::format("b{}-{}-{}", round, i, k)},
                                         {"Authorization",
                                          std::string("Bearer ") + EntryFleet::Key}},
                             .timeout = 4s});
                    if (answer && answer.value().head.status == 200)
                        ++ok;
                    else if (answer && answer.value().head.status == 503
                             && !answer.value().head.header("Retry-After").empty())
                        ++refused;
                    else
                        ++other;
                    std::this_thread::sleep_for(10ms);
                }
            });
        }
        for (std::thread &it : threads)
            it.join();
        ++round;
        return {ok, refused, other};
    }

    /// \returns the most rejections by one replica within any one second.
    std::size_t mostRejections() const
    {
        std::map<std::string, std::vector<std::int64_t>> times;
        for (const Json::Value &it : fleet.arrivals()) {
            if (it["turned_away"].asBool())
                times[it["replica"].asString()].push_back(it["at_ms"].asInt64());
        }
        std::size_t most = 0;
        for (auto &[replica, list] : times) {
            std::sort(list.begin(), list.end());
            for (std::size_t i = 0, first = 0; i < list.size(); ++i) {
                while (list[i] - list[first] >= 1000)
                    ++first;
                most = std::max(most, i - first + 1);
            }
        }
        return most;
    }

    std::size_t routersWith(const std::string &event) const
    {
        std::size_t n = 0;
        for (std::size_t i = 0; i < fleet.routerCount(); ++i)
            n += fleet.routerLog(i).find(event) != std::string::npos ? 1 : 0;
        return n;
    }

    static constexpr std::size_t Replicas = 3;

    EntryFleet fleet;
    int round = 0;
};

} // namespace

// Guards against a burst that makes brittle replicas reject more than they survive, one after the
// other, and against a limit that leaves their slots empty.
TEST_CASE_FIXTURE(BrittleFleetFixture, "brittle_overloadWithAShortQueue_noReplicaCrashes")
{
    setFaults(R"(,"brittle":20,"brittle_queue":0,"brittle_after_ms":1000)");
    callFor(1500ms, 4);
    CHECK(Fleet::waitFor([&] { return routersWith("service_brittle") == fleet.routerCount(); }));
    const Served burst = callFor(3s, 96);
    for (std::size_t i = 0; i < Replicas; ++i)
        CHECK(fleet.replica(i).isRunning());
    CHECK(mostRejections() <= 20);
    CHECK(burst.ok > 100);
    CHECK(burst.refused > 0);
    CHECK(burst.other == 0);
    MESSAGE("served ", burst.ok, ", refused ", burst.refused, ", most rejections in a second ",
            mostRejections());
    setFaults("");
    CHECK(Fleet::waitFor(
            [&] {
                callFor(200ms, 8);
                return routersWith("service_no_longer_brittle") == fleet.routerCount();
            },
            15s));
}

// Guards against routers that start within a burst and send what the others already hold back.
TEST_CASE_FIXTURE(BrittleFleetFixture, "brittle_routersAreKilledInABurst_noReplicaCrashes")
{
    setFaults(R"(,"brittle":20,"brittle_queue":0,"brittle_after_ms":1000)");
    callFor(1500ms, 4);
    CHECK(Fleet::waitFor([&] { return routersWith("service_brittle") == fleet.routerCount(); }));
    std::thread killer([&] {
        for (std::size_t wave = 0; wave < 3; ++wave) {
            std::this_thread::sleep_for(800ms);
            for (std::size_t i = wave % 2; i < fleet.routerCount(); i += 2)
                fleet.router(i).signal(SIGKILL);
            for (std::size_t i = wave % 2; i < fleet.routerCount(); i += 2) {
                fleet.router(i).wait();
                fleet.startRouter(i);
            }
        }
    });
    const Served burst = callFor(4s, 96);
    killer.join();
    for (std::size_t i = 0; i < Replicas; ++i)
        CHECK(fleet.replica(i).isRunning());
    CHECK(mostRejections() <= 20);
    CHECK(burst.ok > 100);
    MESSAGE("served ", burst.ok, ", refused ", burst.refused, ", failed ", burst.other,
            ", most rejections in a second ", mostRejections());
}

// Guards against a router that gets no answer from the service and does not learn of its state.
TEST_CASE_FIXTURE(BrittleFleetFixture, "brittle_oneRouterSeesTheHeader_theOthersLearnOfIt")
{
    setFaults(R"(,"brittle":20,"brittle_queue":0,"brittle_after_ms":60000)");
    const auto answer =
            Fleet::fetch({.address = fleet.callerAddress(0),
                          .target = "/safe/a",
                          .headers = {{"Host", EntryFleet::Host},
                                      {"X-Request-Id", "first"},
                                      {"Authorization", std::string("Bearer ") + EntryFleet::Key}},
                          .timeout = 4s});
    REQUIRE(answer);
    CHECK(answer.value().head.status == 200);
    CHECK(Fleet::waitFor([&] { return routersWith("service_brittle") == fleet.routerCount(); }));
}

namespace {

struct UnlimitedFleetFixture : BrittleFleetFixture
{
    UnlimitedFleetFixture()
        : BrittleFleetFixture("mechanisms:\n"
                              "  brittle_services: false\n")
    { }
};

} // namespace

// Shows that the overload is hard enough: without the limit replicas crash.
TEST_CASE_FIXTURE(UnlimitedFleetFixture, "brittle_switchedOff_replicasCrash")
{
    setFaults(R"(,"brittle":20,"brittle_queue":0,"brittle_after_ms":0)");
    callFor(2s, 96);
    CHECK(Fleet::waitFor([&] { return !fleet.replica(0).isRunning(); }));
    CHECK(routersWith("service_brittle") == 0);
}
