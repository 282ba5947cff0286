#include "Decide/SoftwareHistory.h"

namespace catkinloft {

namespace {

/// Longer than any window that seen() is asked for.
constexpr Duration Lifetime = std::chrono::hours(1);

} // namespace

void SoftwareHistory::update(std::span<const ReplicaRecord> replicas)
{
    const TimePoint now = m_clock.now();
    if (!m_startedAt)
        m_startedAt = now;
    for (auto &[service, versions] : m_services) {
        for (auto &[name, it] : versions) {
            if (it.isRegistered)
                it.lastSeenAt = now;
            it.isRegistered = false;
        }
        std::erase_if(versions,
                      [now](const auto &it) { return now - it.second.lastSeenAt > Lifetime; });
    }
    for (const ReplicaRecord &it : replicas)
        m_services[it.service][it.software()].isRegistered = true;
}

std::set<std::string> SoftwareHistory::seen(const std::string &service, Duration window) const
{
    std::set<std::string> out;
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return out;
    const TimePoint now = m_clock.now();
    for (const auto &[name, it] : found->second) {
        if (it.isRegistered || now - it.lastSeenAt <= window)
            out.insert(name);
    }
    return out;
}

Duration SoftwareHistory::observedFor() const
{
    return m_startedAt ? m_clock.now() - *m_startedAt : Duration::zero();
}

} // namespace catkinloft
