#include "Decide/PrefillTimeout.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// An engine that processes 64 prompt tokens a millisecond when it is otherwise idle.
struct PrefillTimeoutFixture
{
    static Duration prefillTime(double tokens, double slowdown = 1)
    {
        return std::chrono::duration_cast<Duration>(
                std::chrono::duration<double, std::milli>(slowdown * tokens / 64));
    }

    void process(int prompts, double tokens, double slowdown = 1)
    {
        for (int i = 0; i < prompts; ++i)
            timeout.observe(tokens, prefillTime(tokens, slowdown));
    }

    PrefillTimeout timeout;
};

} // namespace

TEST_CASE_FIXTURE(PrefillTimeoutFixture, "prefillTimeout_noMeasurement_longPromptsHaveTime")
{
    CHECK(timeout.timeoutFor(30'000) > prefillTime(30'000, 2));
    CHECK(timeout.timeoutFor(0) == Duration::zero());
    CHECK(timeout.timeoutFor(-5) == Duration::zero());
}

TEST_CASE_FIXTURE(PrefillTimeoutFixture,
                  "prefillTimeout_measured_coversABusyEngineButNotAnUnresponsiveOne")
{
    process(50, 10'000, 1.2);
    CHECK(timeout.timeoutFor(30'000) > prefillTime(30'000, 2.4));
    CHECK(timeout.timeoutFor(30'000) < prefillTime(30'000, 5));
    CHECK(timeout.timeoutFor(700) < 100ms);
}

TEST_CASE_FIXTURE(PrefillTimeoutFixture, "prefillTimeout_shortPrompts_areIgnored")
{
    const Duration before = timeout.timeoutFor(10'000);
    for (int i = 0; i < 100; ++i)
        timeout.observe(100, 900ms);
    CHECK(timeout.timeoutFor(10'000) == before);
}

TEST_CASE_FIXTURE(PrefillTimeoutFixture, "prefillTimeout_onePromptDelayed_timeoutGrowsOnlyALittle")
{
    process(50, 10'000);
    timeout.observe(1000, 60s);
    CHECK(timeout.timeoutFor(10'000) < 2s);
}
