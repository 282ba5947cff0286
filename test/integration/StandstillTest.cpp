#include "Net/EventLoop.h"
#include "fleet/EntryFleet.h"
#include "fleet/Fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using standin::EntryFleet;
using standin::Fleet;

namespace {

/// Sound replicas and a router that is stopped while many requests are in progress.
struct StandstillFixture
{
    static constexpr std::size_t Streams = 60;
    static constexpr std::size_t Callers = 30;
    static constexpr int Events = 200; ///< 10 ms apart.
    static constexpr Duration StreamInterval = 10ms;
    /// Longer than the time after which a stream counts as stalled, and than the deadline of calls.
    static constexpr Duration Standstill = 1400ms;

    StandstillFixture() { fleet.start(); }

    /// \returns whether the caller received the whole answer.
    bool fetch(const std::string &id, const std::string &target, std::string_view deadline)
    {
        const auto answer = Fleet::fetch(
                {.address = fleet.callerAddress(0),
                 .target = target,
                 .headers = {{"Host", EntryFleet::Host},
                             {"X-Request-Id", id},
                             {"X-Request-Deadline", std::string(deadline)},
                             {"Authorization", std::string("Bearer ") + EntryFleet::Key}},
                 .timeout = 4s});
        return answer && answer.value().head.status == 200;
    }

    void playStream(const std::string &id)
    {
        ++streams;
        streamsServed += fetch(id, fmt::format("/stream/a?events={}", Events), "3500") ? 1 : 0;
    }

    void playCalls(std::size_t caller, int round, const std::atomic<bool> &done)
    {
        for (int n = 0; !done; ++n) {
            ++calls;
            callsServed +=
                    fetch(fmt::format("c{}-{}-{}", round, caller, n), "/safe/a", "1000") ? 1 : 0;
        }
    }

    /// Stops the router while all streams run and each caller waits for an answer.
    void playStandstill(int round)
    {
        std::atomic<bool> done = false;
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < Callers; ++i)
            threads.emplace_back([&, i] { playCalls(i, round, done); });
        for (std::size_t i = 0; i < Streams; ++i) {
            threads.emplace_back([&, i] { playStream(fmt::format("s{}-{}", round, i)); });
            std::this_thread::sleep_for(StreamInterval);
        }
        std::this_thread::sleep_for(200ms);
        fleet.router(0).signal(SIGSTOP);
        std::this_thread::sleep_for(Standstill);
        fleet.router(0).signal(SIGCONT);
        std::this_thread::sleep_for(200ms);
        done = true;
        for (std::thread &it : threads)
            it.join();
    }

    /// \returns the number of arrivals at replicas beyond the first of each request.
    std::size_t repeats() const
    {
        const std::vector<Json::Value> arrivals = fleet.arrivals();
        std::map<std::string, int> byId;
        for (const Json::Value &it : arrivals)
            ++byId[it["id"].asString()];
        return arrivals.size() - byId.size();
    }

    std::size_t logLines(std::string_view event) const
    {
        const std::string_view events[] = {event};
        const std::string text = fleet.eventLog(events, 1000);
        const auto breaks = std::count(text.begin(), text.end(), '\n');
        return text.empty() ? 0 : static_cast<std::size_t>(breaks) + 1;
    }

    EntryFleet fleet{
            {.binaries = CATKINLOFT_BINARIES, .routers = 2, .replicas = 3, .serviceTime = 100ms}};
    std::atomic<int> streams = 0;
    std::atomic<int> streamsServed = 0;
    std::atomic<int> calls = 0;
    std::atomic<int> callsServed = 0;
};

} // namespace

// Guards against a router that stands still and on waking gives up requests whose answers wait in
// its sockets: streams are cut off, calls refused, sound replicas ejected and repeats spent.
TEST_CASE_FIXTURE(StandstillFixture, "fleet_routerStandsStill_waitingAnswersAreDelivered")
{
    constexpr int Rounds = 3;
    for (int i = 0; i < Rounds; ++i)
        playStandstill(i);
    MESSAGE(fmt::format("{} of {} streams and {} of {} calls served, {} repeats, {} attempts "
                        "failed, {} requests refused, {} broken off, {} ejections, {} stalls",
                        streamsServed.load(), streams.load(), callsServed.load(), calls.load(),
                        repeats(), logLines("attempt_failed"), logLines("request_refused"),
                        logLines("request_broken_off"), logLines("replica_ejected"),
                        logLines("event_loop_stalled")));
    CHECK(streamsServed == streams);
    CHECK(callsServed == calls);
    CHECK(repeats() == 0);
    CHECK(logLines("replica_ejected") == 0);
    CHECK(logLines("event_loop_stalled") >= Rounds);
}
