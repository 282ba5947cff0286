#include "Decide/AttemptSilence.h"

#include <algorithm>
#include <utility>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// A stream counts as stalled after StallFactor times the largest permitted gap between events, but
/// not before MinStallLimit. Callers give up after eight times that gap plus two seconds; half of
/// it leaves the replica that resumes the stream enough time.
constexpr int StallFactor = 3;
constexpr Duration MinStallLimit = 1200ms;

/// A call counts as stalled after its timeout divided by this number.
constexpr int CallStallDivisor = 2;

/// The path of a stream is checked after its stall limit divided by this number.
constexpr int StreamPathDivisor = 3;

} // namespace

void AttemptSilence::start(const Route &route, Duration prefill)
{
    m_lastDataAt = m_clock.now();
    m_receivedEvent = false;
    m_paused = false;
    if (route.kind == CallKind::Streaming) {
        const Duration maxGap = route.maxEventGap.value_or(Duration::zero());
        m_stallLimit = std::max(MinStallLimit, maxGap * StallFactor);
        m_pathLimit = m_stallLimit / StreamPathDivisor;
        m_prefill = prefill;
    } else {
        m_stallLimit = route.timeout / CallStallDivisor;
        m_pathLimit = CallPathLimit;
        m_prefill = Duration::zero();
    }
}

bool AttemptSilence::eventReceived()
{
    m_prefill = Duration::zero();
    return !std::exchange(m_receivedEvent, true);
}

void AttemptSilence::setPaused(bool paused)
{
    m_paused = paused;
    received();
}

Duration AttemptSilence::time() const
{
    return m_paused ? Duration::zero() : m_clock.now() - m_lastDataAt;
}

} // namespace catkinloft
