#include "Control/ReplicaRegistry.h"
#include "Base/ManualClock.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using Source = ReplicaRegistry::LeavingSource;

namespace {

struct ReplicaRegistryFixture
{
    void read(std::vector<ReplicaRecord> list)
    {
        registry.apply(
                {.position = {.era = era, .version = ++version}, .replicas = std::move(list)},
                clock.now());
    }

    /// Reads \a list from a store that was restored from a copy with lower versions.
    void readRestored(std::vector<ReplicaRecord> list)
    {
        ++era;
        version = 1;
        read(std::move(list));
    }

    std::string names() const
    {
        std::string out;
        for (const ReplicaRecord &it : registry.replicas())
            out += it.id + (it.draining ? "! " : " ");
        return out;
    }

    ManualClock clock;
    std::uint64_t era = 1;
    std::uint64_t version = 10;
    ReplicaRegistry registry{{.clock = clock}};
    ReplicaRecord a{.id = "a", .service = "s"};
    ReplicaRecord b{.id = "b", .service = "s"};
    ReplicaRecord leaving{.id = "a", .service = "s", .draining = true};
};

} // namespace

TEST_CASE_FIXTURE(ReplicaRegistryFixture, "replicaRegistry_entryMissing_isGoneAtOnce")
{
    read({a, b});
    clock.advance(800ms);
    read({b});
    CHECK(names() == "b ");
}

TEST_CASE_FIXTURE(ReplicaRegistryFixture, "replicaRegistry_draining_isNeverReverted")
{
    read({a, b});
    read({leaving, b});
    read({a, b});
    CHECK(names() == "a! b ");
}

// Guards against an entry that is older than the replica's answer and reverts its leaving.
TEST_CASE_FIXTURE(ReplicaRegistryFixture,
                  "replicaRegistry_answerSaysLeaving_readyEntryDoesNotRevertIt")
{
    a.sequence = 7;
    read({a, b});
    registry.markLeaving("a", Source::Answer);
    CHECK(names() == "a! b ");
    a.sequence = 9;
    read({a, b});
    CHECK(names() == "a! b ");
    SUBCASE("its entry expires and is restored")
    {
        read({b});
        clock.advance(10s);
        read({a, b});
        CHECK(names() == "a! b ");
    }
    SUBCASE("it is marked before its entry is read")
    {
        registry.markLeaving("c", Source::Answer);
        read({a, b, {.id = "c", .service = "s"}});
        CHECK(names() == "a! b c! ");
    }
}

// Guards against excluding a new process that gets the id or the address of a replica that left.
TEST_CASE_FIXTURE(ReplicaRegistryFixture, "replicaRegistry_anotherProcessUnderTheSameId_isUsed")
{
    a.address = "10.0.0.1:80";
    a.sequence = 7;
    SUBCASE("it reports its start time")
    {
        a.startedAt = 1'700'000'000'000;
        read({a, b});
        registry.markLeaving(a.incarnation(), Source::Answer);
        a.startedAt += 5000;
    }
    SUBCASE("its sequence restarts")
    {
        read({a, b});
        registry.markLeaving("a", Source::Answer);
        a.sequence = 1;
    }
    SUBCASE("it is at another address")
    {
        read({a, b});
        registry.markLeaving("a", Source::Answer);
        a.address = "10.0.0.2:80";
    }
    read({a, b});
    CHECK(names() == "a b ");
}

TEST_CASE_FIXTURE(ReplicaRegistryFixture,
                  "replicaRegistry_misdirectedAnswer_marksTheOtherReplicaAtTheAddress")
{
    a.address = b.address = "10.0.0.1:80";
    read({a, b});
    registry.markLeavingAt("10.0.0.1:80", "a");
    CHECK(names() == "a b! ");
    CHECK(registry.recentlyLeaving(10s, 8) == std::vector<std::string>{"b"});
    clock.advance(11s);
    CHECK(registry.recentlyLeaving(10s, 8).empty());
}

TEST_CASE_FIXTURE(ReplicaRegistryFixture, "replicaRegistry_olderSnapshot_isIgnored")
{
    read({leaving, b});
    registry.apply({.position = {.era = era, .version = version - 5}, .replicas = {a, b}},
                   clock.now());
    CHECK(names() == "a! b ");
}

TEST_CASE_FIXTURE(ReplicaRegistryFixture,
                  "replicaRegistry_missingAfterOutage_isRetainedUntilItRegistersAgain")
{
    read({a, b});
    clock.advance(9s);
    read({b});
    CHECK(names() == "b a ");
    clock.advance(1s);
    read({a, b});
    CHECK(names() == "a b ");
}

