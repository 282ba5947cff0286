#include "Control/PromptUpdates.h"

#include "Base/Hash.h"

#include <algorithm>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// A part that is in use all the time is told again after this, since who hears of it forgets it
/// when it was not used for a minute.
constexpr Duration ReannounceInterval = 15s;

/// News that waits: more only comes at a hundred new prompts a second, and is dropped.
constexpr std::size_t MaxItems = 400;

/// Remembered tellings; beyond it all are forgotten, which costs some that are told twice.
constexpr std::size_t MaxAnnounced = 20'000;

} // namespace

void PromptUpdates::note(const std::string &replica, std::span<const PromptPart> prompt)
{
    const TimePoint now = m_clock.now();
    if (m_announcedAt.size() > MaxAnnounced)
        m_announcedAt.clear();
    for (const PromptPart &it : prompt) {
        const auto [entry, isNew] = m_announcedAt.emplace(hashCombine(hash64(replica), it.id), now);
        if (!isNew && now - entry->second < ReannounceInterval)
            continue;
        entry->second = now;
        if (m_items.size() < MaxItems)
            m_items.push_back({replica, it.id, 0});
    }
}

PromptsByReplica PromptUpdates::take(std::size_t heartbeats, std::size_t maxParts)
{
    PromptsByReplica out;
    const std::size_t n = std::min(maxParts, m_items.size());
    for (std::size_t i = 0; i < n; ++i) {
        out[m_items[i].replica].push_back(m_items[i].part);
        ++m_items[i].told;
    }
    std::erase_if(m_items, [heartbeats](const Item &it) { return it.told >= heartbeats; });
    return out;
}

} // namespace catkinloft
