#include "fleet/EntryFleet.h"
#include "fleet/Fleet.h"

#include <doctest/doctest.h>

#include <array>
#include <atomic>
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
    SlowCallFixture()
    {
        fleet.start();
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

    EntryFleet fleet{{.binaries = CATKINLOFT_BINARIES}};
    std::atomic<bool> isStopping = false;
    std::vector<std::thread> quickCallers;
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
    std::map<std::string, int> runs;
    for (const Json::Value &it : fleet.executions())
        ++runs[it["id"].asString()];
    REQUIRE(statuses.size() == 2 * WorkMs.size() * CallsEach);
    for (const auto &it : statuses) {
        CAPTURE(it.first);
        CHECK(it.second == 200);
        CHECK(runs[it.first] == 1);
    }
}
