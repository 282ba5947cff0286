#include "Decide/PrefillTimeout.h"

#include <algorithm>

namespace catkinloft {

namespace {

/// With shorter prompts the time is dominated by the round trip instead of by the prefill.
constexpr double MinTokens = 1000;

/// Weight of the newest prompt in the moving average, which covers about ten prompts.
constexpr double Smoothing = 0.1;

/// An engine that also decodes other requests takes up to twice as long as usual (1.1 s for what
/// usually takes 0.55 s), so a factor of 3 separates it from an engine that never answers.
constexpr double TimeoutFactor = 3;

/// Bounds a single measurement: one prompt that was queued behind others must not raise the timeout
/// of all others by seconds.
constexpr double MaxSecondsPerToken = 200e-6;

} // namespace

void PrefillTimeout::observe(double tokens, Duration after)
{
    if (tokens < MinTokens)
        return;
    const double measured = std::min(MaxSecondsPerToken, toSeconds(after) / tokens);
    m_secondsPerToken += Smoothing * (measured - m_secondsPerToken);
}

Duration PrefillTimeout::timeoutFor(double tokens) const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            TimeoutFactor * m_secondsPerToken * std::max(0.0, tokens)));
}

} // namespace catkinloft
