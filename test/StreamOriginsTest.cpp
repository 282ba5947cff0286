#include "Decide/StreamOrigins.h"
#include "Base/ManualClock.h"
#include "Control/StreamOriginCodec.h"
#include "Decide/SoftwareHistory.h"

#include <doctest/doctest.h>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct StreamOriginsFixture
{
    ManualClock clock;
    int announcements = 0;
    StreamOrigins origins{
            {.clock = clock, .maxRecords = 3, .announceNow = [this] { ++announcements; }}};
};

ReplicaRecord replica(const std::string &id, const std::string &version)
{
    return {.id = id, .service = "svc", .version = version};
}

constexpr Duration Window = 30s;

/// A router that has watched the service for long enough, with a fresh list.
StreamOriginReport watcher(const std::set<std::string> &candidates)
{
    return {.candidates = candidates, .observedFor = 60s, .listAge = 1s};
}

/// \returns the origin that \a reports prove if a list was read after the caller resumed the
/// stream.
std::optional<std::string> prove(const std::vector<StreamOriginReport> &reports)
{
    return proveOrigin({.reports = reports, .window = Window, .isListRead = true});
}

} // namespace

TEST_CASE_FIXTURE(StreamOriginsFixture, "streamOrigins_ambiguousStream_isAnnouncedOnce")
{
    origins.begin({"a", "svc v1", 20s}, true);
    CHECK(announcements == 1);
    const std::vector<StreamOrigin> told = origins.takeAnnouncements();
    REQUIRE(told.size() == 1);
    CHECK(told[0].stream == "a");
    CHECK(told[0].software == "svc v1");
    CHECK(told[0].lifetime == 20s);
    CHECK(origins.takeAnnouncements().empty());
}

// Guards against streams whose origin only their router knows when a second version is registered.
TEST_CASE_FIXTURE(StreamOriginsFixture, "streamOrigins_secondVersionIsRegistered_announcesEarlier")
{
    origins.begin({"a", "svc v1", 20s}, false);
    origins.merge(std::vector<StreamOrigin>{{"b", "svc v1", 20s}});
    CHECK(origins.takeAnnouncements().empty());
    origins.announceAll();
    REQUIRE(origins.takeAnnouncements().size() == 1); // The other router announces its own.
    origins.announceAll();
    CHECK(origins.takeAnnouncements().empty());
}

TEST_CASE_FIXTURE(StreamOriginsFixture, "streamOrigins_recordExpires_isUnknown")
{
    origins.begin({"a", "svc v1", 20s}, true);
    clock.advance(19s);
    CHECK(origins.find("a") == "svc v1");
    origins.begin({"a", "svc v1", 20s}, true); // The caller has resumed it.
    clock.advance(19s);
    CHECK(origins.find("a") == "svc v1");
    clock.advance(1s);
    CHECK_FALSE(origins.find("a"));
    CHECK(origins.takeAnnouncements().empty());
}

// Guards against a caller that binds the stream of another one to a different version.
TEST_CASE_FIXTURE(StreamOriginsFixture, "streamOrigins_sameIdAtAnotherVersion_keepsTheFirst")
{
    origins.begin({"a", "svc v1", 20s}, true);
    origins.takeAnnouncements();
    origins.begin({"a", "svc v2", 60s}, true);
    origins.merge(std::vector<StreamOrigin>{{"a", "svc v2", 60s}});
    CHECK(origins.find("a") == "svc v1");
    CHECK(origins.takeAnnouncements().empty());
    clock.advance(20s);
    CHECK_FALSE(origins.find("a"));
}

TEST_CASE_FIXTURE(StreamOriginsFixture, "streamOrigins_tooManyRecords_dropsThoseThatExpireFirst")
{
    origins.begin({"b", "svc v1", 10s}, false);
    origins.begin({"a", "svc v1", 5s}, false);
    origins.begin({"c", "svc v1", 20s}, false);
    origins.begin({"d", "svc v1", 20s}, false);
    CHECK(origins.size() == 3);
    CHECK_FALSE(origins.find("a"));
    CHECK(origins.find("b"));
    CHECK(origins.find("d"));
}

