#include "Control/PromptUpdates.h"

#include "Base/Hash.h"

#include <algorithm>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// Time after which a part that is in constant use is announced again. The receivers drop a part
/// that was not used for a minute.
constexpr Duration ReannounceInterval = 15s;

/// Maximum length of the queue. It is exceeded only at a hundred new prompts a second; further
/// updates are then dropped.
constexpr std::size_t MaxItems = 400;

/// Maximum number of stored announcement times. Beyond it all are dropped, so that some parts are
/// announced twice.
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
        ++m_items[i].sends;
    }
    std::erase_if(m_items, [heartbeats](const Item &it) { return it.sends >= heartbeats; });
    return out;
}

} // namespace catkinloft
