#include "fleet/EntryFleet.h"
#include "fleet/Fleet.h"

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using standin::EntryFleet;
using standin::Fleet;

namespace {

/// Sound replicas whose calls take as long as their `work_ms` states, and callers whose calls take
/// milliseconds. The timeout of the routes is 4 s.
struct SlowCallFixture
{
    explicit SlowCallFixture(bool hasQuickCallers = true)
    {
        fleet.start();
        if (!hasQuickCallers)
            return;
        for (std::size_t i = 0; i < fleet.routerCount(); ++i) {
            quickCallers.emplace_back([this, i] {
                for (int n = 0; !isStopping; ++n) {
                    status(i, fmt::format("quick-{}-{}", i, n), "/safe/a");
                    std::this_thread::sleep_for(25ms);
                }
            });
        }
    }

    ~SlowCallFixture()
    {
        isStopping = true;
        for (std::thread &it : quickCallers)
            it.join();
    }

    int status(std::size_t router, const std::string &id, const std::string &target) const
    {
        const Result<HttpAnswer> answer = Fleet::fetch(
                {.address = fleet.callerAddress(router),
                 .target = target,
                 .headers = {{"Host", EntryFleet::Host},
                             {"X-Request-Id", id},
                             {"X-Request-Deadline", "4000"},
                             {"Authorization", std::string("Bearer ") + EntryFleet::Key}},
                 .timeout = 6s,
                 .freshConnection = true});
        return answer ? answer.value().head.status : 0;
    }

    /// Sends calls of \a work to the route \a safe, at each router one after the other.
    /// \returns the statuses by request id.
    std::map<std::string, int> callInTurn(const std::vector<int> &work) const
    {
        std::mutex mutex;
        std::map<std::string, int> out;
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < fleet.routerCount(); ++i) {
            callers.emplace_back([&, i] {
                for (std::size_t n = 0; n < work.size(); ++n) {
                    const std::string id = fmt::format("turn-{}-{}-{}", i, n, work[n]);
                    const int answered = status(i, id, fmt::format("/safe/a?work_ms={}", work[n]));
                    const std::lock_guard lock(mutex);
                    out[id] = answered;
                }
            });
        }
        for (std::thread &it : callers)
            it.join();
        return out;
    }

    std::map<std::string, int> runs() const
    {
        std::map<std::string, int> out;
        for (const Json::Value &it : fleet.executions())
            ++out[it["id"].asString()];
        return out;
    }

    EntryFleet fleet{{.binaries = CATKINLOFT_BINARIES}};
    std::atomic<bool> isStopping = false;
    std::vector<std::thread> quickCallers;
};

struct LoneCallFixture : SlowCallFixture
{
    LoneCallFixture() : SlowCallFixture(false) { }
};

} // namespace

// Guards against a call that may be repeated and needs most of its timeout: taken for one of a
// silent replica, it ran twice and was answered by neither run.
TEST_CASE_FIXTURE(SlowCallFixture, "entry_repeatableCallsNeedMostOfTheirTimeout_areServed")
{
    constexpr std::array WorkMs{400, 1500, 2500, 3000, 3500};
    constexpr std::size_t CallsEach = 3;
    std::mutex mutex;
    std::map<std::string, int> statuses;
    std::vector<std::thread> callers;
    for (const char *route : {"safe", "once"}) {
        for (const int work : WorkMs) {
            for (std::size_t i = 0; i < CallsEach; ++i) {
                callers.emplace_back([&, route, work, i] {
                    const std::string id = fmt::format("{}-{}-{}", route, work, i);
                    const int answered = status(i % fleet.routerCount(), id,
                                                fmt::format("/{}/a?work_ms={}", route, work));
                    const std::lock_guard lock(mutex);
                    statuses[id] = answered;
                });
            }
        }
    }
    for (std::thread &it : callers)
        it.join();
    std::map<std::string, int> runs = SlowCallFixture::runs();
    REQUIRE(statuses.size() == 2 * WorkMs.size() * CallsEach);
    for (const auto &it : statuses) {
        CAPTURE(it.first);
        CHECK(it.second == 200);
        CHECK(runs[it.first] == 1);
    }
}

// Guards against the same where no other call shows that the replica is alive.
TEST_CASE_FIXTURE(LoneCallFixture, "entry_repeatableCallsAreSlowAndAlone_areServed")
{
    const std::map<std::string, int> statuses = callInTurn({2500, 3000, 3500});
    std::map<std::string, int> runs = SlowCallFixture::runs();
    REQUIRE(statuses.size() == 3 * fleet.routerCount());
    for (const auto &it : statuses) {
        CAPTURE(it.first);
        CHECK(it.second == 200);
        CHECK(runs[it.first] == 1);
    }
}

// Guards against repeatable calls that are taken for slow and wait for a replica that stands still.
TEST_CASE_FIXTURE(SlowCallFixture, "entry_oneReplicaIsPaused_repeatableCallsAreServedByOthers")
{
    const std::vector<int> work{1500, 400, 5, 400, 5, 1500};
    REQUIRE(!callInTurn({1500}).empty()); // Calls of this length are usual.
    fleet.replica(0).signal(SIGSTOP);
    std::thread waker([this] {
        std::this_thread::sleep_for(6s); // Longer than the timeout.
        fleet.replica(0).signal(SIGCONT);
    });
    const std::map<std::string, int> statuses = callInTurn(work);
    waker.join();
    REQUIRE(statuses.size() == work.size() * fleet.routerCount());
    for (const auto &it : statuses) {
        CAPTURE(it.first);
        CHECK(it.second == 200);
    }
}

// Guards against repeatable calls that are taken for slow because their replica answers others.
TEST_CASE_FIXTURE(SlowCallFixture, "entry_oneReplicaIsPartlyMute_repeatableCallsAreServedByOthers")
{
    REQUIRE(fleet.setReplicaFaults(0, R"({"hang":0.45})"));
    const std::vector<int> work(20, 5);
    const std::map<std::string, int> statuses = callInTurn(work);
    REQUIRE(statuses.size() == work.size() * fleet.routerCount());
    for (const auto &it : statuses) {
        CAPTURE(it.first);
        CHECK(it.second == 200);
    }
}
