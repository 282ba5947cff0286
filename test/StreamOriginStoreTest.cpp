#include "Control/StreamOriginStore.h"
#include "Base/ManualClock.h"
#include "FakeTable.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct StreamOriginStoreFixture
{
    struct Router
    {
        Router(StreamOriginStoreFixture &fixture, const std::string &name,
               std::uint64_t incarnation = 1)
            : store({.table = fixture.table,
                     .clock = fixture.clock,
                     .router = name,
                     .incarnation = incarnation,
                     .writesPerSecond = fixture.writesPerSecond,
                     .routers = [&fixture] { return fixture.routers; },
                     .isReader = [this] { return isReader; },
                     .onRead =
                             [this](std::span<const StreamOrigin> it) {
                                 found.insert(found.end(), it.begin(), it.end());
                             }})
        { }

        bool isReader = false;
        std::vector<StreamOrigin> found;
        StreamOriginStore store;
    };

    /// Polls \a it, which has begun a stream \a interval ago each time, for \a time.
    void playStreams(Router &it, Duration time, Duration interval)
    {
        for (const TimePoint until = clock.now() + time; clock.now() < until;
             clock.advance(interval)) {
            it.store.add(
                    std::vector<StreamOrigin>{{std::to_string(++streams), "svc v1", Lifetime}});
            poll(it);
        }
    }

    void poll(Router &it)
    {
        it.store.poll();
        table.endAll();
    }

    /// \returns the origins that a router \a name which has just started finds.
    std::vector<StreamOrigin> readBy(const std::string &name)
    {
        Router started(*this, name, 2);
        bool isDone = false;
        started.store.read([&] { isDone = true; });
        table.endAll();
        CHECK(isDone);
        return started.found;
    }

    static constexpr Duration Lifetime = 20s;
    ManualClock clock;
    FakeTable table;
    double writesPerSecond = 200;
    int routers = 4;
    int streams = 0;
};

} // namespace

// Guards against streams that no router can continue after all routers were lost.
TEST_CASE_FIXTURE(StreamOriginStoreFixture, "streamOriginStore_allRoutersRestart_originsAreFound")
{
    Router a(*this, "a");
    Router b(*this, "b");
    a.store.add(std::vector<StreamOrigin>{{"s1", "svc v1", Lifetime}, {"s2", "svc v2", Lifetime}});
    b.store.add(std::vector<StreamOrigin>{{"s3", "svc v2", Lifetime}});
    poll(a);
    poll(b);
    std::vector<StreamOrigin> found = readBy("c");
    REQUIRE(found.size() == 3);
    std::sort(found.begin(), found.end(),
              [](const StreamOrigin &x, const StreamOrigin &y) { return x.stream < y.stream; });
    CHECK(found[0].software == "svc v1");
    CHECK(found[1].software == "svc v2");
    CHECK(found[2].software == "svc v2");
}

// Guards against writes that grow with the number of streams or routers beyond the store's rate.
TEST_CASE_FIXTURE(StreamOriginStoreFixture, "streamOriginStore_manyStreamsBegin_writesAreBounded")
{
    for (const int n : {4, 50, 99}) {
        CAPTURE(n);
        routers = n;
        Router a(*this, "a");
        const std::uint64_t before = table.commits;
        playStreams(a, 100s, 10ms);
        const double writesPerSecondOfAll =
                static_cast<double>(table.commits - before) * routers / 100;
        CHECK(writesPerSecondOfAll <= writesPerSecond * StreamOriginStore::WriteShare * 1.1);
        CHECK(writesPerSecondOfAll >= writesPerSecond * StreamOriginStore::WriteShare * 0.7);
    }
}

TEST_CASE_FIXTURE(StreamOriginStoreFixture, "streamOriginStore_fleetIsTooLarge_nothingIsWritten")
{
    routers = 890;
    Router a(*this, "a");
    playStreams(a, 10s, 10ms);
    CHECK(table.commits == 0);
}

TEST_CASE_FIXTURE(StreamOriginStoreFixture,
                  "streamOriginStore_rateIsUnknown_nothingIsWrittenOrRead")
{
    writesPerSecond = 0;
    Router a(*this, "a");
    playStreams(a, 1s, 100ms);
    bool isDone = false;
    a.store.read([&] { isDone = true; });
    CHECK(isDone);
    CHECK(table.pending.empty());
    CHECK(table.commits == 0);
}

