#include "Decide/AttemptSilence.h"
#include "Base/ManualClock.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct AttemptSilenceFixture
{
    ManualClock clock;
    AttemptSilence silence{clock};
    Route stream{.kind = CallKind::Streaming, .resumable = true, .maxEventGap = 500ms};
    Route call{.kind = CallKind::Idempotent, .timeout = 4s};
};

} // namespace

TEST_CASE_FIXTURE(AttemptSilenceFixture, "attemptSilence_stream_isStalledAfterThreeGaps")
{
    silence.start(stream, 0s);
    clock.advance(499ms);
    CHECK(!silence.isPathDoubtful());
    clock.advance(1ms);
    CHECK(silence.isPathDoubtful());
    clock.advance(999ms);
    CHECK(!silence.isStalled());
    clock.advance(1ms);
    CHECK(silence.isStalled());
    silence.received();
    CHECK(!silence.isPathDoubtful());
}

// Guards against streams with small gaps that count as stalled in a short pause.
TEST_CASE_FIXTURE(AttemptSilenceFixture, "attemptSilence_smallGaps_limitIsNotBelowItsMinimum")
{
    stream.maxEventGap = 10ms;
    silence.start(stream, 0s);
    CHECK(silence.stallLimit() == 1200ms);
}

// Guards against an engine that counts as silent while it processes a long prompt.
TEST_CASE_FIXTURE(AttemptSilenceFixture, "attemptSilence_prefill_extendsLimitsUntilFirstEvent")
{
    silence.start(stream, 2s);
    clock.advance(3400ms);
    CHECK(!silence.isStalled());
    CHECK(silence.eventReceived());
    CHECK(!silence.eventReceived());
    silence.received();
    clock.advance(1500ms);
    CHECK(silence.isStalled());
    silence.start(stream, 2s);
    CHECK(silence.eventReceived());
}

// Guards against taking a caller that reads slowly for a silent replica.
TEST_CASE_FIXTURE(AttemptSilenceFixture, "attemptSilence_readingIsPaused_isNotSilent")
{
    silence.start(stream, 0s);
    silence.setPaused(true);
    clock.advance(10s);
    CHECK(!silence.isPathDoubtful());
    silence.setPaused(false);
    CHECK(!silence.isStalled());
    clock.advance(1500ms);
    CHECK(silence.isStalled());
}

TEST_CASE_FIXTURE(AttemptSilenceFixture, "attemptSilence_call_isStalledAfterHalfOfItsTimeout")
{
    silence.start(call, 3s);
    clock.advance(300ms);
    CHECK(silence.isPathDoubtful());
    clock.advance(1699ms);
    CHECK(!silence.isStalled());
    clock.advance(1ms);
    CHECK(silence.isStalled());
}
