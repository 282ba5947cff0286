#include "Net/EventLoop.h"
#include "fleet/EntryFleet.h"
#include "fleet/Fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <iterator>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using standin::EntryFleet;
using standin::Fleet;

namespace {

constexpr int Events = 20;
constexpr std::size_t EventsBeforeLeaving = 2;

/// \brief A stream that its caller leaves and resumes.
struct Stream
{
    std::string id;
    std::vector<std::string> versions = {}; ///< Of the complete events.
    int status = 0; ///< Of the last attempt; 0: no answer.
    Duration waited = Duration::zero(); ///< Until the last attempt's first byte or its end.
    bool isComplete = false;

    bool isMixed() const { return std::set(versions.begin(), versions.end()).size() > 1; }
};

/// \param leaveAfter number of events after which the caller leaves; 0: it stays.
void readEvents(const std::string &address, HttpHeaders headers, std::size_t leaveAfter,
                Stream &stream)
{
    EventLoop loop;
    HttpClient client(loop);
    std::string text;
    bool isFinished = false;
    stream.status = 0;
    headers.emplace_back("Host", EntryFleet::Host);
    headers.emplace_back("X-Request-Deadline", "3000");
    headers.emplace_back("Authorization", std::string("Bearer ") + EntryFleet::Key);
    const TimePoint began = loop.now();
    const HttpCallPtr call = client.send(
            {.address = address,
             .target = fmt::format("/stream/a?events={}", Events),
             .headers = std::move(headers),
             .timeout = 3500ms,
             .freshConnection = true},
            {.onHead =
                     [&](const HttpHead &it) {
                         stream.status = it.status;
                         stream.waited = loop.now() - began;
                     },
             .onData =
                     [&](std::string_view data) {
                         text += data;
                         std::size_t end = 0;
                         while (stream.status == 200
                                && (end = text.find("\n\n")) != std::string::npos) {
                             const std::string event = text.substr(0, end);
                             stream.versions.push_back(event.substr(event.rfind(' ') + 1));
                             text.erase(0, end + 2);
                         }
                         isFinished = isFinished
                                 || (leaveAfter > 0 && stream.versions.size() >= leaveAfter);
                     },
             .onEnd =
                     [&](const Result<void> &result) {
                         stream.isComplete = result && stream.status == 200;
                         isFinished = true;
                     }});
    while (!isFinished)
        loop.runOnce();
}

/// Six routers and four replicas of streams at one version, until a second version joins while one
/// router, X, is out of step.
struct StaleOriginFixture
{
    static constexpr std::size_t Routers = 6;
    static constexpr std::size_t X = Routers - 1;
    static constexpr std::size_t Replicas = 4;
    StaleOriginFixture()
    {
        fleet.start();
        // X has watched the services for longer than a stream can last.
        std::this_thread::sleep_for(WindowOfRoute);
    }

    void signalOthers(int number)
    {
        for (std::size_t i = 0; i < X; ++i)
            fleet.router(i).signal(number);
    }

    /// Replaces two of the four replicas of streams by replicas of \a version.
    void replaceReplicas(const std::string &version)
    {
        for (std::size_t i = 2 * Replicas - 2; i < 2 * Replicas; ++i) {
            fleet.setVersion(i, version);
            fleet.restartReplica(i);
        }
    }

    /// Begins streams at all routers but X, which their callers leave.
    std::vector<Stream> beginStreams(const std::string &prefix, std::size_t n)
    {
        std::vector<Stream> out(n);
        std::vector<std::thread> callers;
        callers.reserve(n);
        for (std::size_t i = 0; i < n; ++i) {
            out[i].id = fmt::format("{}{}", prefix, i);
            callers.emplace_back([this, i, &out] {
                readEvents(fleet.callerAddress(i % X), {{"X-Request-Id", out[i].id}},
                           EventsBeforeLeaving, out[i]);
            });
        }
        for (std::thread &it : callers)
            it.join();
        std::erase_if(out, [](const Stream &it) { return it.versions.empty(); });
        return out;
    }

    /// Resumes \a streams at router \a router, all at once.
    void resume(std::vector<Stream> &streams, std::size_t router)
    {
        std::vector<std::thread> callers;
        callers.reserve(streams.size());
        for (Stream &it : streams) {
            callers.emplace_back([this, &it, router] {
                readEvents(fleet.callerAddress(router),
                           {{"X-Request-Id", fmt::format("{}-{}", it.id, ++resumptions)},
                            {"Last-Event-Id", fmt::format("{}", it.versions.size())},
                            {"Resumes", it.id}},
                           0, it);
            });
        }
        for (std::thread &it : callers)
            it.join();
    }

    /// Resumes those of \a streams that are not complete at \a router, until all are.
    /// \returns whether that happened in time.
    bool resumeUntilComplete(std::vector<Stream> &streams, std::size_t router)
    {
        return Fleet::waitFor([&] {
            std::vector<Stream> left;
            for (Stream &it : streams) {
                if (!it.isComplete)
                    left.push_back(std::exchange(it, {}));
            }
            std::erase_if(streams, [](const Stream &it) { return it.id.empty(); });
            resume(left, router);
            std::move(left.begin(), left.end(), std::back_inserter(streams));
            return countComplete(streams) == streams.size();
        });
    }

