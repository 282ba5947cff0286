#include "Control/ActiveConfig.h"
#include "Base/ManualClock.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct ActiveConfigFixture
{
    static RouteConfigPtr revision(std::uint64_t n)
    {
        auto out = std::make_shared<RouteConfig>();
        out->revision = n;
        return out;
    }

    ManualClock clock;
    ActiveConfig config{clock};
};

} // namespace

TEST_CASE_FIXTURE(ActiveConfigFixture, "activeConfig_olderRevisionRead_isNotActivated")
{
    int changes = 0;
    config.changed().connect([&](const RouteConfigPtr &) { ++changes; });
    CHECK(config.accept(revision(7), clock.now()));
    CHECK_FALSE(config.accept(revision(3), clock.now()));
    CHECK(config.revision() == 7);
    CHECK(config.accept(revision(7), clock.now()));
    CHECK(changes == 1);
}

TEST_CASE_FIXTURE(ActiveConfigFixture, "activeConfig_proof_isDatedByTheStartOfItsRead")
{
    CHECK(config.proofAge() == Duration::max());
    const TimePoint began = clock.now();
    clock.advance(3s);
    config.accept(revision(7), began);
    CHECK(config.proofAge() == 3s);
    config.confirm(7, clock.now());
    CHECK(config.proofAge() == 0s);
    config.confirm(7, began);
    CHECK(config.proofAge() == 0s);
}

TEST_CASE_FIXTURE(ActiveConfigFixture, "activeConfig_confirmationOfAnotherRevision_provesNothing")
{
    config.accept(revision(7), clock.now());
    clock.advance(4s);
    config.confirm(6, clock.now());
    CHECK(config.proofAge() == 4s);
}
