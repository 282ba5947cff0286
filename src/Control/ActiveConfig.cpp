#include "Control/ActiveConfig.h"

#include "Base/Log.h"

#include <algorithm>

namespace catkinloft {

bool ActiveConfig::accept(RouteConfigPtr config, TimePoint readStartedAt)
{
    if (m_config && config->revision < m_config->revision) {
        Log::warning("older_config_ignored",
                     {{"revision", config->revision}, {"in_force", m_config->revision}});
        return false;
    }
    if (!m_config || config->revision > m_config->revision) {
        m_config = std::move(config);
        m_provenAt = readStartedAt;
        Log::info("config_in_force",
                  {{"revision", m_config->revision},
                   {"routes", m_config->routes.size()},
                   {"workspaces", m_config->workspaces.size()},
                   {"proof_age_ms", proofAge() / std::chrono::milliseconds(1)}});
        m_changed.emit(m_config);
        return true;
    }
    confirm(config->revision, readStartedAt);
    return true;
}

void ActiveConfig::confirm(std::uint64_t revision, TimePoint readStartedAt)
{
    if (m_config && m_config->revision == revision)
        m_provenAt = std::max(m_provenAt, readStartedAt);
}

Duration ActiveConfig::proofAge() const
{
    // "No proof" is TimePoint::min(); subtracting it would overflow.
    return m_provenAt == TimePoint::min() ? Duration::max() : m_clock.now() - m_provenAt;
}

} // namespace catkinloft
