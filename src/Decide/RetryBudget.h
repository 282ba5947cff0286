#pragma once

#include <algorithm>

namespace catkinloft {

/// \brief Limits retries to a share of the first attempts.
///
/// Handles an upstream that fails many requests at once. Prevents unlimited retries from
/// multiplying the traffic while the pool has the least capacity. The budget covers the whole
/// traffic of the pool, because a limit per request would not bound the total.
class RetryBudget
{
public:
    /// \brief Sets the number of retries per first attempt, from `rules.retry_share`.
    void setShare(double share) { m_share = share; }

    void recordFirstAttempt() { m_tokens = std::min(m_tokens + m_share, MaxTokens); }

    /// \brief Takes one retry from the budget.
    /// \returns whether the retry is allowed.
    bool tryRetry()
    {
        if (m_share <= 0 || m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

    double tokens() const { return m_tokens; }

private:
    // Enough for the requests in progress on one crashed engine of a pool with little traffic. A
    // higher value would allow a burst of retries after a long time without failures.
    static constexpr double MaxTokens = 32;

    double m_share = 0.1;
    double m_tokens = MaxTokens;
};

} // namespace catkinloft
