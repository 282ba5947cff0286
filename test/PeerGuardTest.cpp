#include "Control/PeerGuard.h"
#include "Base/ManualClock.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

const SharedKey Old{.id = "k1", .secret = "the-secret-of-yesterday"};
const SharedKey Fresh{.id = "k2", .secret = "the-secret-of-tomorrow"};

struct TwoGuardsFixture
{
    ManualClock clock;
    PeerGuard a{{.clock = clock, .self = "a", .keys = {Old}}};
    PeerGuard b{{.clock = clock, .self = "b", .keys = {Old}}};

    std::string sealed(const std::string &to = "b")
    {
        return a.seal({.kind = PeerMessageKind::Ping,
                       .from = "a",
                       .to = to,
                       .incarnation = 5,
                       .probe = 42});
    }
};

} // namespace

TEST_CASE_FIXTURE(TwoGuardsFixture, "peerGuard_everyField_isPreserved")
{
    PeerMessage it{.kind = PeerMessageKind::ConfigDelta,
                   .from = "a",
                   .to = "b",
                   .probe = 7,
                   .target = "c",
                   .targetAddress = "10.0.0.1:1",
                   .listHash = 0xFFFF'FFFF'FFFF'FFFF,
                   .load = 12,
                   .digest = {.revision = 9, .hash = 0x8000'0000'0000'0001},
                   .updates = {{.name = "d",
                                .callerAddress = "10.0.0.2:80",
                                .peerAddress = "10.0.0.2:81",
                                .failureDomain = "sofia-a",
                                .state = MemberState::Leaving,
                                .incarnation = 3}},
                   .base = {.revision = 8, .hash = 5},
                   .delta = {{.at = 3, .removed = 1, .inserted = "line \"\xC3\xA9\"\n"}}};
    const PeerGuard::Opened out = b.open(a.seal(it));
    REQUIRE(out.fault == PeerFault::None);
    CHECK(out.message.listHash == it.listHash);
    CHECK(out.message.digest.hash == it.digest.hash);
    CHECK(out.message.base.revision == 8);
    CHECK(out.message.targetAddress == it.targetAddress);
    REQUIRE(out.message.updates.size() == 1);
    CHECK(out.message.updates[0].state == MemberState::Leaving);
    CHECK(out.message.updates[0].failureDomain == "sofia-a");
    REQUIRE(out.message.delta.size() == 1);
    CHECK(out.message.delta[0].inserted == it.delta[0].inserted);
}

TEST_CASE_FIXTURE(TwoGuardsFixture, "peerGuard_anyChangedByte_isRefused")
{
    const std::string good = sealed();
    for (std::size_t i = 0; i < good.size(); ++i) {
        std::string bad = good;
        bad[i] = static_cast<char>(bad[i] ^ 1);
        CHECK(b.open(bad).fault != PeerFault::None);
    }
    CHECK(b.open("").fault == PeerFault::Malformed);
    CHECK(b.open(good).fault == PeerFault::None);
}

TEST_CASE_FIXTURE(TwoGuardsFixture, "peerGuard_sameDatagramTwice_isRefusedAsReplay")
{
    const std::string it = sealed();
    CHECK(b.open(it).fault == PeerFault::None);
    CHECK(b.open(it).fault == PeerFault::Replayed);
}

TEST_CASE_FIXTURE(TwoGuardsFixture, "peerGuard_reorderedDatagram_isAcceptedOnce")
{
    const std::string first = sealed();
    const std::string second = sealed();
    CHECK(b.open(second).fault == PeerFault::None);
    CHECK(b.open(first).fault == PeerFault::None);
    CHECK(b.open(first).fault == PeerFault::Replayed);
}

TEST_CASE_FIXTURE(TwoGuardsFixture, "peerGuard_oldDatagram_isRefusedByARouterThatNeverReceivedIt")
{
    const std::string it = sealed();
    clock.advance(2min);
    CHECK(b.open(it).fault == PeerFault::Replayed);
}

TEST_CASE_FIXTURE(TwoGuardsFixture,
                  "peerGuard_datagramOfThePreviousProcess_isRefusedAfterTheRestart")
{
    const std::string old = sealed();
    PeerGuard restarted({.clock = clock, .self = "a", .keys = {Old}});
    const PeerMessage first{.from = "a", .to = "b", .incarnation = 6};
    CHECK(b.open(restarted.seal(first)).fault == PeerFault::None);
    CHECK(b.open(old).fault == PeerFault::Replayed);
}

TEST_CASE_FIXTURE(TwoGuardsFixture, "peerGuard_datagramForAnotherRouter_isRefused")
{
    CHECK(b.open(sealed("c")).fault == PeerFault::Misdirected);
}

TEST_CASE_FIXTURE(TwoGuardsFixture, "peerGuard_keysRotatedStepByStep_routersAlwaysAcceptEachOther")
{
    const std::vector<std::vector<SharedKey>> steps = {{Old}, {Old, Fresh}, {Fresh, Old}, {Fresh}};
    for (std::size_t i = 0; i + 1 < steps.size(); ++i) {
        a.setKeys(steps[i + 1]);
        b.setKeys(steps[i]);
        CHECK(b.open(sealed()).fault == PeerFault::None);
        CHECK(a.open(b.seal({.from = "b", .to = "a"})).fault == PeerFault::None);
    }
    a.setKeys({Fresh});
    b.setKeys({Old});
    CHECK(b.open(sealed()).fault == PeerFault::Forged);
}

TEST_CASE("peerCodec_malformedText_isRefused")
{
    PeerCodec codec;
    for (const char *it :
         {"", "{}", "[]", "null", R"({"jsonrpc":"2.0","method":"p","params":{"k":99}})",
          R"({"jsonrpc":"2.0","method":"x","params":{"k":1}})",
          R"({"jsonrpc":"2.0","method":"p","params":{"k":"a"}})",
          R"({"jsonrpc":"2.0","method":"p","params":{"k":1,"n":[1]}})",
          R"({"jsonrpc":"2.0","method":"p","params":{"k":1,"c":{"a":1}}})",
          R"({"jsonrpc":"2.0","method":"p","params":{"k":1,"q":-1}})"})
        CHECK_FALSE(codec.decode(it));
}
