#pragma once

#include "Base/Clock.h"

namespace catkinloft {

/// \brief How long an engine may take to read a prompt before it is taken for silent.
///
/// Load: prompts of a hundred to thirty thousand tokens on the same engines, which read them in
/// chunks between the tokens of other requests. Harm prevented: with one limit for all, an engine
/// that was reading 30,000 tokens for 1.2 s was given up and ejected, and the next one began anew:
/// two such prompts in half a minute cost 90,000 tokens read again (2.5% of all that a quiet day of
/// twelve engines earns) and two sound engines for five seconds.
///
/// The pace is learned from prompts of which nothing was kept, so it follows the engines and their
/// usual load.
class PrefillTimeout
{
public:
    /// \brief Takes note that the first event came \a after a prompt of \a tokens was sent to an
    /// engine that kept none of it.
    void observe(double tokens, Duration after);

    /// \returns the time in which a sound engine has read \a tokens, whatever it keeps of them.
    Duration timeoutFor(double tokens) const;

private:
    double m_secondsPerToken = InitialSecondsPerToken;

    /// Before anything is known: 20 tokens a millisecond, a third of what common engines read.
    static constexpr double InitialSecondsPerToken = 50e-6;
};

} // namespace catkinloft
