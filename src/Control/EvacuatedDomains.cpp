#include "Control/EvacuatedDomains.h"

#include "Base/Log.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace catkinloft {

void EvacuatedDomains::accept(const State &state)
{
    if (state.position <= m_state.position)
        return;
    if (state.position.isRestoredSince(m_state.position)) {
        m_retained = m_domains;
        m_retainUntil = m_options.clock.now() + m_options.rewriteTime;
    }
    m_state = state;
    update();
}

void EvacuatedDomains::update()
{
    if (m_options.clock.now() >= m_retainUntil)
        m_retained.clear();
    std::set<std::string> domains = m_state.domains;
    domains.insert(m_retained.begin(), m_retained.end());
    if (domains == m_domains)
        return;
    m_domains = std::move(domains);
    m_shouldAnnounce = true;
    Log::info("evacuated_domains",
              {{"domains", fmt::format("{}", fmt::join(m_domains, " "))},
               {"retained", m_retained.size()},
               {"era", m_state.position.era},
               {"store_version", m_state.position.version}});
    m_changed.emit();
}

void EvacuatedDomains::change(std::span<const DomainEvacuation> changes,
                              const StorePosition &position)
{
    State next{.position = position, .domains = m_state.domains};
    for (const DomainEvacuation &it : changes) {
        if (it.isEvacuated)
            next.domains.insert(it.domain);
        else
            next.domains.erase(it.domain);
    }
    accept(next);
}

} // namespace catkinloft
