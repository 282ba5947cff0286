#include "Control/StoreReadPlan.h"

#include <algorithm>

namespace catkinloft {

bool StoreReadPlan::isDue(const State &state) const
{
    if (m_calling || !(state.reader || state.overdue))
        return false;
    if (!m_broughtNothing)
        return true;
    const Duration waited = m_options.clock.now() - m_endedAt;
    return waited >= pause(state)
            || (isWoken(state) && waited >= scaled(m_options.readerPause, m_spread));
}

bool StoreReadPlan::isWoken(const State &state) const
{
    return m_answeredElsewhere > m_endedAt
            && (m_wokenAt == TimePoint::min() || m_options.clock.now() - m_wokenAt >= pause(state));
}

void StoreReadPlan::answeredElsewhere(TimePoint at)
{
    m_answeredElsewhere = std::max(m_answeredElsewhere, at);
}

Duration StoreReadPlan::pause(const State &state) const
{
    const bool knowsNobody = state.routers <= 1;
    const Duration shared =
            m_options.fleetPause * (knowsNobody ? m_options.unknownFleet : state.routers);
    // A single failure may be a lost packet. A router that knows no other cannot tell and calls a
    // second time.
    const bool tryAgain = knowsNobody && m_failures < 2;
    const Duration whole = state.reader || !m_failed || tryAgain
            ? m_options.readerPause
            : std::max(m_options.readerPause, shared);
    return scaled(whole, m_spread);
}

void StoreReadPlan::began()
{
    m_calling = true;
    if (m_answeredElsewhere > m_endedAt)
        m_wokenAt = m_options.clock.now();
    m_silentSince = std::min(m_silentSince, m_options.clock.now());
}

void StoreReadPlan::answered()
{
    m_calling = false;
    m_broughtNothing = false;
    m_failed = false;
    m_failures = 0;
    m_wokenAt = TimePoint::min();
    m_silentSince = TimePoint::max();
}

void StoreReadPlan::end(bool failed)
{
    m_calling = false;
    m_broughtNothing = true;
    m_failed = failed;
    m_failures = failed ? m_failures + 1 : 0;
    m_endedAt = m_options.clock.now();
    m_spread = 0.75 + 0.5 * uniform(m_options.random);
}

void StoreReadPlan::failed()
{
    end(true);
}

void StoreReadPlan::foundNothing()
{
    end(false);
    m_silentSince = TimePoint::max();
}

bool StoreReadPlan::isFailing() const
{
    return m_failed && m_options.clock.now() - m_endedAt < m_options.failureLife;
}

Duration StoreReadPlan::silence() const
{
    return m_silentSince == TimePoint::max() ? Duration::zero()
                                             : m_options.clock.now() - m_silentSince;
}

} // namespace catkinloft
