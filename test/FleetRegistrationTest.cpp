#include "Control/FleetRegistration.h"
#include "FakeTable.h"

#include <doctest/doctest.h>

using namespace catkinloft;

namespace {

struct FleetRegistrationFixture
{
    struct Router
    {
        explicit Router(FakeTable &table, const std::string &name)
            : registration(
                    {.table = table,
                     .random = seededRandom(name.size()),
                     .self = {.name = name,
                              .callerAddress = "10.0.0." + std::to_string(name.size()) + ":1",
                              .peerAddress = "10.0.0." + std::to_string(name.size()) + ":2",
                              .processorShare = 0.12},
                     .onKey = [this](const SharedKey &it) { key = it.secret; },
                     .onRouters = [this](const std::vector<RegisteredRouter> &it) { others = it; },
                     .onSoftware =
                             [this](const std::vector<SoftwareHistory::Row> &it, bool isFirst) {
                                 software = it;
                                 isFirstStart = isFirstStart || isFirst;
                             },
                     .onQuarantine =
                             [this](const std::vector<QuarantineRow> &it) { quarantine = it; }})
        { }

        std::string key;
        std::vector<RegisteredRouter> others;
        std::vector<SoftwareHistory::Row> software;
        std::vector<QuarantineRow> quarantine;
        bool isFirstStart = false;
        FleetRegistration registration;
    };

    void refresh(Router &it)
    {
        it.registration.refresh();
        table.endAll();
    }

    FakeTable table;
    Router a{table, "a"};
    Router bb{table, "bb"};
};

} // namespace

TEST_CASE_FIXTURE(FleetRegistrationFixture,
                  "fleetRegistration_twoRouters_findEachOtherAndShareOneKey")
{
    a.registration.refresh();
    bb.registration.refresh(); // Both find no key and try to create it.
    table.endAll();
    refresh(a);
    CHECK(a.registration.isComplete());
    CHECK(bb.registration.isComplete());
    CHECK_FALSE(a.key.empty());
    CHECK(a.key == bb.key);
    REQUIRE(a.others.size() == 1);
    CHECK(a.others.front().name == "bb");
    CHECK(a.others.front().callerAddress == "10.0.0.2:1");
    CHECK(a.others.front().peerAddress == "10.0.0.2:2");
    CHECK(a.others.front().processorShare == 0.12);
}

TEST_CASE_FIXTURE(FleetRegistrationFixture, "fleetRegistration_storeRefuses_isRetried")
{
    a.registration.refresh();
    table.end(0, FakeTable::Fate::Refused);
    CHECK_FALSE(a.registration.isComplete());
    refresh(a);
    CHECK(a.registration.isComplete());
}

TEST_CASE_FIXTURE(FleetRegistrationFixture,
                  "fleetRegistration_answerToKeyCreationLost_usesTheStoredKey")
{
    a.registration.refresh();
    table.end(0, FakeTable::Fate::Answered);
    table.end(0, FakeTable::Fate::AnswerLost);
    refresh(a);
    refresh(bb);
    CHECK(a.registration.isComplete());
    CHECK(a.key == bb.key);
}

TEST_CASE_FIXTURE(FleetRegistrationFixture, "fleetRegistration_routerLeaves_isNoLongerListed")
{
    refresh(a);
    refresh(bb);
    bb.registration.leave();
    table.endAll();
    refresh(a);
    CHECK(a.others.empty());
}

TEST_CASE_FIXTURE(FleetRegistrationFixture, "fleetRegistration_routerRestarts_makesOneCall")
{
    refresh(a);
    refresh(bb);
    const std::uint64_t written = table.commits;
    Router again(table, "a");
    again.registration.refresh();
    CHECK(table.pending.size() == 1);
    table.end(0, FakeTable::Fate::Answered);
    CHECK(table.pending.empty());
    CHECK(table.commits == written);
    CHECK(again.registration.isComplete());
    CHECK(again.key == a.key);
    CHECK(again.others.size() == 1);
}

TEST_CASE_FIXTURE(FleetRegistrationFixture, "fleetRegistration_ownRowLost_isRestored")
{
    refresh(a);
    table.rows.erase("fleet/router/a");
    refresh(a);
    CHECK(table.rows.contains("fleet/router/a"));
    a.registration.leave();
    table.endAll();
    refresh(a);
    CHECK_FALSE(table.rows.contains("fleet/router/a"));
}

