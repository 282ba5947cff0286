#include "Decide/PrefillTimeout.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// An engine that reads 64 tokens a millisecond when it has nothing else to do.
struct PromptPaceFixture
{
    static Duration reading(double tokens, double slowdown = 1)
    {
        return std::chrono::duration_cast<Duration>(
                std::chrono::duration<double, std::milli>(slowdown * tokens / 64));
    }

    void read(int prompts, double tokens, double slowdown = 1)
    {
        for (int i = 0; i < prompts; ++i)
            pace.observe(tokens, reading(tokens, slowdown));
    }

    PrefillTimeout pace;
};

} // namespace

TEST_CASE_FIXTURE(PromptPaceFixture, "promptPace_nothingRead_longPromptsHaveTime")
{
    CHECK(pace.timeoutFor(30'000) > reading(30'000, 2));
    CHECK(pace.timeoutFor(0) == Duration::zero());
    CHECK(pace.timeoutFor(-5) == Duration::zero());
}

TEST_CASE_FIXTURE(PromptPaceFixture, "promptPace_enginesLearned_busyOneIsWaitedForAndSilentOneNot")
{
    read(50, 10'000, 1.2);
    CHECK(pace.timeoutFor(30'000) > reading(30'000, 2.4));
    CHECK(pace.timeoutFor(30'000) < reading(30'000, 5));
    CHECK(pace.timeoutFor(700) < 100ms);
}

TEST_CASE_FIXTURE(PromptPaceFixture, "promptPace_shortPrompts_teachNothing")
{
    const Duration before = pace.timeoutFor(10'000);
    for (int i = 0; i < 100; ++i)
        pace.observe(100, 900ms);
    CHECK(pace.timeoutFor(10'000) == before);
}

TEST_CASE_FIXTURE(PromptPaceFixture, "promptPace_onePromptStuck_othersAreNotWaitedForMuchLonger")
{
    read(50, 10'000);
    pace.observe(1000, 60s);
    CHECK(pace.timeoutFor(10'000) < 2s);
}
