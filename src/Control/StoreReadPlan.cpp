#include "Control/StoreReadPlan.h"

#include <algorithm>

namespace catkinloft {

bool StoreReadPlan::isDue(const State &state) const
{
    if (m_calling || !(state.reader || state.overdue))
        return false;
    if (!m_backingOff)
        return true;
    const Duration waited = m_options.clock.now() - m_endedAt;
    return waited >= pause(state)
            || (mayRetryEarly(state) && waited >= scaled(m_options.readerPause, m_jitter));
}

bool StoreReadPlan::mayRetryEarly(const State &state) const
{
    return m_answeredElsewhere > m_endedAt
            && (m_earlyRetryAt == TimePoint::min()
                || m_options.clock.now() - m_earlyRetryAt >= pause(state));
}

void StoreReadPlan::answeredElsewhere(TimePoint at)
{
    m_answeredElsewhere = std::max(m_answeredElsewhere, at);
}

Duration StoreReadPlan::pause(const State &state) const
{
    const bool isAlone = state.routers <= 1;
    const Duration shared =
            m_options.fleetPause * (isAlone ? m_options.assumedFleetSize : state.routers);
    // A single failure may be a lost packet. A router that knows no other cannot tell and calls a
    // second time.
    const bool retriesSoon = isAlone && m_failures < 2;
    const Duration whole = state.reader || !m_failed || retriesSoon
            ? m_options.readerPause
            : std::max(m_options.readerPause, shared);
    return scaled(whole, m_jitter);
}

void StoreReadPlan::began()
{
    m_calling = true;
    if (m_answeredElsewhere > m_endedAt)
        m_earlyRetryAt = m_options.clock.now();
    m_unansweredSince = std::min(m_unansweredSince, m_options.clock.now());
}

void StoreReadPlan::answered()
{
    m_calling = false;
    m_backingOff = false;
    m_failed = false;
    m_failures = 0;
    m_earlyRetryAt = TimePoint::min();
    m_unansweredSince = TimePoint::max();
}

void StoreReadPlan::end(bool failed)
{
    m_calling = false;
    m_backingOff = true;
    m_failed = failed;
    m_failures = failed ? m_failures + 1 : 0;
    m_endedAt = m_options.clock.now();
    m_jitter = 0.75 + 0.5 * uniform(m_options.random);
}

void StoreReadPlan::failed()
{
    end(true);
}

void StoreReadPlan::answeredEmpty()
{
    end(false);
    m_unansweredSince = TimePoint::max();
}

bool StoreReadPlan::isFailing() const
{
    return m_failed && m_options.clock.now() - m_endedAt < m_options.failureExpiry;
}

Duration StoreReadPlan::unansweredFor() const
{
    return m_unansweredSince == TimePoint::max() ? Duration::zero()
                                                 : m_options.clock.now() - m_unansweredSince;
}

} // namespace catkinloft