TEST_CASE_FIXTURE(ReplicaRegistryFixture,
                  "replicaRegistry_stillMissingAfterReregistrationTime_isGone")
{
    read({a, b});
    clock.advance(9s);
    read({b});
    clock.advance(1s);
    read({b});
    CHECK(names() == "b a ");
    clock.advance(1300ms);
    read({b});
    CHECK(names() == "b ");
}

TEST_CASE_FIXTURE(ReplicaRegistryFixture, "replicaRegistry_sameList_isNoChange")
{
    int changes = 0;
    registry.changed().connect([&] { ++changes; });
    read({a, b});
    read({a, b});
    CHECK(changes == 1);
    CHECK(registry.age() == 0s);
}

TEST_CASE_FIXTURE(ReplicaRegistryFixture, "replicaRegistry_confirmation_renewsOnlyTheSameList")
{
    read({a, b});
    const std::uint64_t hash = registry.hash();
    clock.advance(2s);
    CHECK_FALSE(registry.confirm(hash + 1, {.era = era, .version = version}, clock.now()));
    CHECK(registry.age() == 2s);
    CHECK(registry.confirm(hash, {.era = era, .version = version + 3}, clock.now()));
    CHECK(registry.age() == 0s);
    CHECK(registry.position().version == version + 3);
    read({leaving, b});
    CHECK(registry.hash() == hash); // Ignored: older than the confirmed store version.
}

TEST_CASE_FIXTURE(ReplicaRegistryFixture,
                  "replicaRegistry_confirmedAfterReregistrationTime_removesTheMissing")
{
    read({a, b});
    clock.advance(9s);
    read({b});
    CHECK(names() == "b a ");
    clock.advance(2300ms);
    registry.confirm(registry.hash(), {.era = era, .version = version}, clock.now());
    CHECK(names() == "b ");
}

TEST_CASE_FIXTURE(ReplicaRegistryFixture, "replicaRegistry_restartedUnderItsId_isUsedAgain")
{
    read({leaving, b});
    ReplicaRecord again = a;
    again.startedAt = 1'700'000'005'000;
    const std::uint64_t before = registry.hash();
    int changes = 0;
    registry.changed().connect([&] { ++changes; });
    read({again, b});
    CHECK(names() == "a b ");
    CHECK(changes == 1);
    CHECK(registry.hash() != before);
}

TEST_CASE_FIXTURE(ReplicaRegistryFixture, "replicaRegistry_restartedWithTheSameState_isAChange")
{
    read({a, b});
    ReplicaRecord again = a;
    again.startedAt = 1'700'000'005'000;
    int changes = 0;
    registry.changed().connect([&] { ++changes; });
    read({again, b});
    CHECK(changes == 1);
    CHECK(registry.replicas().front().startedAt == again.startedAt);
}

TEST_CASE_FIXTURE(ReplicaRegistryFixture,
                  "replicaRegistry_restartedDuringAnOutage_replacesTheFormerStart")
{
    read({a, b});
    clock.advance(9s);
    ReplicaRecord again = a;
    again.startedAt = 1'700'000'005'000;
    read({again, b});
    CHECK(names() == "a b ");
}

// Guards against sending the whole list to hundreds of routers whenever one replica joins or
// leaves.
TEST_CASE_FIXTURE(ReplicaRegistryFixture,
                  "replicaRegistry_routerWithAnEarlierList_getsOnlyTheChanges")
{
    ReplicaRegistry other{{.clock = clock}};
    ReplicaRecord cold{.id = "c", .service = "s", .coldDuration = 3s};
    read({a, b});
    REQUIRE(other.applyUpdate(registry.updateSince(0), clock.now()));
    CHECK(other.hash() == registry.hash());
    read({a, cold});
    const ReplicaUpdate update = registry.updateSince(other.hash());
    CHECK(update.base == other.hash());
    CHECK(update.replicas.size() == 1);
    CHECK(update.removed == std::vector<std::string>{"b"});
    clock.advance(100ms);
    REQUIRE(other.applyUpdate(update, clock.now() - 100ms));
    CHECK(other.hash() == registry.hash());
    REQUIRE(other.replicas().size() == 2);
    CHECK(other.replicas()[1].coldUntil == registry.replicas()[1].coldUntil);
    CHECK(other.replicas()[0].coldUntil == TimePoint());
    SUBCASE("a change of an unknown list is refused")
    {
        read({leaving, cold});
        ReplicaUpdate strange = registry.updateSince(other.hash());
        strange.base ^= 1;
        CHECK_FALSE(other.applyUpdate(strange, clock.now()));
        CHECK(other.replicas().size() == 2);
    }
    SUBCASE("for a base list that is too old the whole list is sent")
    {
        const std::uint64_t old = other.hash();
        for (int i = 0; i < 20; ++i) {
            cold.address = "10.0.0.1:" + std::to_string(i + 1);
            read({a, cold});
        }
        CHECK(registry.updateSince(old).base == 0);
        CHECK(registry.updateSince(old).replicas.size() == 2);
    }
}

