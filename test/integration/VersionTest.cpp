#include "Net/EventLoop.h"
#include "fleet/EntryFleet.h"
#include "fleet/Fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using standin::EntryFleet;
using standin::Fleet;

namespace {

constexpr int Events = 40;
constexpr int EventsBeforeLeaving = 4;

/// \brief Receives the events of one attempt of a stream.
struct StreamAttempt
{
    std::vector<std::string> versions = {}; ///< Of the complete events.
    bool isComplete = false;
    int status = 0; ///< 0: no answer.
};

void readEvents(std::string &text, std::vector<std::string> &versions)
{
    for (std::size_t end = text.find("\n\n"); end != std::string::npos; end = text.find("\n\n")) {
        const std::string event = text.substr(0, end);
        versions.push_back(event.substr(event.rfind(' ') + 1));
        text.erase(0, end + 2);
    }
}

/// \param leaveAfter number of events after which the caller leaves; 0: it stays.
/// \param events number of events of the whole stream.
StreamAttempt readStream(const std::string &address, HttpHeaders headers, std::size_t leaveAfter,
                         int events = Events)
{
    StreamAttempt out;
    EventLoop loop;
    HttpClient client(loop);
    std::string text;
    bool finished = false;
    headers.emplace_back("Host", EntryFleet::Host);
    headers.emplace_back("X-Request-Deadline", "3000");
    headers.emplace_back("Authorization", std::string("Bearer ") + EntryFleet::Key);
    HttpCallPtr call = client.send({.address = address,
                                    .target = fmt::format("/stream/a?events={}", events),
                                    .headers = std::move(headers),
                                    .timeout = 3500ms,
                                    .freshConnection = true},
                                   {.onHead = [&](const HttpHead &it) { out.status = it.status; },
                                    .onData =
                                            [&](std::string_view data) {
                                                text += data;
                                                if (out.status == 200)
                                                    readEvents(text, out.versions);
                                                finished = finished
                                                        || (leaveAfter > 0
                                                            && out.versions.size() >= leaveAfter);
                                            },
                                    .onEnd =
                                            [&](const Result<void> &result) {
                                                out.isComplete = result && out.status == 200;
                                                finished = true;
                                            }});
    while (!finished)
        loop.runOnce();
    call.reset();
    return out;
}

/// Four routers, and three replicas of each of two software versions, of which two serve at any
/// time. Replicas crash in turn, and some callers leave their streams after a few events and resume
/// them at another router.
struct VersionFixture
{
    struct Count
    {
        int streams = 0;
        int mixed = 0; ///< Streams with events of several versions.
        int begun = 0; ///< First attempts that brought an event.
        int resumptions = 0;
        int resumed = 0; ///< Resumptions that brought an event.
    };

    VersionFixture() { fleet.start(); }

    /// Plays one caller's stream, with up to \a Resumptions attempts to resume it.
    void playStream(std::size_t n)
    {
        constexpr int Resumptions = 3;
        constexpr std::size_t LeavingShare = 5;
        const std::string first = fmt::format("v{}", n);
        const bool leaves = n % LeavingShare < 2;
        const std::size_t router = n % fleet.routerCount();
        StreamAttempt attempt = readStream(fleet.callerAddress(router), {{"X-Request-Id", first}},
                                           leaves ? EventsBeforeLeaving : 0);
        std::vector<std::string> versions = attempt.versions;
        const bool hasBegun = !versions.empty();
        int resumptions = 0;
        int resumed = 0;
        while (hasBegun && !attempt.isComplete && resumptions < Resumptions) {
            ++resumptions;
            attempt =
                    readStream(fleet.callerAddress((router + static_cast<std::size_t>(resumptions))
                                                   % fleet.routerCount()),
                               {{"X-Request-Id", fmt::format("{}-{}", first, resumptions)},
                                {"Last-Event-Id", fmt::format("{}", versions.size())},
                                {"Resumes", first}},
                               0);
            resumed += attempt.versions.empty() ? 0 : 1;
            versions.insert(versions.end(), attempt.versions.begin(), attempt.versions.end());
            if (attempt.versions.empty())
                std::this_thread::sleep_for(200ms);
        }
        const std::lock_guard lock(mutex);
        ++count.streams;
        count.begun += hasBegun ? 1 : 0;
        count.resumptions += resumptions;
        count.resumed += resumed;
        count.mixed += std::set(versions.begin(), versions.end()).size() > 1 ? 1 : 0;
    }

