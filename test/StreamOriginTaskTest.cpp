#include "Net/StreamOriginTask.h"
#include "Base/ManualClock.h"

#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// A router with three others, whose answers and silence the test determines.
struct StreamOriginTaskFixture
{
    using Answered = std::function<void(Result<HttpAnswer>)>;

    /// A router that has watched the service for long enough.
    static StreamOriginReport watcher(const std::set<std::string> &candidates, Duration listAge)
    {
        return {.candidates = candidates,
                .observedFor = 60s,
                .listAge = listAge,
                .rememberedFor = 60s};
    }

    void find(const std::string &stream = "s")
    {
        task.find({.stream = stream, .services = {"svc"}, .window = 30s},
                  [this](std::optional<std::string> software) {
                      ++ends;
                      found = std::move(software);
                  });
    }

    void answer(const StreamOriginReport &report)
    {
        takeAsked()(HttpAnswer{.head = {.status = 200},
                               .body = StreamOriginCodec::encodeReport(report)});
    }

    void passTime(Duration time)
    {
        clock.advance(time);
        own.listAge += time;
        if (pollAt <= clock.now()) {
            pollAt = TimePoint::max();
            task.poll();
        }
    }

    /// A list that names \a candidates is read from the store now.
    void readList(const std::set<std::string> &candidates)
    {
        passTime(1ms);
        own.candidates = candidates;
        own.listAge = Duration::zero();
        task.listRead();
    }

    /// The oldest question that is open gets no answer.
    void staySilent() { takeAsked()(Error{.reason = Reason::UpstreamTimeout}); }

    Answered takeAsked()
    {
        REQUIRE(!asked.empty());
        Answered out = std::move(asked.front());
        asked.erase(asked.begin());
        return out;
    }

    static constexpr const char *Known = "svc v1";

    ManualClock clock;
    Metrics metrics;
    StreamOriginReport own = watcher({Known}, 1600ms);
    std::vector<Answered> asked;
    std::vector<std::string> keepers = {"a", "b", "c"};
    std::function<void()> storeRead; ///< Ends the read of the stored origins.
    TimePoint pollAt = TimePoint::max();
    int refreshes = 0;
    int ends = 0;
    std::optional<std::string> found;
    StreamOriginTask task{
            {.clock = clock,
             .metrics = metrics,
             .fetch = [this](const HttpCall &, Answered done) { asked.push_back(std::move(done)); },
             .ownReport = [this](const StreamOriginQuestion &) { return own; },
             .keepers = [this](std::string_view, std::size_t) { return keepers; },
             .readStored = [this](std::function<void()> done) { storeRead = std::move(done); },
             .refreshList = [this] { ++refreshes; },
             .pollAfter = [this](Duration delay) { pollAt = clock.now() + delay; },
             .sign = [](std::string_view) { return std::string(); },
             .verify = [](std::string_view, std::string_view) { return true; }}};
};

} // namespace

// Guards against a router that is cut off and takes its list of replicas, read before a new version
// was registered, for a proof of the version of a stream.
TEST_CASE_FIXTURE(StreamOriginTaskFixture, "streamOriginTask_noKeeperAnswers_oldListProvesNothing")
{
    find();
    for (int i = 0; i < 3; ++i) {
        passTime(50ms);
        staySilent();
    }
    CHECK(ends == 0);
    CHECK(refreshes == 1);
    storeRead();
    CHECK(ends == 0);
    passTime(299ms);
    CHECK(ends == 0);
    passTime(1ms);
    CHECK(ends == 1);
    CHECK_FALSE(found);
}

// Guards against a caller that waits as long as the store is silent.
TEST_CASE_FIXTURE(StreamOriginTaskFixture, "streamOriginTask_storeIsSilent_isRefusedInTime")
{
    find();
    for (int i = 0; i < 3; ++i)
        staySilent();
    passTime(300ms);
    CHECK(ends == 1);
    CHECK_FALSE(found);
    storeRead(); // Late.
    CHECK(ends == 1);
}

