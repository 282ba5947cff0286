#include "Decide/PromptIndex.h"
#include "Base/ManualClock.h"

#include <doctest/doctest.h>

#include <array>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct PromptIndexFixture
{
    ManualClock clock;
    PromptIndex index{{.clock = clock, .life = 10s, .maxParts = 100}};
    std::array<PromptPart, 3> prompt = {{{1, 100}, {2, 200}, {3, 400}}};
};

} // namespace

TEST_CASE_FIXTURE(PromptIndexFixture, "promptIndex_partsInOrder_countUpToTheFirstMissing")
{
    index.note(7, 1);
    index.note(7, 3);
    CHECK(index.cachedTokens(7, prompt) == 100);
    index.note(7, 2);
    CHECK(index.cachedTokens(7, prompt) == 700);
    CHECK(index.cachedTokens(8, prompt) == 0);
}

TEST_CASE_FIXTURE(PromptIndexFixture, "promptIndex_partUnusedForItsLife_isNotCounted")
{
    index.note(7, 1);
    clock.advance(9s);
    CHECK(index.cachedTokens(7, prompt) == 100);
    clock.advance(2s);
    CHECK(index.cachedTokens(7, prompt) == 0);
    index.note(7, 1);
    CHECK(index.cachedTokens(7, prompt) == 100);
}

TEST_CASE_FIXTURE(PromptIndexFixture, "promptIndex_replicaRemoved_hasNothingCached")
{
    index.note(7, 1);
    index.note(8, 1);
    index.remove(7);
    CHECK(index.cachedTokens(7, prompt) == 0);
    CHECK(index.cachedTokens(8, prompt) == 100);
}

TEST_CASE_FIXTURE(PromptIndexFixture, "promptIndex_moreThanMaxParts_expiredPartsAreEvicted")
{
    for (std::uint64_t i = 0; i < 90; ++i)
        index.note(7, 1000 + i);
    clock.advance(11s);
    for (std::uint64_t i = 0; i < 50; ++i)
        index.note(7, 2000 + i);
    index.note(7, 1);
    CHECK(index.cachedTokens(7, prompt) == 100);
}