    /// Plays streams for \a length, and calls \a disturb each \a interval meanwhile.
    void play(Duration length, Duration interval, const std::function<void(int n)> &disturb)
    {
        constexpr std::size_t Callers = 6;
        std::atomic<std::size_t> n = 0;
        const auto until = std::chrono::steady_clock::now() + length;
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < Callers; ++i) {
            callers.emplace_back([&] {
                while (std::chrono::steady_clock::now() < until)
                    playStream(n++);
            });
        }
        for (int i = 0; std::chrono::steady_clock::now() < until; ++i) {
            std::this_thread::sleep_for(interval);
            disturb(i);
            fleet.restartExitedReplicas(200ms);
        }
        for (std::thread &it : callers)
            it.join();
        MESSAGE(fmt::format("{} streams, {} mixed, {} begun; {} resumptions, {} went on",
                            count.streams, count.mixed, count.begun, count.resumptions,
                            count.resumed));
    }

    /// Crashes one replica of streams; the replicas of calls come first.
    void crashReplica(int n)
    {
        const std::size_t half = fleet.replicaCount() / 2;
        fleet.replica(half + static_cast<std::size_t>(n) % half).signal(SIGKILL);
    }

    void restartRouter(std::size_t i)
    {
        fleet.router(i).signal(SIGKILL);
        Fleet::waitFor([&] { return !fleet.router(i).isRunning(); });
        fleet.startRouter(i);
    }

    void requireOneVersionEach() const
    {
        CHECK(count.mixed == 0);
        REQUIRE(count.resumptions >= 12);
        const double begunShare = static_cast<double>(count.begun) / count.streams;
        const double resumedShare = static_cast<double>(count.resumed) / count.resumptions;
        CHECK(resumedShare >= begunShare / 2);
    }

    EntryFleet fleet{{.binaries = CATKINLOFT_BINARIES,
                      .routers = 4,
                      .replicas = 6,
                      .versions = {"v1", "v1.1"}}};
    std::mutex mutex;
    Count count;
};

} // namespace

// Guards against streams that go on at another software version than the one that began them, when
// their replica crashes or when their caller resumes them at another router.
TEST_CASE_FIXTURE(VersionFixture, "fleet_streamsOfTwoVersions_goOnAtTheirOwn")
{
    play(6s, 600ms, [&](int n) { crashReplica(n); });
    requireOneVersionEach();
}

// Guards against routers that forget at which version a stream began when another one is killed.
TEST_CASE_FIXTURE(VersionFixture, "fleet_routersRestartWhileTwoVersionsServe_streamsKeepTheirs")
{
    play(8s, 600ms, [&](int n) {
        crashReplica(n);
        if (n % 4 == 2)
            restartRouter(static_cast<std::size_t>(n / 4) % 3);
    });
    requireOneVersionEach();
}

// Guards against refused resumptions after all routers have restarted while a single version
// serves.
TEST_CASE("fleet_allRoutersRestartWithOneVersion_streamsAreResumed")
{
    EntryFleet fleet({.binaries = CATKINLOFT_BINARIES, .versions = {"v1"}});
    fleet.start();
    // The routers that read the store have written which software serves.
    std::this_thread::sleep_for(2s);
    const StreamAttempt first =
            readStream(fleet.callerAddress(0), {{"X-Request-Id", "a"}}, EventsBeforeLeaving);
    REQUIRE(first.versions.size() >= EventsBeforeLeaving);
    for (std::size_t i = 0; i < fleet.routerCount(); ++i)
        fleet.router(i).signal(SIGKILL);
    for (std::size_t i = 0; i < fleet.routerCount(); ++i) {
        Fleet::waitFor([&] { return !fleet.router(i).isRunning(); });
        fleet.startRouter(i);
    }
    for (std::size_t i = 0; i < fleet.routerCount(); ++i)
        REQUIRE(Fleet::waitFor([&] { return fleet.isReady(i); }));
    const StreamAttempt resumed =
            readStream(fleet.callerAddress(1),
                       {{"X-Request-Id", "b"},
                        {"Last-Event-Id", fmt::format("{}", first.versions.size())},
                        {"Resumes", "a"}},
                       0);
    CHECK(resumed.isComplete);
    CHECK(resumed.versions.size() == Events - first.versions.size());
}

