#include "Control/PromptUpdates.h"
#include "Base/ManualClock.h"

#include <doctest/doctest.h>

#include <array>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct PromptNewsFixture
{
    ManualClock clock;
    PromptUpdates news{clock};
    std::array<PromptPart, 2> prompt = {{{1, 100}, {2, 200}}};
};

} // namespace

TEST_CASE_FIXTURE(PromptNewsFixture,
                  "promptUpdates_fleetNeedsSeveralHeartbeats_allOfThemContainThePart")
{
    news.note("i-1", prompt);
    for (int i = 0; i < 5; ++i)
        CHECK(news.take(5, 40).at("i-1").size() == 2);
    CHECK(news.take(5, 40).empty());
}

TEST_CASE_FIXTURE(PromptNewsFixture, "promptUpdates_usedAgainSoon_isNotAnnouncedAgain")
{
    news.note("i-1", prompt);
    news.take(1, 40);
    clock.advance(5s);
    news.note("i-1", prompt);
    CHECK(news.take(1, 40).empty());
    news.note("i-2", prompt);
    CHECK(news.take(1, 40).contains("i-2"));
    clock.advance(15s);
    news.note("i-1", prompt);
    CHECK(news.take(1, 40).contains("i-1"));
}

TEST_CASE_FIXTURE(PromptNewsFixture, "promptUpdates_moreThanAHeartbeatHolds_waitForTheNext")
{
    for (std::uint64_t i = 0; i < 50; ++i)
        news.note("i-1", std::array{PromptPart{100 + i, 10}});
    CHECK(news.take(1, 40).at("i-1").size() == 40);
    CHECK(news.take(1, 40).at("i-1").size() == 10);
}
