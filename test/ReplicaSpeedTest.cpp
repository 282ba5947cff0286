#include "Decide/ReplicaSpeed.h"
#include "Base/ManualClock.h"
#include "Base/Random.h"

#include <doctest/doctest.h>

#include <limits>
#include <vector>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct ReplicaSpeedFixture
{
    /// Reports a number of samples with a mean of \a ratio that vary by \a spread, ten seconds
    /// apart.
    void observe(int samples, double ratio, double spread = 0)
    {
        for (int i = 0; i < samples; ++i) {
            clock.advance(10s);
            speed.observe(ratio * (1 + spread * (2 * uniform(random) - 1)), clock.now());
        }
    }

    double factor() const { return speed.factor(clock.now()); }

    ManualClock clock;
    RandomSource random = seededRandom(1);
    ReplicaSpeed speed;
};

} // namespace

TEST_CASE_FIXTURE(ReplicaSpeedFixture, "replicaSpeed_noFigures_isUsual")
{
    CHECK(factor() == 1);
    clock.advance(1h);
    CHECK(factor() == 1);
}

// Guards against avoiding a replica because of a single long stream.
TEST_CASE_FIXTURE(ReplicaSpeedFixture, "replicaSpeed_oneSlowSample_isUsual")
{
    observe(1, 50);
    CHECK(factor() == 1);
}

TEST_CASE_FIXTURE(ReplicaSpeedFixture, "replicaSpeed_alwaysSlower_isLearnedWithinMinutes")
{
    observe(12, 1.3, 0.2);
    CHECK(factor() > 1.15);
    observe(60, 1.3, 0.2);
    CHECK(factor() > 1.2);
    CHECK(factor() < 1.4);
    observe(120, 3);
    CHECK(factor() > 2.5);
    CHECK(factor() <= 3);
    observe(60, 1, 0.2);
    CHECK(factor() == 1);
}

// Guards against preferring some of many equal replicas because of random differences: engines on
// shared machines whose streams run in part during slow phases.
TEST_CASE_FIXTURE(ReplicaSpeedFixture, "replicaSpeed_equalReplicasWithSlowPhases_areUsual")
{
    constexpr int Replicas = 60;
    int slow = 0;
    for (int i = 0; i < Replicas; ++i) {
        speed = {};
        for (int n = 0; n < 40; ++n) {
            const double slowPart = uniform(random) < 0.2 ? uniform(random) : 0;
            observe(1, 1 + 1.5 * slowPart, 0.1);
        }
        slow += factor() > 1 ? 1 : 0;
    }
    MESSAGE("considered slow: ", slow, " of ", Replicas);
    CHECK(slow <= Replicas / 10);
}

// Guards against sending all requests to a replica that seems faster than the others.
TEST_CASE_FIXTURE(ReplicaSpeedFixture, "replicaSpeed_fasterThanUsual_countsAsUsual")
{
    observe(30, 0.3);
    speed.paceReported(0.2, clock.now());
    CHECK(factor() == 1);
}

TEST_CASE_FIXTURE(ReplicaSpeedFixture, "replicaSpeed_reportedPace_decaysWithin600ms")
{
    speed.paceReported(2.5, clock.now());
    CHECK(factor() == doctest::Approx(2.5));
    clock.advance(300ms);
    CHECK(factor() == doctest::Approx(1.75));
    clock.advance(300ms);
    CHECK(factor() == 1);
    speed.paceReported(2.5, clock.now());
    speed.paceReported(1, clock.now());
    CHECK(factor() == 1);
}

TEST_CASE_FIXTURE(ReplicaSpeedFixture, "replicaSpeed_slowReplicaReportsItsPace_isNotCountedTwice")
{
    observe(100, 1.5);
    speed.paceReported(1.5, clock.now());
    CHECK(factor() == doctest::Approx(1.5).epsilon(0.02));
}

TEST_CASE_FIXTURE(ReplicaSpeedFixture, "replicaSpeed_unusableFigures_areLimited")
{
    constexpr double Infinity = std::numeric_limits<double>::infinity();
    constexpr double NaN = std::numeric_limits<double>::quiet_NaN();
    for (const double pace : {0.0, -3.0, NaN, -Infinity}) {
        speed.paceReported(pace, clock.now());
        speed.observe(pace, clock.now());
        CHECK(factor() == 1);
    }
    for (const double pace : {1e300, Infinity}) {
        speed.paceReported(pace, clock.now());
        CHECK(factor() == ReplicaSpeed::MaxFactor);
    }
    clock.advance(1s);
    observe(1000, 1e300);
    CHECK(factor() == ReplicaSpeed::MaxFactor);
}

// Guards against avoiding a replica for ever that has become fast, since it gets no samples then.
TEST_CASE_FIXTURE(ReplicaSpeedFixture, "replicaSpeed_noSamplesForMinutes_isUsualAgain")
{
    observe(100, 2);
    REQUIRE(factor() > 1.8);
    clock.advance(ReplicaSpeed::SampleLifetime);
    CHECK(factor() == 1);
}

TEST_CASE_FIXTURE(ReplicaSpeedFixture, "replicaSpeedBaseline_thirdOfReplicasSlower_isTheUsualTime")
{
    ReplicaSpeed::Baseline baseline;
    CHECK(baseline.observe(200ms) == 1); // An exceptionally slow first sample.
    for (int i = 0; i < 60; ++i)
        baseline.observe(i % 3 == 0 ? 39ms : 30ms);
    CHECK(baseline.observe(30ms) == doctest::Approx(1).epsilon(0.08));
    CHECK(baseline.observe(39ms) == doctest::Approx(1.3).epsilon(0.08));
}

TEST_CASE_FIXTURE(ReplicaSpeedFixture, "replicaSpeedBaseline_loadOfTheServiceChanges_isFollowed")
{
    ReplicaSpeed::Baseline baseline;
    for (int i = 0; i < 50; ++i)
        baseline.observe(10ms);
    CHECK(baseline.observe(10ms) == 1);
    for (int i = 0; i < 50; ++i)
        baseline.observe(30ms);
    CHECK(baseline.observe(30ms) == doctest::Approx(1).epsilon(0.08));
    CHECK(baseline.observe(0ms) == 1);
}
