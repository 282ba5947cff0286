#include "Decide/IdleTrust.h"

#include <algorithm>

namespace catkinloft {

Duration IdleTrust::limit(bool repeatable)
{
    recover();
    return repeatable ? 2 * m_limit : m_limit;
}

bool IdleTrust::broke(Duration rested, Duration after)
{
    recover();
    if (rested < m_options.minLimit || after > m_options.answerTime)
        return false;
    m_limit = std::clamp(rested / 2, m_options.minLimit, m_limit);
    m_changedAt = m_options.clock.now();
    return true;
}

void IdleTrust::recover()
{
    const TimePoint now = m_options.clock.now();
    while (m_limit < m_options.maxLimit && now - m_changedAt >= m_options.recovery) {
        m_limit = std::min(2 * m_limit, m_options.maxLimit);
        m_changedAt += m_options.recovery;
    }
}

} // namespace catkinloft
