#include "Control/PromptUpdates.h"
#include "Base/ManualClock.h"

#include <doctest/doctest.h>

#include <array>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct PromptUpdatesFixture
{
    ManualClock clock;
    PromptUpdates updates{clock};
    std::array<PromptPart, 2> prompt = {{{1, 100}, {2, 200}}};
};

} // namespace

TEST_CASE_FIXTURE(PromptUpdatesFixture,
                  "promptUpdates_fleetNeedsSeveralHeartbeats_allOfThemContainThePart")
{
    updates.note("i-1", prompt);
    for (int i = 0; i < 5; ++i)
        CHECK(updates.take(5, 40).at("i-1").size() == 2);
    CHECK(updates.take(5, 40).empty());
}

TEST_CASE_FIXTURE(PromptUpdatesFixture, "promptUpdates_usedAgainSoon_isNotAnnouncedAgain")
{
    updates.note("i-1", prompt);
    updates.take(1, 40);
    clock.advance(5s);
    updates.note("i-1", prompt);
    CHECK(updates.take(1, 40).empty());
    updates.note("i-2", prompt);
    CHECK(updates.take(1, 40).contains("i-2"));
    clock.advance(15s);
    updates.note("i-1", prompt);
    CHECK(updates.take(1, 40).contains("i-1"));
}

TEST_CASE_FIXTURE(PromptUpdatesFixture, "promptUpdates_moreThanAHeartbeatHolds_waitForTheNext")
{
    for (std::uint64_t i = 0; i < 50; ++i)
        updates.note("i-1", std::array{PromptPart{100 + i, 10}});
    CHECK(updates.take(1, 40).at("i-1").size() == 40);
    CHECK(updates.take(1, 40).at("i-1").size() == 10);
}
