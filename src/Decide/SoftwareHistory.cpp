#include "Decide/SoftwareHistory.h"

#include <algorithm>

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

bool SoftwareHistory::isComplete() const
{
    return m_isComplete || (m_startedAt && m_clock.now() - *m_startedAt >= Lifetime);
}

void SoftwareHistory::adopt(std::span<const Row> rows)
{
    const TimePoint now = m_clock.now();
    const WallTime wallNow = m_clock.wallNow();
    for (const Row &it : rows) {
        // When a software was removed that the store has as registered is not known.
        const Duration age = it.goneAt ? std::max(Duration::zero(), Duration(wallNow - *it.goneAt))
                                       : Duration::zero();
        if (age <= Lifetime)
            m_services[it.service].try_emplace(it.software, Software{.lastSeenAt = now - age});
    }
    m_isComplete = true;
}

std::vector<SoftwareHistory::Row> SoftwareHistory::rows() const
{
    std::vector<Row> out;
    for (const auto &[service, versions] : m_services) {
        for (const auto &[name, it] : versions) {
            Row row{.service = service, .software = name};
            if (!it.isRegistered)
                row.goneAt = m_clock.wallNow()
                        - std::chrono::duration_cast<WallTime::duration>(m_clock.now()
                                                                         - it.lastSeenAt);
            out.push_back(std::move(row));
        }
    }
    return out;
}

Duration SoftwareHistory::observedFor() const
{
    if (isComplete())
        return Lifetime;
    return m_startedAt ? m_clock.now() - *m_startedAt : Duration::zero();
}

} // namespace catkinloft
