#include "Decide/SilenceMonitor.h"

#include <algorithm>

namespace catkinloft {

namespace {

/// Two replicas that fail at the same moment are rare, unlike a pause of what they share.
constexpr std::size_t MinSilentTogether = 2;

} // namespace

void SilenceMonitor::sent(const std::string &id)
{
    Entry &it = m_entries[id];
    if (it.inProgress++ == 0)
        it.lastSign = m_clock.now();
}

void SilenceMonitor::received(const std::string &id)
{
    const auto it = m_entries.find(id);
    if (it != m_entries.end())
        it->second.lastSign = it->second.lastByteAt = m_clock.now();
}

void SilenceMonitor::ended(const std::string &id)
{
    const auto it = m_entries.find(id);
    if (it != m_entries.end() && it->second.inProgress > 0)
        --it->second.inProgress;
}

void SilenceMonitor::retain(const std::set<std::string> &registered)
{
    std::erase_if(m_entries, [&](const auto &it) {
        return it.second.inProgress == 0 && !registered.contains(it.first);
    });
}

Duration SilenceMonitor::silence(const Entry &it) const
{
    return it.inProgress > 0 ? m_clock.now() - it.lastSign : Duration::zero();
}

Duration SilenceMonitor::silenceOf(const std::string &id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? Duration::zero() : silence(it->second);
}

std::optional<Duration> SilenceMonitor::sinceReceived(const std::string &id) const
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || it->second.lastByteAt == TimePoint::min())
        return std::nullopt;
    return m_clock.now() - it->second.lastByteAt;
}

std::size_t SilenceMonitor::silentReplicas(Duration limit) const
{
    return static_cast<std::size_t>(
            std::count_if(m_entries.begin(), m_entries.end(),
                          [&](const auto &it) { return isSilent(it.second, limit); }));
}

bool SilenceMonitor::isSilent(const Entry &it, Duration limit) const
{
    return it.inProgress > 0 && silence(it) >= limit;
}

std::vector<std::string> SilenceMonitor::silent(Duration limit) const
{
    std::vector<std::string> out;
    for (const auto &[id, it] : m_entries) {
        if (isSilent(it, limit))
            out.push_back(id);
    }
    return out;
}

bool SilenceMonitor::isMostlySilent(Duration limit) const
{
    const TimePoint since = m_clock.now() - limit;
    const auto heard = static_cast<std::size_t>(
            std::count_if(m_entries.begin(), m_entries.end(),
                          [&](const auto &it) { return it.second.lastByteAt > since; }));
    const std::size_t silent = silentReplicas(limit);
    return silent >= MinSilentTogether && silent > heard;
}

std::size_t SilenceMonitor::busyReplicas() const
{
    return static_cast<std::size_t>(
            std::count_if(m_entries.begin(), m_entries.end(),
                          [](const auto &it) { return it.second.inProgress > 0; }));
}

} // namespace catkinloft
