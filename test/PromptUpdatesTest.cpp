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

TEST_CASE_FIXTURE(PromptNewsFixture, "promptNews_fleetNeedsSeveralBeats_ridesOnAllOfThem")
{
    news.note("i-1", prompt);
    for (int i = 0; i < 5; ++i)
        CHECK(news.take(5, 40).at("i-1").size() == 2);
    CHECK(news.take(5, 40).empty());
}

TEST_CASE_FIXTURE(PromptNewsFixture, "promptNews_usedAgainSoon_isNotToldAgain")
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

TEST_CASE_FIXTURE(PromptNewsFixture, "promptNews_moreThanABeatHolds_waitsForTheNext")
{
    for (std::uint64_t i = 0; i < 50; ++i)
        news.note("i-1", std::array{PromptPart{100 + i, 10}});
    CHECK(news.take(1, 40).at("i-1").size() == 40);
    CHECK(news.take(1, 40).at("i-1").size() == 10);
}
