#include "Control/StoreReadPlan.h"

#include <algorithm>

namespace catkinloft {

bool StoreReadPlan::isDue(const State &state) const
{
    if (m_calling || !(state.reader || state.overdue))
        return false;
    return !m_broughtNothing || m_options.clock.now() - m_endedAt >= pause(state);
}

Duration StoreReadPlan::pause(const State &state) const
{
    const Duration shared = m_options.fleetPause * state.routers;
    const Duration whole = state.reader || !m_failed ? m_options.readerPause
                                                     : std::max(m_options.readerPause, shared);
    return scaled(whole, m_spread);
}

void StoreReadPlan::began()
{
    m_calling = true;
    m_silentSince = std::min(m_silentSince, m_options.clock.now());
}

void StoreReadPlan::answered()
{
    m_calling = false;
    m_broughtNothing = false;
    m_failed = false;
    m_silentSince = TimePoint::max();
}

void StoreReadPlan::end(bool failed)
{
    m_calling = false;
    m_broughtNothing = true;
    m_failed = failed;
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