TEST_CASE_FIXTURE(ReplicaRegistryFixture, "replicaRegistry_replicaBecomesCold_isAChange")
{
    read({a, b});
    const std::uint64_t before = registry.hash();
    int changes = 0;
    registry.changed().connect([&] { ++changes; });
    a.coldDuration = 2s;
    read({a, b});
    CHECK(changes == 1);
    CHECK(registry.hash() != before);
    CHECK(registry.replicas()[0].coldUntil == clock.now() + 2s);
    clock.advance(500ms);
    a.coldDuration = 1500ms;
    read({a, b});
    CHECK(changes == 1);
    a.coldDuration = 0s;
    read({a, b});
    CHECK(registry.hash() == before);
}

// Guards against ignoring all lists of a store that was restored from a copy, because its versions
// are lower than before.
TEST_CASE_FIXTURE(ReplicaRegistryFixture, "replicaRegistry_storeRestored_lowerVersionsAreApplied")
{
    read({a, b});
    readRestored({a, b});
    read({leaving, b});
    CHECK(names() == "a! b ");
    SUBCASE("a list from before the restore is ignored")
    {
        registry.apply({.position = {.era = era - 1, .version = 1000}, .replicas = {a, b}},
                       clock.now());
        CHECK(names() == "a! b ");
        CHECK(registry.ignoredLists() == 1);
    }
    SUBCASE("another router receives the list and the new era")
    {
        ReplicaRegistry other{{.clock = clock}};
        other.apply({.position = {.era = era - 1, .version = 1000}, .replicas = {a, b}},
                    clock.now());
        REQUIRE(other.applyUpdate(registry.updateSince(other.hash()), clock.now()));
        CHECK(other.hash() == registry.hash());
        CHECK(other.position() == registry.position());
    }
}

TEST_CASE_FIXTURE(ReplicaRegistryFixture, "replicaRegistry_confirmedInANewEra_notesTheRestore")
{
    int restores = 0;
    registry.restored().connect([&] { ++restores; });
    read({a, b});
    CHECK(restores == 0);
    CHECK(registry.confirm(registry.hash(), {.era = era + 1, .version = 2}, clock.now()));
    CHECK(restores == 1);
    CHECK(registry.position() == StorePosition{.era = era + 1, .version = 2});
    CHECK(registry.confirm(registry.hash(), {.era = era, .version = 1000}, clock.now()));
    CHECK(registry.position() == StorePosition{.era = era + 1, .version = 2});
}

// Guards against taking the entry in the copy, which has a lower sequence, for another process
// under the id of a leaving replica.
TEST_CASE_FIXTURE(ReplicaRegistryFixture,
                  "replicaRegistry_copyHasLeavingReplicaAsReady_staysLeaving")
{
    a.address = leaving.address = "10.0.0.1:80";
    a.sequence = 9;
    leaving.sequence = 12;
    read({a, b});
    SUBCASE("its entry reported it")
    {
        read({leaving, b});
    }
    SUBCASE("its answer reported it")
    {
        registry.markLeaving("a", Source::Answer);
    }
    a.sequence = 7;
    readRestored({a, b});
    CHECK(names() == "a! b ");
    a.sequence = 13;
    read({a, b});
    CHECK(names() == "a! b ");
    a.sequence = 1; // Another process.
    read({a, b});
    CHECK(names() == "a b ");
}

// Guards against excluding a new process for good, because nothing was left after a restore that
// tells it from the replica that left under its id.
TEST_CASE_FIXTURE(ReplicaRegistryFixture,
                  "replicaRegistry_anotherProcessUnderTheSameIdAfterARestore_isUsed")
{
    a.address = leaving.address = "10.0.0.1:80";
    a.sequence = 9;
    leaving.sequence = 12;
    read({a, b});
    read({leaving, b});
    read({b});
    SUBCASE("the copy lacks the replica that left")
    {
        readRestored({b});
    }
    SUBCASE("the copy has the replica that left")
    {
        readRestored({a, b});
        CHECK(names().find("a ") == std::string::npos);
        read({b});
    }
    SUBCASE("it registers before the routers have read the copy")
    {
        ++era;
        version = 1;
    }
    SUBCASE("it is at another address")
    {
        a.address = "10.0.0.2:80";
    }
    a.sequence = 1;
    read({a, b});
    clock.advance(6s);
    a.sequence = 3;
    read({a, b});
    CHECK(names() == "a b ");
}