namespace {

/// Replicas of two software versions that all keep running, so that each stream may go on.
struct AllRoutersKilledFixture
{
    AllRoutersKilledFixture() { fleet.start(); }

    /// Reads one stream, which all routers' restart interrupts, and resumes it at other routers.
    void playStream(const std::string &first, std::size_t router)
    {
        constexpr int LongStream = 250;
        constexpr int Tries = 12;
        StreamAttempt attempt =
                readStream(fleet.callerAddress(router), {{"X-Request-Id", first}}, 0, LongStream);
        std::vector<std::string> versions = attempt.versions;
        const bool isTakenUp = !versions.empty() && !attempt.isComplete;
        for (int i = 1; isTakenUp && !attempt.isComplete && i <= Tries; ++i) {
            std::this_thread::sleep_for(200ms);
            attempt = readStream(
                    fleet.callerAddress((router + static_cast<std::size_t>(i)) % Routers),
                    {{"X-Request-Id", fmt::format("{}-{}", first, i)},
                     {"Last-Event-Id", fmt::format("{}", versions.size())},
                     {"Resumes", first}},
                    0, LongStream);
            versions.insert(versions.end(), attempt.versions.begin(), attempt.versions.end());
        }
        const std::lock_guard lock(mutex);
        takenUp += isTakenUp ? 1 : 0;
        wentOn += isTakenUp && attempt.isComplete ? 1 : 0;
        mixed += std::set(versions.begin(), versions.end()).size() > 1 ? 1 : 0;
    }

    /// Kills all routers while streams run that began within half a second, well before.
    void killAllRouters(int round)
    {
        constexpr std::size_t Callers = 20;
        constexpr Duration CallerInterval = 25ms;
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < Callers; ++i) {
            callers.emplace_back(
                    [this, round, i] { playStream(fmt::format("r{}-{}", round, i), i % Routers); });
            std::this_thread::sleep_for(CallerInterval);
        }
        std::this_thread::sleep_for(700ms);
        for (std::size_t i = 0; i < Routers; ++i)
            fleet.router(i).signal(SIGKILL);
        for (std::size_t i = 0; i < Routers; ++i) {
            fleet.router(i).wait();
            fleet.startRouter(i);
        }
        for (std::thread &it : callers)
            it.join();
    }

    static constexpr std::size_t Routers = 4;
    EntryFleet fleet{{.binaries = CATKINLOFT_BINARIES,
                      .routers = Routers,
                      .replicas = 4,
                      .versions = {"v1", "v1.1"}}};
    std::mutex mutex;
    int takenUp = 0; ///< Streams that were interrupted after their first event.
    int wentOn = 0; ///< Of these, those that reached their end.
    int mixed = 0; ///< Streams with events of several versions.
};

} // namespace

// Guards against routers that all restart while two versions serve and no longer know which one
// began a stream: its caller must neither get events of both nor be refused while replicas of the
// right version run.
TEST_CASE_FIXTURE(AllRoutersKilledFixture,
                  "fleet_allRoutersAreKilledWhileTwoVersionsServe_streamsGoOn")
{
    constexpr int Rounds = 3;
    for (int i = 0; i < Rounds; ++i)
        killAllRouters(i);
    MESSAGE(fmt::format("{} streams taken up, {} went on, {} mixed", takenUp, wentOn, mixed));
    REQUIRE(takenUp >= 20);
    CHECK(mixed == 0);
    CHECK(10 * wentOn >= 9 * takenUp);
}
