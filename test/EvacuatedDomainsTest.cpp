#include "Control/EvacuatedDomains.h"
#include "Base/ManualClock.h"
#include "Control/RouterHeartbeat.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct EvacuatedDomainsFixture
{
    EvacuatedDomainsFixture()
    {
        evacuated.changed().connect([this] { ++changes; });
    }

    std::set<std::string> domains() const { return evacuated.domains(); }

    ManualClock clock;
    EvacuatedDomains evacuated{{.clock = clock}};
    int changes = 0;
};

using Domains = std::set<std::string>;

} // namespace

// Guards against an older state, for example from a router that lags behind, reverting a newer one.
TEST_CASE_FIXTURE(EvacuatedDomainsFixture, "evacuatedDomains_olderStates_changeNothing")
{
    evacuated.accept({.position = {.version = 10}, .domains = {"d1"}});
    evacuated.accept({.position = {.version = 9}});
    evacuated.accept({.position = {.version = 10}});
    CHECK(domains() == Domains{"d1"});
    evacuated.accept({.position = {.version = 11}});
    CHECK(domains().empty());
    evacuated.accept({.position = {.version = 10}, .domains = {"d1"}});
    CHECK(domains().empty());
    CHECK(changes == 2);
}

TEST_CASE_FIXTURE(EvacuatedDomainsFixture, "evacuatedDomains_changes_areAppliedToTheState")
{
    evacuated.accept({.position = {.version = 10}, .domains = {"d1"}});
    const std::vector<DomainEvacuation> more = {{.domain = "d2"}};
    evacuated.change(more, {.version = 12});
    CHECK(domains() == Domains{"d1", "d2"});
    const std::vector<DomainEvacuation> less = {{.domain = "d1", .isEvacuated = false},
                                                {.domain = "d9", .isEvacuated = false}};
    evacuated.change(less, {.version = 13});
    CHECK(domains() == Domains{"d2"});
    // A router may receive the newest state before its own read of the earlier changes returns.
    evacuated.accept({.position = {.version = 20}, .domains = {"d3"}});
    evacuated.change(more, {.version = 18});
    CHECK(domains() == Domains{"d3"});
}

TEST_CASE_FIXTURE(EvacuatedDomainsFixture, "evacuatedDomains_nothingEverEvacuated_isNotAnnounced")
{
    evacuated.accept({.position = {.version = 10}});
    evacuated.accept({.position = {.version = 11}});
    CHECK_FALSE(evacuated.shouldAnnounce());
    CHECK(changes == 0);
    evacuated.accept({.position = {.version = 12}, .domains = {"d1"}});
    evacuated.accept({.position = {.version = 13}});
    CHECK(evacuated.shouldAnnounce());
}

TEST_CASE_FIXTURE(EvacuatedDomainsFixture, "evacuatedDomains_encodedInAHeartbeat_areDecoded")
{
    HeartbeatCodec codec;
    const RouterHeartbeat sent{
            .name = "a",
            .evacuated = {.position = {.era = 2, .version = 1ULL << 40}, .domains = {"d"}}};
    const Result<RouterHeartbeat> read = codec.decode(HeartbeatCodec::encode(sent));
    REQUIRE(read);
    CHECK(read.value().evacuated.position == StorePosition{.era = 2, .version = 1ULL << 40});
    CHECK(read.value().evacuated.domains == Domains{"d"});
    CHECK(HeartbeatCodec::encode({.name = "a"}).find("\"ev\"") == std::string::npos);
}

// Guards against sending requests to an evacuated domain because the copy from which the store was
// restored is older than the evacuation.
TEST_CASE_FIXTURE(EvacuatedDomainsFixture, "evacuatedDomains_copyLacksEvacuation_staysInEffect")
{
    evacuated.accept({.position = {.era = 1, .version = 90}, .domains = {"d1"}});
    evacuated.accept({.position = {.era = 2, .version = 40}});
    CHECK(domains() == Domains{"d1"});
    CHECK(changes == 1);
    SUBCASE("the operator writes it again")
    {
        clock.advance(1s);
        evacuated.accept({.position = {.era = 2, .version = 44}, .domains = {"d1"}});
        clock.advance(5s);
        evacuated.expire();
        CHECK(domains() == Domains{"d1"});
        CHECK(changes == 1);
    }
    SUBCASE("it was revoked in the lost seconds")
    {
        clock.advance(2100ms);
        evacuated.expire();
        CHECK(domains() == Domains{"d1"});
        clock.advance(100ms);
        evacuated.expire();
        CHECK(domains().empty());
    }
    SUBCASE("a state from before the restore is ignored")
    {
        evacuated.accept({.position = {.era = 1, .version = 95}, .domains = {"d9"}});
        CHECK(domains() == Domains{"d1"});
    }
}
