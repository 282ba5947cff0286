#include "Net/EventLoop.h"
#include "Net/StallMonitor.h"
#include "Net/Timer.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <numeric>
#include <vector>

#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// An event loop and the numbers that its callbacks recorded, in the order in
/// which they ran.
struct EventLoopFixture
{
    void runUntil(std::size_t n)
    {
        for (int i = 0; i < 5000 && ran.size() < n; ++i) {
            loop.runOnce();
            usleep(500);
        }
        REQUIRE(ran.size() == n);
    }

    EventLoop loop;
    std::vector<int> ran;
};

} // namespace

// Guards against callbacks that are due in the same clock tick running in
// arbitrary order.
TEST_CASE_FIXTURE(EventLoopFixture, "eventLoop_callbacksOfOneDelay_runInTheirOrder")
{
    constexpr int N = 300;
    for (int i = 0; i < N; ++i)
        loop.after(2ms, [this, i] { ran.push_back(i); });
    runUntil(N);
    CHECK(std::is_sorted(ran.begin(), ran.end()));
}

TEST_CASE_FIXTURE(EventLoopFixture, "eventLoop_shorterDelayGivenLater_runsFirst")
{
    loop.after(30ms, [this] { ran.push_back(2); });
    loop.after(1ms, [this] {
        ran.push_back(1);
        loop.after(60ms, [this] { ran.push_back(3); });
    });
    runUntil(3);
    CHECK(ran == std::vector{1, 2, 3});
}

TEST_CASE_FIXTURE(EventLoopFixture, "eventLoop_postedCallbacks_runInTheirOrder")
{
    for (int i = 0; i < 3; ++i) {
        loop.post([this, i] {
            ran.push_back(i);
            loop.post([this, i] { ran.push_back(i + 3); });
        });
    }
    runUntil(6);
    CHECK(std::is_sorted(ran.begin(), ran.end()));
}

TEST_CASE("eventLoop_destroyedWithCallbacksWaiting_dropsThem")
{
    const auto held = std::make_shared<int>(1);
    {
        EventLoop loop;
        loop.after(1h, [held] {});
        loop.post([held] {});
        CHECK(held.use_count() == 3);
    }
    CHECK(held.use_count() == 1);
}

namespace {

/// Longer than what counts as a stall.
constexpr Duration Standstill = 2 * EventLoop::MinStall;

void blockThread(Duration d)
{
    usleep(static_cast<useconds_t>(d / 1us));
}

} // namespace

// Guards against a standstill of the process that leaves no trace, or one for
// each check.
TEST_CASE("eventLoop_callbackTakesLong_stallIsReportedOnce")
{
    EventLoop loop;
    std::vector<Duration> stalls;
    const TimePoint begin = loop.now();
    loop.onStall([&](const EventLoop::Stall &it) { stalls.push_back(it.late); });
    loop.after(1ms, [] { blockThread(Standstill); });
    loop.after(2 * Standstill, [&] { loop.stop(); });
    loop.run();
    REQUIRE(!stalls.empty());
    CHECK(*std::max_element(stalls.begin(), stalls.end()) >= EventLoop::MinStall);
    CHECK(std::accumulate(stalls.begin(), stalls.end(), Duration::zero()) <= loop.now() - begin);
}

TEST_CASE("stallMonitor_cause_tellsSuspendedBusyAndStoppedApart")
{
    CHECK(StallMonitor::cause({.late = 1s, .suspended = 900ms}) == "suspended");
    CHECK(StallMonitor::cause({.late = 1s, .processorTime = 900ms}) == "busy");
    CHECK(StallMonitor::cause({.late = 1s, .processorTime = 10ms}) == "not_running");
}
