#include "Control/EvacuatedDomains.h"

#include "Base/Log.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace catkinloft {

void EvacuatedDomains::accept(const State &state)
{
    if (state.storeVersion <= m_state.storeVersion)
        return;
    const bool hasChanged = state.domains != m_state.domains;
    m_state = state;
    if (!hasChanged)
        return;
    m_shouldAnnounce = true;
    Log::info("evacuated_domains",
              {{"domains", fmt::format("{}", fmt::join(m_state.domains, " "))},
               {"store_version", m_state.storeVersion}});
    m_changed.emit();
}

void EvacuatedDomains::change(std::span<const DomainEvacuation> changes, std::uint64_t storeVersion)
{
    State next{.storeVersion = storeVersion, .domains = m_state.domains};
    for (const DomainEvacuation &it : changes) {
        if (it.isEvacuated)
            next.domains.insert(it.domain);
        else
            next.domains.erase(it.domain);
    }
    accept(next);
}

} // namespace catkinloft
