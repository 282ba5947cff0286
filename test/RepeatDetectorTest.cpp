#include "Decide/RepeatDetector.h"
#include "Base/Random.h"

#include <doctest/doctest.h>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct RepeatDetectorFixture
{
    /// \returns a random part of \a timeout, at least \a least of it.
    Duration partOf(Duration timeout, double least)
    {
        return scaled(timeout, least + (1 - least) * uniform(random));
    }

    /// Callers that state 85 to 100 percent of \a timeout.
    void learn(Duration timeout, int n = 64)
    {
        for (int i = 0; i < n; ++i)
            detector.isRepeat("chat", partOf(timeout, 0.85), false);
    }

    RepeatDetector detector;
    RandomSource random = seededRandom(1);
};

} // namespace

// Guards against returning callers that take the capacity of callers who can still be on time.
TEST_CASE_FIXTURE(RepeatDetectorFixture, "repeatDetector_clearlyLessTimeThanUsual_isARepeat")
{
    learn(8s);
    for (int i = 0; i < 1000; ++i)
        CHECK_FALSE(detector.isRepeat("chat", partOf(8s, 0.87), true));
    CHECK_FALSE(detector.isRepeat("chat", 9s, true));
    CHECK(detector.isRepeat("chat", 6500ms, true));
    CHECK(detector.isRepeat("chat", 5s, true));
    CHECK_FALSE(detector.isRepeat("other", 5s, true));
}

// Guards against first attempts that count as repeated at the edge of the learned range.
TEST_CASE_FIXTURE(RepeatDetectorFixture, "repeatDetector_firstAttempts_rarelyCountAsRepeated")
{
    int repeats = 0;
    for (int i = 0; i < 10'000; ++i)
        repeats += detector.isRepeat("chat", partOf(8s, 0.85), false) ? 1 : 0;
    CHECK(repeats < 500);
}

// Guards against first attempts that count as repeated because they took some milliseconds longer
// to arrive than those of callers that all state the same timeout.
TEST_CASE_FIXTURE(RepeatDetectorFixture, "repeatDetector_sameTimeouts_slightlyLessIsNoRepeat")
{
    for (int i = 0; i < 64; ++i)
        detector.isRepeat("chat", 8s, false);
    CHECK_FALSE(detector.isRepeat("chat", 7950ms, true));
    CHECK(detector.isRepeat("chat", 7800ms, true));
}

// Guards against a range that widens because most requests of a long overload are repeats.
TEST_CASE_FIXTURE(RepeatDetectorFixture, "repeatDetector_overloadOfRepeats_keepsTheRange")
{
    learn(8s);
    for (int i = 0; i < 10'000; ++i)
        detector.isRepeat("chat", partOf(8s, 0.1), true);
    CHECK_FALSE(detector.isRepeat("chat", 8s, true));
    CHECK(detector.isRepeat("chat", 6500ms, true));
}

// Guards against a judgement where callers choose their timeouts freely.
TEST_CASE_FIXTURE(RepeatDetectorFixture, "repeatDetector_varyingTimeouts_areNotJudged")
{
    int repeats = 0;
    for (int i = 0; i < 2000; ++i)
        repeats += detector.isRepeat("chat", partOf(8s, 0.1), false) ? 1 : 0;
    CHECK(repeats == 0);
}

TEST_CASE_FIXTURE(RepeatDetectorFixture, "repeatDetector_changedTimeout_isLearned")
{
    learn(8s);
    learn(3s);
    CHECK_FALSE(detector.isRepeat("chat", 2800ms, true));
    CHECK(detector.isRepeat("chat", 2s, true));
}

// Guards against a judgement by a router that has just started during an overload.
TEST_CASE_FIXTURE(RepeatDetectorFixture, "repeatDetector_fewRequestsSeen_nothingIsJudged")
{
    learn(8s, 15);
    CHECK_FALSE(detector.isRepeat("chat", 1s, true));
}

// Guards against memory that grows with the names of routes.
TEST_CASE("repeatDetector_manyRoutes_areBounded")
{
    RepeatDetector detector({.maxRoutes = 3});
    for (int i = 0; i < 100; ++i) {
        for (int k = 0; k < 20; ++k)
            detector.isRepeat(fmt::format("route-{}", i), 8s, false);
    }
    CHECK(detector.isRepeat("route-2", 5s, true));
    CHECK_FALSE(detector.isRepeat("route-3", 5s, true));
}
