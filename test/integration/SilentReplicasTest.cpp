#include "Net/EventLoop.h"
#include "fleet/EntryFleet.h"

#include <doctest/doctest.h>

#include <atomic>
#include <csignal>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <fmt/ranges.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using standin::EntryFleet;

namespace {

/// Four routers with a small retry budget, and eight replicas of each service. Callers have about
/// 100 resumable streams at a time in progress and send idempotent calls, while replicas stand
/// still shortly after a change of the configuration.
struct SilentReplicasFixture
{
    /// Requests of one kind.
    struct Count
    {
        int sent = 0;
        int served = 0;
        std::vector<std::string> lost = {}; ///< The first of those that were not served.
    };

    static constexpr std::size_t Replicas = 8; ///< Of each service.
    static constexpr double Share = 0.2;
    static constexpr int Slack = 5;

    /// Even on a busy machine, where an event takes twice its 10 ms, streams that stand still for
    /// 1.3 s are complete within their route's timeout of 4 s.
    static constexpr int Events = 100;
    static constexpr Duration StreamInterval = 12ms;
    static constexpr Duration CallInterval = 25ms;
    static constexpr std::size_t MaxReported = 8;

    SilentReplicasFixture() { fleet.start(); }

    void signalReplicas(std::size_t perService, int number)
    {
        for (std::size_t i = 0; i < perService; ++i) {
            fleet.replica(i).signal(number);
            fleet.replica(Replicas + i).signal(number);
        }
    }

    /// Changes the configuration and stops \a perService replicas of each service.
    void standStill(std::size_t perService, Duration pause)
    {
        withExtraRoute = !withExtraRoute;
        fleet.writeConfig({EntryFleet::Key}, withExtraRoute);
        std::this_thread::sleep_for(600ms);
        signalReplicas(perService, SIGSTOP);
        std::this_thread::sleep_for(pause);
        signalReplicas(perService, SIGCONT);
    }

    /// Sends streams and calls until \a done, and waits for their answers.
    void sendWhile(const std::atomic<bool> &done)
    {
        EventLoop loop;
        HttpClient client(loop);
        std::list<HttpCallPtr> calls;
        int running = 0;
        int n = 0;
        const auto send = [&](Count &count, const std::string &target) {
            const std::string id = fmt::format("s{}", ++n);
            ++count.sent;
            ++running;
            const auto it = calls.emplace(calls.end());
            const auto status = std::make_shared<int>(0);
            const auto events = std::make_shared<int>(0);
            *it = client.send(
                    {.address =
                             fleet.callerAddress(static_cast<std::size_t>(n) % fleet.routerCount()),
                     .target = target,
                     .headers = {{"Host", EntryFleet::Host},
                                 {"X-Request-Id", id},
                                 {"Authorization", std::string("Bearer ") + EntryFleet::Key}},
                     .timeout = 6s},
                    {.onHead = [status](const HttpHead &head) { *status = head.status; },
                     .onData =
                             [events](std::string_view data) {
                                 for (std::size_t at = data.find("id:"); at != data.npos;
                                      at = data.find("id:", at + 1))
                                     ++*events;
                             },
                     .onEnd =
                             [&, id, it, status, events](const Result<void> &result) {
                                 --running;
                                 if (result && *status == 200)
                                     ++count.served;
                                 else if (count.lost.size() < MaxReported)
                                     count.lost.push_back(fmt::format(
                                             "{} status {} after {} events", id, *status, *events));
                                 loop.post([&calls, it] { calls.erase(it); });
                             }});
        };
        TimePoint nextStream = loop.now();
        TimePoint nextCall = loop.now();
        while (!done || running > 0) {
            const TimePoint now = loop.now();
            if (!done && now >= nextStream) {
                nextStream += StreamInterval;
                send(streams, fmt::format("/stream/a?events={}", Events));
            }
            if (!done && now >= nextCall) {
                nextCall += CallInterval;
                send(idempotentCalls, "/safe/a");
            }
            loop.runOnce();
            std::this_thread::sleep_for(1ms);
        }
        loop.runOnce();
    }

    /// Lets replicas stand still several times under load. \a perService of each service do.
    void play(std::size_t perService)
    {
        std::atomic<bool> done = false;
        std::thread callers([&] { sendWhile(done); });
        std::this_thread::sleep_for(2s);
        for (const Duration pause : {1000ms, 1200ms, 1300ms}) {
            standStill(perService, pause);
            std::this_thread::sleep_for(2500ms);
        }
        done = true;
        callers.join();
    }

    int repeatedArrivals() const
    {
        std::map<std::string, int> byId;
        for (const Json::Value &it : fleet.arrivals())
            ++byId[it["id"].asString()];
        int out = 0;
        for (const auto &[id, n] : byId)
            out += n - 1;
        return out;
    }

    void requireNothingLost() const
    {
        for (const auto &[name, it] :
             {std::pair("streams", &streams), std::pair("idempotent calls", &idempotentCalls)})
            MESSAGE(fmt::format("{} of {} {} served; lost: {}", it->served, it->sent, name,
                                fmt::join(it->lost, ", ")));
        const int repeated = repeatedArrivals();
        MESSAGE(fmt::format("{} arrivals beyond the first", repeated));
        MESSAGE(fleet.eventLog(std::vector<std::string_view>{"request_broken_off"}, 3));
        CHECK(streams.served == streams.sent);
        CHECK(idempotentCalls.served == idempotentCalls.sent);
        REQUIRE(streams.sent >= 500);
        // The play lasts for less than two windows of the budget.
        CHECK(repeated <= Share * (streams.sent + idempotentCalls.sent) + 2 * Slack);
    }

    EntryFleet fleet{{.binaries = CATKINLOFT_BINARIES,
                      .routers = 4,
                      .replicas = Replicas,
                      .retrySlack = Slack}};
    bool withExtraRoute = false;
    Count streams;
    Count idempotentCalls;
};

} // namespace

// Guards against requests that are broken off after the stall timeout because their route allows
// another attempt, though none may begin and their replica goes on.
TEST_CASE_FIXTURE(SilentReplicasFixture, "silentReplicas_allStandStill_nothingIsCutOff")
{
    play(Replicas);
    requireNothingLost();
}

// Guards against the same when some replicas still answer, but the retry budget is used up.
TEST_CASE_FIXTURE(SilentReplicasFixture, "silentReplicas_mostStandStill_nothingIsCutOff")
{
    play(5);
    requireNothingLost();
}