TEST_CASE("streamOrigins_keys_differByWorkspaceAndId")
{
    const std::string key = StreamOrigins::keyOf("archive", "r1");
    CHECK(key == StreamOrigins::keyOf("archive", "r1"));
    CHECK(key != StreamOrigins::keyOf("archive", "r2"));
    CHECK(key != StreamOrigins::keyOf("other", "r1"));
    CHECK(StreamOrigins::keyOf("ab", "c") != StreamOrigins::keyOf("a", "bc"));
}

TEST_CASE("proveOrigin_oneRouterKnows_isProven")
{
    const std::vector<StreamOriginReport> reports = {
            watcher({"svc v1", "svc v2"}), {.software = "svc v2"}, watcher({"svc v1"})};
    CHECK(prove(reports) == "svc v2");
    CHECK(proveOrigin({.reports = reports, .window = Window}) == "svc v2");
}

// Guards against guessing: what can't be proven must be refused.
TEST_CASE("proveOrigin_nobodyKnows_needsASingleVersionForTheWholeWindow")
{
    CHECK(prove({watcher({"svc v1"})}) == "svc v1");
    CHECK_FALSE(prove({}));
    CHECK_FALSE(prove({watcher({})}));
    CHECK_FALSE(prove({watcher({"svc v1", "svc v2"})}));
    // Another router knows of a second version.
    CHECK_FALSE(prove({watcher({"svc v1"}), watcher({"svc v1", "svc v2"})}));
    StreamOriginReport started = watcher({"svc v1"});
    started.observedFor = 5s;
    CHECK_FALSE(prove({started}));
    CHECK(prove({started, watcher({"svc v1"})}) == "svc v1");
    StreamOriginReport isolated = watcher({"svc v1"});
    isolated.listAge = StreamOrigins::MaxListAge + 1ms;
    CHECK_FALSE(prove({isolated}));
    // Two routers that contradict each other.
    CHECK_FALSE(prove({{.software = "svc v1"}, {.software = "svc v2"}}));
}

// Guards against a proof by lists of replicas that were read before the new version of the stream
// was registered.
TEST_CASE("proveOrigin_noListIsReadAfterTheResumption_needsTheAnswersOfAllKeepers")
{
    const std::vector reports = {watcher({"svc v1"}), watcher({"svc v1"}), watcher({"svc v1"})};
    StreamOriginEvidence evidence{.reports = reports, .window = Window};
    CHECK_FALSE(proveOrigin(evidence));
    evidence.keepers = 3;
    evidence.answeredKeepers = 2;
    CHECK_FALSE(proveOrigin(evidence));
    evidence.answeredKeepers = 3;
    CHECK(proveOrigin(evidence) == "svc v1");
    evidence.answeredKeepers = 2;
    evidence.isListRead = true;
    CHECK(proveOrigin(evidence) == "svc v1");
}

TEST_CASE("wouldKnowOrigin_routerStartedOrIsOutOfTouch_isFalse")
{
    StreamOriginReport report = watcher({"svc v1"});
    CHECK_FALSE(wouldKnowOrigin(report, Window));
    report.rememberedFor = Window;
    CHECK(wouldKnowOrigin(report, Window));
    report.listAge = StreamOrigins::MaxListAge + 1ms;
    CHECK_FALSE(wouldKnowOrigin(report, Window));
}

// Guards against a router that dropped an origin and answers as if there had been none.
TEST_CASE_FIXTURE(StreamOriginsFixture, "streamOrigins_recordIsDroppedEarly_remembersSinceThen")
{
    clock.advance(40s);
    CHECK(origins.rememberedFor() == 40s);
    for (const char *it : {"a", "b", "c"})
        origins.begin({it, "svc v1", 5s}, false);
    clock.advance(5s);
    origins.begin({"d", "svc v1", 5s}, false);
    CHECK(origins.rememberedFor() == 45s); // The others had expired.
    for (const char *it : {"e", "f", "g"})
        origins.begin({it, "svc v1", 5s}, false);
    CHECK(origins.rememberedFor() == Duration::zero());
}

