#include "Decide/PrefillTimeout.h"

#include <algorithm>

namespace catkinloft {

namespace {

/// Shorter prompts tell more of the way there and back than of reading.
constexpr double MinTokens = 1000;

/// Some ten prompts decide.
constexpr double Smoothing = 0.1;

/// An engine that shares its steps with others takes up to twice as long as usual (1.1 s for what
/// usually takes 0.55); a silent one takes for ever.
constexpr double TimeoutFactor = 3;

/// One prompt that waited behind others must not make the rest wait for seconds.
constexpr double MaxSecondsPerToken = 200e-6;

} // namespace

void PrefillTimeout::observe(double tokens, Duration after)
{
    if (tokens < MinTokens)
        return;
    const double pace = std::min(MaxSecondsPerToken, toSeconds(after) / tokens);
    m_secondsPerToken += Smoothing * (pace - m_secondsPerToken);
}

Duration PrefillTimeout::timeoutFor(double tokens) const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            TimeoutFactor * m_secondsPerToken * std::max(0.0, tokens)));
}

} // namespace catkinloft