// Guards against rows that stay in the store for good.
TEST_CASE_FIXTURE(StreamOriginStoreFixture, "streamOriginStore_streamsExpire_rowsAreRemoved")
{
    Router a(*this, "a");
    playStreams(a, 100s, 100ms);
    // The write share allows ten rows a second.
    CHECK(table.rows.size() <= 10 * 30);
    while (a.store.nextDeadline() != TimePoint::max()) {
        clock.advance(1s);
        poll(a);
    }
    CHECK(table.rows.empty());
}

TEST_CASE_FIXTURE(StreamOriginStoreFixture, "streamOriginStore_routerIsLost_itsRowsAreRemoved")
{
    {
        Router lost(*this, "lost");
        playStreams(lost, 2s, 100ms);
    }
    REQUIRE_FALSE(table.rows.empty());
    Router reader(*this, "reader");
    reader.isReader = true;
    playStreams(reader, 1s, 100ms);
    CHECK_FALSE(reader.found.empty());
    for (int i = 0; i < 60; ++i) {
        clock.advance(1s);
        poll(reader);
    }
    CHECK(table.rows.empty());
}

// Guards against a restarted router that removes or replaces what it wrote before, while callers
// still resume these streams.
TEST_CASE_FIXTURE(StreamOriginStoreFixture, "streamOriginStore_routerRestarts_earlierRowsStay")
{
    {
        Router before(*this, "a", 1);
        before.store.add(std::vector<StreamOrigin>{{"old", "svc v1", Lifetime}});
        poll(before);
    }
    Router after(*this, "a", 2);
    playStreams(after, Lifetime - 1s, 100ms);
    const std::vector<StreamOrigin> found = readBy("b");
    CHECK(std::any_of(found.begin(), found.end(),
                      [](const StreamOrigin &it) { return it.stream == "old"; }));
}

// Guards against origins that are lost because the store is unavailable for a moment.
TEST_CASE_FIXTURE(StreamOriginStoreFixture, "streamOriginStore_writeFails_isWrittenLater")
{
    for (const FakeTable::Fate fate : {FakeTable::Fate::Refused, FakeTable::Fate::AnswerLost}) {
        table.rows.clear();
        Router a(*this, "a");
        a.store.add(std::vector<StreamOrigin>{{"s", "svc v1", Lifetime}});
        a.store.poll();
        while (!table.pending.empty())
            table.end(0, fate);
        clock.advance(2s);
        poll(a);
        const std::vector<StreamOrigin> found = readBy("b");
        REQUIRE_FALSE(found.empty());
        CHECK(found.front().stream == "s");
        CHECK(found.front().lifetime <= Lifetime);
    }
}

// Guards against a call to the store for each stream that is resumed.
TEST_CASE_FIXTURE(StreamOriginStoreFixture, "streamOriginStore_manyStreamsAreResumed_readsOnce")
{
    Router a(*this, "a");
    int done = 0;
    for (int i = 0; i < 100; ++i)
        a.store.read([&] { ++done; });
    CHECK(table.pending.size() == 1);
    CHECK(done == 0);
    table.endAll();
    CHECK(done == 100);
    a.store.read([&] { ++done; });
    CHECK(table.pending.empty());
    CHECK(done == 101);
}

// Guards against callers that wait for a store that doesn't answer, and against many calls to it.
TEST_CASE_FIXTURE(StreamOriginStoreFixture, "streamOriginStore_readFails_isReadAgain")
{
    Router a(*this, "a");
    int done = 0;
    a.store.read([&] { ++done; });
    table.end(0, FakeTable::Fate::Refused);
    CHECK(done == 1);
    a.store.read([&] { ++done; });
    CHECK(table.pending.empty());
    CHECK(done == 2);
    clock.advance(1s);
    a.store.read([&] { ++done; });
    CHECK(table.pending.size() == 1);
}

TEST_CASE_FIXTURE(StreamOriginStoreFixture, "streamOriginStore_rowIsMalformed_othersAreTaken")
{
    Router a(*this, "a");
    a.store.add(std::vector<StreamOrigin>{{"s", "svc v1", Lifetime}});
    poll(a);
    for (const char *it : {"", "{}", "stream-origins ", "stream-origins []",
                           R"(stream-origins {"s":[["x",7,1]],"v":["svc v1"]})",
                           R"(stream-origins {"s":[["x",0,1e400]],"v":["svc v1"]})"})
        table.rows[std::string("stream-origins/z/") + it] = {
                .key = std::string("stream-origins/z/") + it, .value = it, .version = 1};
    const std::vector<StreamOrigin> found = readBy("b");
    REQUIRE(found.size() == 1);
    CHECK(found.front().stream == "s");
}