// Guards against a caller that waits until its deadline because a timer fired early.
TEST_CASE_FIXTURE(StreamOriginTaskFixture, "streamOriginTask_pollIsEarly_isPolledAgain")
{
    find();
    for (int i = 0; i < 3; ++i)
        staySilent();
    storeRead();
    passTime(298ms);
    pollAt = TimePoint::max();
    task.poll();
    CHECK(ends == 0);
    passTime(1ms);
    CHECK(ends == 0);
    passTime(1ms);
    CHECK(ends == 1);
}

// Guards against a proof by routers that are as much out of touch as this one.
TEST_CASE_FIXTURE(StreamOriginTaskFixture,
                  "streamOriginTask_oneKeeperIsSilent_oldListsProveNothing")
{
    find();
    answer(watcher({Known}, 1500ms));
    answer(watcher({Known}, 1700ms));
    staySilent();
    storeRead();
    CHECK(ends == 0);
    passTime(1s);
    CHECK(ends == 1);
    CHECK_FALSE(found);
}

// Guards against a proof by keepers that have started, or were out of touch, since the stream
// began.
TEST_CASE_FIXTURE(StreamOriginTaskFixture, "streamOriginTask_keeperHasStarted_oldListsProveNothing")
{
    find();
    answer(watcher({Known}, 500ms));
    answer(watcher({Known}, 500ms));
    StreamOriginReport started = watcher({Known}, 500ms);
    started.rememberedFor = 5s;
    answer(started);
    CHECK(ends == 0);
    CHECK(refreshes == 1);
}

TEST_CASE_FIXTURE(StreamOriginTaskFixture, "streamOriginTask_allKeepersAnswer_provesAtOnce")
{
    keepers.emplace_back("d"); // Is asked and keeps nothing.
    find();
    for (int i = 0; i < 3; ++i)
        answer(watcher({Known}, 900ms));
    CHECK(ends == 0);
    staySilent();
    CHECK(ends == 1);
    CHECK(found == Known);
    CHECK(refreshes == 0);
}

TEST_CASE_FIXTURE(StreamOriginTaskFixture, "streamOriginTask_listIsReadAfterTheQuestion_proves")
{
    find();
    for (int i = 0; i < 3; ++i)
        staySilent();
    passTime(5ms);
    storeRead();
    task.listRead(); // A read that began before the question.
    CHECK(ends == 0);
    readList({Known});
    CHECK(ends == 1);
    CHECK(found == Known);
}

TEST_CASE_FIXTURE(StreamOriginTaskFixture, "streamOriginTask_newListNamesAnotherVersion_isRefused")
{
    find();
    for (int i = 0; i < 3; ++i)
        staySilent();
    passTime(5ms);
    storeRead();
    readList({Known, "svc v2"});
    CHECK(ends == 1);
    CHECK_FALSE(found);
}

// Guards against waiting for a list that can't prove anything.
TEST_CASE_FIXTURE(StreamOriginTaskFixture, "streamOriginTask_severalVersionsServe_isRefusedAtOnce")
{
    find();
    answer(watcher({Known, "svc v2"}, 500ms));
    staySilent();
    staySilent();
    CHECK(ends == 0);
    storeRead();
    CHECK(ends == 1);
    CHECK_FALSE(found);
    CHECK(refreshes == 0);
}

TEST_CASE_FIXTURE(StreamOriginTaskFixture, "streamOriginTask_storeHasTheOrigin_isFound")
{
    find();
    for (int i = 0; i < 3; ++i)
        staySilent();
    own.software = "svc v2";
    storeRead();
    CHECK(ends == 1);
    CHECK(found == "svc v2");
}

// Guards against an absent key, or no other router, being taken for keepers that don't know.
TEST_CASE_FIXTURE(StreamOriginTaskFixture, "streamOriginTask_noKeepersAreKnown_needsANewList")
{
    find("");
    for (int i = 0; i < 3; ++i)
        answer(watcher({Known}, 500ms));
    CHECK(ends == 0);
    readList({Known});
    CHECK(ends == 1);
    keepers.clear();
    own.listAge = 500ms;
    find();
    storeRead();
    CHECK(ends == 1);
    readList({Known});
    CHECK(ends == 2);
    CHECK(found == Known);
}
