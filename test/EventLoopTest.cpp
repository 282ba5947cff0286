#include "Net/EventLoop.h"
#include "Base/Log.h"
#include "Net/StallMonitor.h"
#include "Net/Timer.h"
#include "Net/internal/Dispatch.h"
#include "Net/internal/SpinDetector.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <functional>
#include <memory>
#include <numeric>
#include <stdexcept>
#include <string>
#include <vector>

#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// An event loop and the numbers that its callbacks recorded, in the order in which they ran.
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

// Guards against callbacks that are due in the same clock tick running in arbitrary order.
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

// Guards against a standstill of the process that leaves no trace, or one for each check.
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

// Guards against a loop that spins on a socket that nobody reads: it costs a core and leaves no
// trace.
TEST_CASE("eventLoop_socketStaysReadable_isReportedAsSpinning")
{
    EventLoop loop;
    std::array<int, 2> sockets{};
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets.data()) == 0);
    REQUIRE(write(sockets[1], "a", 1) == 1);
    event *readable = event_new(
            loop.base(), sockets[0], EV_READ | EV_PERSIST, [](evutil_socket_t, short, void *) {},
            nullptr);
    event_add(readable, nullptr);
    Duration processorTime = Duration::zero();
    loop.onSpin([&](const EventLoop::Spin &it) {
        processorTime = it.processorTime;
        loop.stop();
    });
    Timer limit(loop, [&] { loop.stop(); });
    limit.start(60s);
    loop.run();
    CHECK(processorTime >= internal::SpinDetector::Window);
    event_free(readable);
    for (const int it : sockets)
        close(it);
}

// Guards against warnings about a loop that is busy with what it reads, or that waits on a system
// whose processor clock also counts waiting.
TEST_CASE("spinDetector_usage_onlyTimeWithoutProgressIsASpin")
{
    internal::SpinDetector subject;
    for (int i = 0; i < 100; ++i)
        CHECK_FALSE(subject.add({.processorTime = 100ms, .progress = 50}));
    for (int i = 0; i < 9; ++i)
        CHECK_FALSE(subject.add({.processorTime = 100ms, .progress = 5}));
    const auto spin = subject.add({.processorTime = 100ms, .progress = 5});
    REQUIRE(spin);
    CHECK((spin->processorTime == 1s));
    CHECK(spin->progress == 50);
    for (int i = 0; i < 100; ++i)
        CHECK_FALSE(subject.add({.processorTime = 100ms, .progress = 5, .hasRested = i % 10 == 0}));
    CHECK_FALSE(subject.add({.processorTime = 500ms, .progress = 0}));
    CHECK_FALSE(subject.add({.processorTime = 500ms, .progress = 1000}));
}

namespace {

/// \brief A socket on which bytes wait and that calls a function for each byte.
class WaitingSocket
{
public:
    WaitingSocket(EventLoop &loop, std::size_t bytes, std::function<void()> read)
        : m_read(std::move(read))
    {
        REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, m_fds) == 0);
        const std::vector<char> waiting(bytes);
        REQUIRE(write(m_fds[1], waiting.data(), bytes) == static_cast<ssize_t>(bytes));
        m_event = event_new(
                loop.base(), m_fds[0], EV_READ | EV_PERSIST,
                [](evutil_socket_t fd, short, void *arg) {
                    char c = 0;
                    if (::read(fd, &c, 1) == 1)
                        static_cast<WaitingSocket *>(arg)->m_read();
                },
                this);
        event_add(m_event, nullptr);
    }

    ~WaitingSocket()
    {
        event_free(m_event);
        close(m_fds[0]);
        close(m_fds[1]);
    }

    WaitingSocket(const WaitingSocket &) = delete;
    WaitingSocket &operator=(const WaitingSocket &) = delete;

private:
    int m_fds[2] = {};
    std::function<void()> m_read;
    event *m_event = nullptr;
};

} // namespace

// Guards against time-outs that expire after a standstill of the process although the bytes which
// end them wait in the sockets.
TEST_CASE("eventLoop_timersAreOverdueAfterStandstill_socketsAreReadBefore")
{
    constexpr int Sockets = 200;
    constexpr std::size_t Reads = 3;
    EventLoop loop;
    int expired = 0;
    int answered = 0;
    std::vector<std::unique_ptr<Timer>> timeouts;
    std::vector<std::unique_ptr<WaitingSocket>> sockets;
    loop.post([&] {
        for (int i = 0; i < Sockets; ++i) {
            timeouts.push_back(std::make_unique<Timer>(loop, [&] { ++expired; }));
            timeouts.back()->start(Standstill / 2);
            sockets.push_back(std::make_unique<WaitingSocket>(
                    loop, Reads,
                    [&, timeout = timeouts.back().get(), n = std::size_t(0)]() mutable {
                        if (++n < Reads)
                            return;
                        timeout->stop();
                        ++answered;
                    }));
        }
        blockThread(Standstill);
    });
    loop.after(3 * Standstill, [&] { loop.stop(); });
    loop.run();
    CHECK(expired == 0);
    CHECK(answered == Sockets);
}

