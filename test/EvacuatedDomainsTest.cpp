#include "Control/EvacuatedDomains.h"
#include "Control/RouterHeartbeat.h"

#include <doctest/doctest.h>

using namespace catkinloft;

namespace {

struct EvacuatedDomainsFixture
{
    EvacuatedDomainsFixture()
    {
        evacuated.changed().connect([this] { ++changes; });
    }

    std::set<std::string> domains() const { return evacuated.state().domains; }

    EvacuatedDomains evacuated;
    int changes = 0;
};

using Domains = std::set<std::string>;

} // namespace

// Guards against an older state, for example from a router that lags behind, reverting a newer one.
TEST_CASE_FIXTURE(EvacuatedDomainsFixture, "evacuatedDomains_olderStates_changeNothing")
{
    evacuated.accept({.storeVersion = 10, .domains = {"d1"}});
    evacuated.accept({.storeVersion = 9});
    evacuated.accept({.storeVersion = 10});
    CHECK(domains() == Domains{"d1"});
    evacuated.accept({.storeVersion = 11});
    CHECK(domains().empty());
    evacuated.accept({.storeVersion = 10, .domains = {"d1"}});
    CHECK(domains().empty());
    CHECK(changes == 2);
}

TEST_CASE_FIXTURE(EvacuatedDomainsFixture, "evacuatedDomains_changes_areAppliedToTheState")
{
    evacuated.accept({.storeVersion = 10, .domains = {"d1"}});
    const std::vector<DomainEvacuation> more = {{.domain = "d2"}};
    evacuated.change(more, 12);
    CHECK(domains() == Domains{"d1", "d2"});
    const std::vector<DomainEvacuation> less = {{.domain = "d1", .isEvacuated = false},
                                                {.domain = "d9", .isEvacuated = false}};
    evacuated.change(less, 13);
    CHECK(domains() == Domains{"d2"});
    // A router may receive the newest state before its own read of the earlier changes returns.
    evacuated.accept({.storeVersion = 20, .domains = {"d3"}});
    evacuated.change(more, 18);
    CHECK(domains() == Domains{"d3"});
}

TEST_CASE_FIXTURE(EvacuatedDomainsFixture, "evacuatedDomains_nothingEverEvacuated_isNotAnnounced")
{
    evacuated.accept({.storeVersion = 10});
    evacuated.accept({.storeVersion = 11});
    CHECK_FALSE(evacuated.shouldAnnounce());
    CHECK(changes == 0);
    evacuated.accept({.storeVersion = 12, .domains = {"d1"}});
    evacuated.accept({.storeVersion = 13});
    CHECK(evacuated.shouldAnnounce());
}

TEST_CASE_FIXTURE(EvacuatedDomainsFixture, "evacuatedDomains_encodedInAHeartbeat_areDecoded")
{
    HeartbeatCodec codec;
    const RouterHeartbeat sent{.name = "a",
                               .evacuated = {.storeVersion = 1ULL << 40, .domains = {"d"}}};
    const Result<RouterHeartbeat> read = codec.decode(HeartbeatCodec::encode(sent));
    REQUIRE(read);
    CHECK(read.value().evacuated.storeVersion == 1ULL << 40);
    CHECK(read.value().evacuated.domains == Domains{"d"});
    CHECK(HeartbeatCodec::encode({.name = "a"}).find("\"ev\"") == std::string::npos);
}
