#include "Decide/PromptIndex.h"

#include <algorithm>

namespace catkinloft {

void PromptIndex::note(std::uint64_t replica, std::uint64_t part)
{
    if (m_holders.size() >= m_options.maxParts && !m_holders.contains(part))
        evictExpired();
    std::vector<Holder> &list = m_holders[part];
    const auto it = std::find_if(list.begin(), list.end(),
                                 [=](const Holder &holder) { return holder.replica == replica; });
    if (it != list.end())
        it->usedAt = m_options.clock.now();
    else
        list.push_back({replica, m_options.clock.now()});
}

void PromptIndex::remove(std::uint64_t replica)
{
    for (auto &[part, list] : m_holders)
        std::erase_if(list, [=](const Holder &it) { return it.replica == replica; });
    std::erase_if(m_holders, [](const auto &it) { return it.second.empty(); });
}

std::unordered_map<std::uint64_t, std::vector<std::uint64_t>>
PromptIndex::partsByReplica(std::size_t maxPerReplica) const
{
    const TimePoint oldest = m_options.clock.now() - m_options.life;
    std::unordered_map<std::uint64_t, std::vector<std::uint64_t>> out;
    for (const auto &[part, list] : m_holders) {
        for (const Holder &it : list) {
            std::vector<std::uint64_t> &parts = out[it.replica];
            if (it.usedAt >= oldest && parts.size() < maxPerReplica)
                parts.push_back(part);
        }
    }
    return out;
}

double PromptIndex::cachedTokens(std::uint64_t replica, std::span<const PromptPart> prompt) const
{
    const TimePoint oldest = m_options.clock.now() - m_options.life;
    double out = 0;
    for (const PromptPart &part : prompt) {
        const auto list = m_holders.find(part.id);
        const bool cached = list != m_holders.end()
                && std::any_of(list->second.begin(), list->second.end(), [&](const Holder &it) {
                                return it.replica == replica && it.usedAt >= oldest;
                            });
        if (!cached)
            break;
        out += part.tokens;
    }
    return out;
}

void PromptIndex::evictExpired()
{
    const TimePoint oldest = m_options.clock.now() - m_options.life;
    for (auto &[part, list] : m_holders)
        std::erase_if(list, [=](const Holder &it) { return it.usedAt < oldest; });
    std::erase_if(m_holders, [](const auto &it) { return it.second.empty(); });
    // All entries are in use. They are only hints and may be lost, but memory must not grow.
    if (m_holders.size() >= m_options.maxParts)
        m_holders.clear();
}

} // namespace catkinloft