TEST_CASE("softwareHistory_versionIsGone_isSeenForTheWindow")
{
    ManualClock clock;
    SoftwareHistory history(clock);
    CHECK(history.observedFor() == Duration::zero());
    CHECK(history.seen("svc", Window).empty());
    history.update(std::vector{replica("a", "v1"), replica("b", "v2")});
    clock.advance(10s);
    CHECK(history.observedFor() == 10s);
    history.update(std::vector{replica("a", "v1")});
    clock.advance(Window);
    CHECK(history.seen("svc", Window) == std::set<std::string>{"svc v1", "svc v2"});
    clock.advance(1ms);
    CHECK(history.seen("svc", Window) == std::set<std::string>{"svc v1"});
    CHECK(history.seen("other", Window).empty());
}

TEST_CASE("softwareHistory_rowsOfTheStore_completeTheHistory")
{
    ManualClock clock;
    SoftwareHistory before(clock);
    before.update(std::vector{replica("a", "v1"), replica("b", "v2")});
    CHECK_FALSE(before.isComplete());
    before.update(std::vector{replica("b", "v2")});
    clock.advance(20s);
    SoftwareHistory restarted(clock);
    restarted.adopt(before.rows());
    restarted.update(std::vector{replica("c", "v3")});
    CHECK(restarted.isComplete());
    CHECK(restarted.observedFor() >= Window);
    // When v2 was removed is not known.
    CHECK(restarted.seen("svc", Window) == std::set<std::string>{"svc v1", "svc v2", "svc v3"});
    clock.advance(Window - 20s + 1ms);
    CHECK(restarted.seen("svc", Window) == std::set<std::string>{"svc v2", "svc v3"});
    clock.advance(20s);
    CHECK(restarted.seen("svc", Window) == std::set<std::string>{"svc v3"});
}

TEST_CASE("streamOriginCodec_messages_areReadBack")
{
    const std::vector<StreamOrigin> origins = {
            {"a", "svc v1", 20s}, {"b", "svc v2", 1500ms}, {"c", "svc v1", 3s}};
    const std::string datagram = StreamOriginCodec::encodeOrigins(origins);
    CHECK(StreamOriginCodec::isOrigins(datagram));
    const auto back = StreamOriginCodec::decodeOrigins(datagram);
    REQUIRE(back);
    REQUIRE(back.value().size() == 3);
    CHECK(back.value()[1].stream == "b");
    CHECK(back.value()[1].lifetime == 1500ms);
    CHECK(back.value()[2].software == "svc v1");

    const auto question = StreamOriginCodec::decodeQuestion(
            StreamOriginCodec::encodeQuestion({"a", {"svc", "other"}, 30s}));
    REQUIRE(question);
    CHECK(question.value().services == std::vector<std::string>{"svc", "other"});
    CHECK(question.value().window == 30s);

    StreamOriginReport report = watcher({"svc v1", "svc v2"});
    report.listAge = Duration::max();
    report.rememberedFor = 40s;
    const auto read = StreamOriginCodec::decodeReport(StreamOriginCodec::encodeReport(report));
    REQUIRE(read);
    CHECK_FALSE(read.value().software);
    CHECK(read.value().candidates == report.candidates);
    CHECK(read.value().observedFor == 60s);
    CHECK(read.value().listAge > StreamOrigins::MaxListAge);
    CHECK(read.value().rememberedFor == 40s);
}

TEST_CASE("streamOriginCodec_invalidInput_isRefused")
{
    for (const char *it : {"", "x", "[]", R"({"s":[["a",1,5]],"v":["x"]})", R"({"s":[["a",0]]})",
                           R"({"s":[[{},0,1]],"v":["x"]})"}) {
        CAPTURE(it);
        CHECK_FALSE(StreamOriginCodec::decodeOrigins(it));
        CHECK_FALSE(StreamOriginCodec::decodeOrigins(std::string("stream-origins ") + it));
    }
    CHECK_FALSE(StreamOriginCodec::decodeQuestion(R"({"window_ms":"x"})"));
    CHECK_FALSE(StreamOriginCodec::decodeReport("nonsense"));
}

TEST_CASE("streamOriginCodec_fullDatagram_fitsIntoOnePacket")
{
    std::vector<StreamOrigin> origins;
    for (std::size_t i = 0; i < StreamOriginCodec::MaxOrigins; ++i)
        origins.push_back({StreamOrigins::keyOf("archive", fmt::format("r{}", i)),
                           "catkin-readers v1.1", 25s});
    CHECK(StreamOriginCodec::encodeOrigins(origins).size() <= 1200);
}
