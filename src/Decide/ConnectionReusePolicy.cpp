#include "Decide/ConnectionReusePolicy.h"

#include <algorithm>

namespace catkinloft {

Duration ConnectionReusePolicy::limit(bool retryable)
{
    recover();
    return retryable ? 2 * m_limit : m_limit;
}

bool ConnectionReusePolicy::reportBroken(Duration idleTime, Duration after)
{
    recover();
    if (idleTime < m_options.minLimit || after > m_options.maxResetTime)
        return false;
    m_limit = std::clamp(idleTime / 2, m_options.minLimit, m_limit);
    m_changedAt = m_options.clock.now();
    return true;
}

void ConnectionReusePolicy::recover()
{
    const TimePoint now = m_options.clock.now();
    while (m_limit < m_options.maxLimit && now - m_changedAt >= m_options.recoveryInterval) {
        m_limit = std::min(2 * m_limit, m_options.maxLimit);
        m_changedAt += m_options.recoveryInterval;
    }
}

} // namespace catkinloft
