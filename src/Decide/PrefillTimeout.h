#pragma once

#include "Base/Clock.h"

namespace catkinloft {

/// \brief Estimates how long an engine may take to process a prompt before it counts as
/// unresponsive.
///
/// Handles prompts of a hundred to thirty thousand tokens on the same engines, which process them
/// in chunks between the decoding steps of other requests. With one fixed timeout for all prompts,
/// an engine that needs 1.2 s for 30,000 tokens was given up and ejected, and the next engine
/// started again from the first token: two such prompts in half a minute cost 90,000 tokens of
/// repeated prefill (2.5% of what twelve engines process at low load) and two healthy engines for
/// five seconds.
///
/// The rate is measured with prompts of which the engine had cached nothing, so it follows the
/// engines and their usual load.
class PrefillTimeout
{
public:
    /// \brief Reports that the first event arrived \a after a prompt of \a tokens was sent to an
    /// engine that had cached none of it.
    void observe(double tokens, Duration after);

    /// \returns the time within which a healthy engine processes a prompt of \a tokens, even if it
    /// has cached none of it.
    Duration timeoutFor(double tokens) const;

private:
    double m_secondsPerToken = InitialSecondsPerToken;

    /// Used before the first measurement: 20 tokens a millisecond, a third of the rate of common
    /// engines.
    static constexpr double InitialSecondsPerToken = 50e-6;
};

} // namespace catkinloft
