#pragma once

#include <algorithm>

namespace catkinloft {

/// \brief Allows retries as a share of first attempts.
///
/// Load: an upstream that fails many requests at once. Harm prevented: unlimited retries multiply
/// the traffic just when the pool is weakest; a budget for all of the pool's traffic bounds the
/// sum, where a limit a call would not.
class RetryBudget
{
public:
    /// \brief Takes over `rules.retry_share`.
    void setShare(double share) { m_share = share; }

    void recordFirstAttempt() { m_tokens = std::min(m_tokens + m_share, MaxTokens); }

    /// \returns whether one retry is allowed, and counts it.
    bool tryRetry()
    {
        if (m_share <= 0 || m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

    double tokens() const { return m_tokens; }

private:
    // Enough for the requests in progress on one crashed engine of a quiet pool; more would allow a
    // burst of retries after a long quiet time.
    static constexpr double MaxTokens = 32;

    double m_share = 0.1;
    double m_tokens = MaxTokens;
};

} // namespace catkinloft
