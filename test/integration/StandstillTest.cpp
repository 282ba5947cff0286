#include "Net/EventLoop.h"
#include "fleet/EntryFleet.h"
#include "fleet/Fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
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
            const std::string id = fmt::format("c{}-{}-{}", round, caller, n);
            if (fetch(id, "/safe/a", "1000")) {
                ++callsServed;
            } else {
                const std::lock_guard lock(mutex);
                unserved.insert(id);
            }
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
        continuedAtMs.push_back(std::chrono::system_clock::now().time_since_epoch() / 1ms);
        fleet.router(0).signal(SIGCONT);
        std::this_thread::sleep_for(200ms);
        done = true;
        for (std::thread &it : threads)
            it.join();
    }

    /// \returns the number of calls that weren't served although a replica began them so long
    /// before the end of a standstill that its answer waited. The deadline of others may pass
    /// meanwhile.
    std::size_t lostAnswers() const
    {
        constexpr std::int64_t AnsweredWithinMs = 500;
        std::size_t out = 0;
        for (const Json::Value &it : fleet.executions()) {
            const std::int64_t at = it["at_ms"].asInt64();
            const bool isAnswered = std::any_of(
                    continuedAtMs.begin(), continuedAtMs.end(), [&](std::int64_t continuedAt) {
                        return at < continuedAt - AnsweredWithinMs
                                && at > continuedAt - Standstill / 1ms - AnsweredWithinMs;
                    });
            out += isAnswered && unserved.contains(it["id"].asString()) ? 1 : 0;
        }
        return out;
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
    std::mutex mutex;
    std::set<std::string> unserved; ///< Ids of calls.
    std::vector<std::int64_t> continuedAtMs; ///< Wall times.
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
    const std::string_view failures[] = {"request_broken_off", "request_refused", "replica_ejected",
                                         "event_loop_stalled"};
    const std::string lines = fleet.eventLog(failures, 20);
    INFO(lines);
    CHECK(streamsServed == streams);
    CHECK(lostAnswers() == 0);
    // Each caller has one call in progress when the router is stopped.
    CHECK(calls - callsServed <= Rounds * static_cast<int>(Callers));
    CHECK(repeats() == 0);
    CHECK(logLines("replica_ejected") == 0);
    CHECK(logLines("event_loop_stalled") >= Rounds);
}