    /// Cuts X off from the other routers and, by \a faults, from the store, while a new version
    /// joins at the others. Streams that began there are resumed at X.
    void playCutOff(const std::string &faults, const std::string &end)
    {
        // Neither X nor the others run while the other side does, so that no message passes between
        // them; the store is reached through a proxy.
        fleet.setStoreProxyFaults(X, faults);
        fleet.router(X).signal(SIGSTOP);
        replaceReplicas("v2");
        std::this_thread::sleep_for(700ms);
        std::vector<Stream> streams = beginStreams("a", 40);
        REQUIRE(countNew(streams) >= 5);
        signalOthers(SIGSTOP);
        fleet.router(X).signal(SIGCONT);
        resume(streams, X);
        report("cut off", streams);
        CHECK(countMixed(streams) == 0);

        // A refusal ends with the cause.
        fleet.setStoreProxyFaults(X, end);
        signalOthers(SIGCONT);
        CHECK(resumeUntilComplete(streams, X));
        report("reached again", streams);
        CHECK(countMixed(streams) == 0);
    }

    static std::size_t countMixed(const std::vector<Stream> &streams)
    {
        return static_cast<std::size_t>(std::count_if(
                streams.begin(), streams.end(), [](const Stream &it) { return it.isMixed(); }));
    }

    static std::size_t countComplete(const std::vector<Stream> &streams)
    {
        return static_cast<std::size_t>(std::count_if(
                streams.begin(), streams.end(), [](const Stream &it) { return it.isComplete; }));
    }

    static std::size_t countNew(const std::vector<Stream> &streams)
    {
        return static_cast<std::size_t>(
                std::count_if(streams.begin(), streams.end(),
                              [](const Stream &it) { return it.versions.front() == "v2"; }));
    }

    void report(const char *what, const std::vector<Stream> &streams) const
    {
        Duration longest = Duration::zero();
        for (const Stream &it : streams)
            longest = std::max(longest, it.waited);
        MESSAGE(fmt::format("{}: {} streams, {} of the new version, {} complete, {} mixed; "
                            "longest wait {} ms",
                            what, streams.size(), countNew(streams), countComplete(streams),
                            countMixed(streams), longest / 1ms));
    }

    /// The timeout of the route and the time in which callers return. \sa StreamOriginQuestion
    static constexpr Duration WindowOfRoute = 14s + 200ms;

    EntryFleet fleet{{.binaries = CATKINLOFT_BINARIES,
                      .routers = Routers,
                      .replicas = Replicas,
                      .versions = {"v1"}}};
    std::atomic<int> resumptions = 0;
};

} // namespace

// Guards against a router that continues a stream of a new version at the old one: it lost the
// store and the other routers before the new version was registered, and takes its list of replicas
// from then for a proof.
TEST_CASE_FIXTURE(StaleOriginFixture,
                  "fleet_newVersionJoinsWhileOneRouterIsCutOff_itContinuesNoStreamAtTheOldOne")
{
    playCutOff(R"({"refuse": true, "cut": true})", R"({"refuse": false})");
}

// Guards against the same while calls to the store get no answer, so that a read of the list never
// ends.
TEST_CASE_FIXTURE(StaleOriginFixture,
                  "fleet_newVersionJoinsWhileTheStoreIsSilent_noStreamIsContinuedAtTheOldOne")
{
    playCutOff(R"({"partition": {"how": "accept_silent", "sources": ["127.0.1.15"]}})",
               R"({"partition": {"how": "accept_silent", "sources": []}})");
}

// Guards against a router that stands still while a new version joins and, when it wakes, continues
// streams of that version at the old one.
TEST_CASE_FIXTURE(StaleOriginFixture,
                  "fleet_newVersionJoinsWhileOneRouterStandsStill_itContinuesNoStreamAtTheOldOne")
{
    for (const Duration pause : {600ms, 1500ms, 2500ms}) {
        CAPTURE(pause / 1ms);
        fleet.router(X).signal(SIGSTOP);
        const auto until = std::chrono::steady_clock::now() + pause;
        replaceReplicas("v2");
        std::this_thread::sleep_for(500ms);
        std::vector<Stream> streams = beginStreams(fmt::format("s{}-", pause / 1ms), 12);
        std::thread resuming([&] { resume(streams, X); });
        std::this_thread::sleep_until(until);
        fleet.router(X).signal(SIGCONT);
        resuming.join();
        report("stood still", streams);
        CHECK(countMixed(streams) == 0);
        // X may have to read of the new replicas first.
        CHECK(resumeUntilComplete(streams, X));
        CHECK(countMixed(streams) == 0);
        replaceReplicas("v1");
        std::this_thread::sleep_for(WindowOfRoute);
    }
}

// Guards against resumptions that wait or are refused while one version serves and all routers
// answer.
TEST_CASE_FIXTURE(StaleOriginFixture, "fleet_oneVersionServes_streamsAreResumedAtOnce")
{
    std::vector<Stream> streams = beginStreams("a", 30);
    resume(streams, X);
    report("one version", streams);
    CHECK(countComplete(streams) == streams.size());
}

// Guards against refused resumptions while one version serves and a router that began streams, and
// keeps the origins of others, is lost.
TEST_CASE_FIXTURE(StaleOriginFixture, "fleet_oneVersionServesAndARouterIsLost_streamsAreResumed")
{
    std::vector<Stream> streams = beginStreams("a", 30);
    fleet.router(0).signal(SIGKILL);
    fleet.router(0).wait();
    resume(streams, X);
    report("killed", streams);
    CHECK(countComplete(streams) == streams.size());
    streams = beginStreams("b", 40);
    fleet.router(1).signal(SIGSTOP);
    resume(streams, X);
    report("stopped", streams);
    CHECK(countComplete(streams) == streams.size());
    fleet.router(1).signal(SIGCONT);
}