// Guards against overdue timers that run in another order than that of their due times.
TEST_CASE_FIXTURE(EventLoopFixture,
                  "eventLoop_timersAreOverdueAfterStandstill_runInOrderOfDueTimes")
{
    Timer first(loop, [this] { ran.push_back(1); });
    Timer third(loop, [this] { ran.push_back(3); });
    Timer stopped(loop, [this] { ran.push_back(0); });
    WaitingSocket socket(loop, 1, [&] { stopped.stop(); });
    loop.post([&] {
        third.start(30ms);
        loop.after(20ms, [this] { ran.push_back(2); });
        first.start(10ms);
        stopped.start(15ms);
        loop.after(40ms, [this] { ran.push_back(4); });
        blockThread(Standstill);
    });
    runUntil(4);
    CHECK(ran == std::vector{1, 2, 3, 4});
    CHECK_FALSE(first.isPending());
}

// Guards against timers that never run while the process is short of time and its sockets always
// have something to read.
TEST_CASE("eventLoop_everyIterationIsLate_timersRun")
{
    constexpr std::size_t MaxIterations = 20;
    EventLoop loop;
    std::size_t iterations = 0;
    int fired = 0;
    WaitingSocket socket(loop, MaxIterations, [&] {
        blockThread(Standstill);
        if (++iterations == MaxIterations)
            loop.stop();
    });
    Timer timer(loop, [&] {
        if (++fired == 4)
            loop.stop();
    });
    timer.startRepeating(10ms);
    loop.run();
    CHECK(fired == 4);
    CHECK(iterations < MaxIterations);
}

// Guards against timers that are started late in a long iteration and expire at once.
TEST_CASE("eventLoop_timerIsStartedAfterStandstill_itsWholeDelayPasses")
{
    EventLoop loop;
    TimePoint startedAt;
    TimePoint firedAt;
    Timer timer(loop, [&] {
        firedAt = loop.now();
        loop.stop();
    });
    loop.post([&] {
        blockThread(Standstill);
        startedAt = loop.now();
        timer.start(Standstill / 2);
    });
    loop.run();
    CHECK(firedAt - startedAt >= Standstill / 2);
}

// Guards against time-outs that expire in the same batch as a timer whose callback took long.
TEST_CASE("eventLoop_timerCallbackTakesLong_socketsAreReadBeforeTheNextTimer")
{
    EventLoop loop;
    bool expired = false;
    Timer timeout(loop, [&] { expired = true; });
    std::unique_ptr<WaitingSocket> socket;
    Timer slow(loop, [&] {
        socket = std::make_unique<WaitingSocket>(loop, 1, [&] { timeout.stop(); });
        blockThread(Standstill);
    });
    loop.post([&] {
        slow.start(1ms);
        timeout.start(2ms);
        blockThread(10ms);
    });
    loop.after(2 * Standstill, [&] { loop.stop(); });
    loop.run();
    CHECK_FALSE(expired);
}

// Guards against a process that ends because the code that handles a signal, such as that of a
// settings file that is read again, throws.
TEST_CASE_FIXTURE(EventLoopFixture, "eventLoop_signalCallbackThrows_loopGoesOn")
{
    loop.onSignal(SIGUSR1, [this] {
        ran.push_back(1);
        throw std::runtime_error("not handled");
    });
    raise(SIGUSR1);
    runUntil(1);
    loop.post([this] { ran.push_back(2); });
    runUntil(2);
}

// Guards against a failure that recurs with every message and fills the log.
TEST_CASE("dispatch_sameSourceFailsAgainAndAgain_linesAreBounded")
{
    int lines = 0;
    std::string line;
    Log::setSink([&](LogLevel, std::string_view it) {
        ++lines;
        line = it;
    });
    const std::uint64_t before = internal::droppedMessages();
    for (int i = 0; i < 10'000; ++i)
        CHECK_FALSE(internal::dispatch("test", [] { throw std::runtime_error("malformed"); }));
    CHECK_FALSE(internal::dispatch("test", [] { throw 1; }));
    Log::setSink({});
    CHECK(lines <= 20);
    // A second field of this name would hide that of the process.
    CHECK(line.find("\"source\":") == line.rfind("\"source\":"));
    CHECK(internal::droppedMessages() - before == 10'001);
}