// Guards against taking the entry in the copy for a new process when the store goes away again, so
// that the replica cannot write its own.
TEST_CASE_FIXTURE(ReplicaRegistryFixture,
                  "replicaRegistry_storeGoesAwayAfterARestore_leavingReplicaStaysLeaving")
{
    a.address = leaving.address = "10.0.0.1:80";
    a.sequence = 9;
    leaving.sequence = 12;
    read({a, b});
    read({leaving, b});
    a.sequence = 7;
    readRestored({a, b});
    clock.advance(20s);
    registry.markLeaving("b", Source::Answer);
    CHECK(names() == "a! b! ");
}

// Guards against a router that starts after a restore and sends to a replica whose entry in the
// copy is older than its draining: the other routers announce it.
TEST_CASE_FIXTURE(ReplicaRegistryFixture,
                  "replicaRegistry_copyHasLeavingReplicaAsReady_isAnnouncedToOtherRouters")
{
    read({a, b});
    read({leaving, b});
    CHECK(registry.recentlyLeaving(10s, 8).empty());
    clock.advance(20s);
    readRestored({a, b});
    CHECK(registry.recentlyLeaving(10s, 8) == std::vector<std::string>{"a"});
    ReplicaRegistry started{{.clock = clock}};
    REQUIRE(started.applyUpdate(registry.updateSince(started.hash()), clock.now()));
    for (const std::string &it : registry.recentlyLeaving(10s, 8))
        started.markLeaving(it, Source::Router);
    REQUIRE(started.replicas().size() == 2);
    CHECK(started.replicas()[0].draining);
    CHECK_FALSE(started.replicas()[1].draining);
    clock.advance(11s);
    CHECK(registry.recentlyLeaving(10s, 8).empty());
}

// Guards against sending to a replica that left, because the copy still has its entry.
TEST_CASE_FIXTURE(ReplicaRegistryFixture, "replicaRegistry_copyHasRemovedReplica_isIgnored")
{
    read({a, b});
    read({b});
    clock.advance(1s);
    readRestored({a, b});
    CHECK(names() == "b ");
    SUBCASE("the store removes the entry again")
    {
        clock.advance(4s);
        read({b});
        clock.advance(2s);
        read({b});
        CHECK(names() == "b ");
    }
    SUBCASE("a replica whose entry remains is used")
    {
        clock.advance(5s);
        read({a, b});
        CHECK(names() == "a b ");
    }
    SUBCASE("another process under its id is used at once")
    {
        a.startedAt = 1'700'000'000'000;
        read({a, b});
        CHECK(names() == "a b ");
    }
}

TEST_CASE_FIXTURE(ReplicaRegistryFixture,
                  "replicaRegistry_copyLacksReplica_isRetainedForAShortTime")
{
    read({a, b});
    readRestored({b});
    CHECK(names() == "b a ");
    clock.advance(1s);
    SUBCASE("it registers again")
    {
        read({a, b});
        CHECK(names() == "a b ");
        clock.advance(2s);
        read({a, b});
        CHECK(names() == "a b ");
    }
    SUBCASE("it does not")
    {
        clock.advance(1300ms);
        read({b});
        CHECK(names() == "b ");
    }
}

// Guards against missing the restore of a store that reports its era only from then on.
TEST_CASE_FIXTURE(ReplicaRegistryFixture, "replicaRegistry_firstReportedEra_countsAsARestore")
{
    int restores = 0;
    registry.restored().connect([&] { ++restores; });
    registry.apply({.position = {.version = 1000}, .replicas = {a, b}}, clock.now());
    CHECK(restores == 0);
    read({leaving});
    CHECK(names() == "a! b ");
    CHECK(restores == 1);
}

// Guards against exceeding the rate limit of a cold replica because the copy is from before it
// turned cold.
TEST_CASE_FIXTURE(ReplicaRegistryFixture, "replicaRegistry_copyHasColdReplicaAsWarm_staysCold")
{
    a.coldDuration = 6s;
    read({a, b});
    const TimePoint coldUntil = registry.replicas()[0].coldUntil;
    a.coldDuration = 0s;
    readRestored({a, b});
    CHECK(registry.replicas()[0].coldUntil == coldUntil);
    CHECK(registry.replicas()[1].coldUntil == TimePoint());
    SUBCASE("its entry is not written again")
    {
        clock.advance(2200ms);
        read({a, b});
        CHECK(registry.replicas()[0].coldUntil == TimePoint());
    }
    SUBCASE("its entry is written again")
    {
        clock.advance(1s);
        a.coldDuration = 5s;
        read({a, b});
        CHECK(registry.replicas()[0].coldUntil == coldUntil);
        clock.advance(2s);
        a.coldDuration = 3s;
        read({a, b});
        CHECK(registry.replicas()[0].coldUntil == coldUntil);
    }
}