TEST_CASE_FIXTURE(FleetRegistrationFixture, "fleetRegistration_malformedRowsOfOthers_areSkipped")
{
    refresh(a);
    refresh(bb);
    for (const char *it : {"", "no json", "[]", R"({"peer":7})", R"({"peer":["x"]})", "{}",
                           R"({"caller":"10.0.0.9:1","peer":"10.0.0.9:x","processor":1})",
                           R"({"caller":"nowhere","peer":"10.0.0.9:2","processor":1})",
                           R"({"caller":"10.0.0.9:1","peer":"10.0.0.9:2","processor":0})",
                           R"({"caller":"10.0.0.9:1","peer":"10.0.0.9:2","processor":1e999})"})
        table.rows[std::string("fleet/router/") + it] = {
                .key = std::string("fleet/router/") + it, .value = it, .version = 1};
    refresh(a);
    REQUIRE(a.others.size() == 1);
    CHECK(a.others.front().name == "bb");
}

// Guards against routers that can no longer verify each other's heartbeats after the store was
// restored from a copy that is older than their key.
TEST_CASE_FIXTURE(FleetRegistrationFixture, "fleetRegistration_storeLostTheKey_itIsStoredAgain")
{
    refresh(a);
    refresh(bb);
    const std::string key = a.key;
    table.rows.clear();
    refresh(bb);
    CHECK(bb.key == key);
    Router started(table, "ccc");
    refresh(started);
    CHECK(started.key == key);
    refresh(a);
    CHECK(a.key == key);
    CHECK(a.others.size() == 2);
}

TEST_CASE_FIXTURE(FleetRegistrationFixture, "fleetRegistration_anotherKeyWasStored_isAdopted")
{
    refresh(a);
    const std::string key = a.key;
    table.rows.clear();
    Router started(table, "ccc");
    refresh(started);
    CHECK(started.key != key);
    refresh(a);
    CHECK(a.key == started.key);
}

// Guards against routers that all restart and do not know which software served before.
TEST_CASE_FIXTURE(FleetRegistrationFixture, "fleetRegistration_softwareRows_areReadByLaterRouters")
{
    refresh(a);
    CHECK(a.isFirstStart);
    a.registration.writeSoftware(
            {{.service = "svc", .software = "svc v1"}, {.service = "svc", .software = "svc v2"}});
    table.endAll();
    refresh(bb);
    CHECK_FALSE(bb.isFirstStart);
    REQUIRE(bb.software.size() == 2);
    CHECK(bb.software[0].service == "svc");
    CHECK(bb.software[0].software == "svc v1");
    CHECK_FALSE(bb.software[0].goneAt);
    const WallTime goneAt{std::chrono::seconds(1000)};
    bb.registration.writeSoftware({{.service = "svc", .software = "svc v2", .goneAt = goneAt}});
    table.endAll();
    refresh(a);
    REQUIRE(a.software.size() == 1);
    CHECK(a.software[0].software == "svc v2");
    CHECK(a.software[0].goneAt == goneAt);
    // Nothing is written if only the time of removal differs.
    a.registration.writeSoftware({{.service = "svc", .software = "svc v2", .goneAt = WallTime()}});
    CHECK(table.pending.empty());
}

// Guards against routers that all restart and don't know what was held back.
TEST_CASE_FIXTURE(FleetRegistrationFixture,
                  "fleetRegistration_heldRequestIsStored_isReadAtTheNextStart")
{
    refresh(a);
    const QuarantineRow held{.fingerprint = "part:svc:1f",
                             .isHeld = true,
                             .crashes = {{.replica = "i-1", .software = "svc v1", .at = {}}}};
    a.registration.writeQuarantine({held});
    table.endAll();
    refresh(bb);
    REQUIRE(bb.quarantine.size() == 1);
    CHECK(bb.quarantine.front().hasSameEvidence(held));
    CHECK(bb.quarantine.front().isHeld);
    bb.quarantine.clear();
    refresh(bb);
    CHECK(bb.quarantine.empty()); // Only the first read is handed on.
}

// Guards against two routers that write in turn because each dates the crashes differently.
TEST_CASE_FIXTURE(FleetRegistrationFixture,
                  "fleetRegistration_sameHeldRequestsAreStoredAgain_nothingIsWritten")
{
    refresh(a);
    QuarantineRow held{.fingerprint = "f",
                       .isHeld = true,
                       .crashes = {{.replica = "i-1", .software = "svc v1", .at = {}}}};
    a.registration.writeQuarantine({held});
    table.endAll();
    const auto commits = table.commits;
    held.crashes.front().at += std::chrono::milliseconds(1);
    a.registration.writeQuarantine({held});
    CHECK(table.commits == commits);
    a.registration.writeQuarantine({});
    table.endAll();
    CHECK(table.commits == commits + 1);
    refresh(bb);
    CHECK(bb.quarantine.empty());
}

// Guards against a router that removes the rows of the others before it has read them.
TEST_CASE_FIXTURE(FleetRegistrationFixture,
                  "fleetRegistration_rowsWereNotReadYet_heldRequestsAreNotWritten")
{
    a.registration.writeQuarantine({{.fingerprint = "f", .isHeld = true}});
    CHECK(table.commits == 0);
}
