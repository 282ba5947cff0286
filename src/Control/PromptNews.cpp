#include "Control/PromptNews.h"

#include "Base/Hash.h"

#include <algorithm>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// A part that is in use all the time is told again after this, since who hears of it forgets it
/// when it was not used for a minute.
constexpr Duration TellAgain = 15s;

/// News that waits: more only comes at a hundred new prompts a second, and is dropped.
constexpr std::size_t MaxItems = 400;

/// Remembered tellings; beyond it all are forgotten, which costs some that are told twice.
constexpr std::size_t MaxNoted = 20'000;

} // namespace

void PromptNews::note(const std::string &replica, std::span<const PromptPart> prompt)
{
    const TimePoint now = m_clock.now();
    if (m_noted.size() > MaxNoted)
        m_noted.clear();
    for (const PromptPart &it : prompt) {
        const auto [entry, isNew] = m_noted.emplace(hashCombine(hash64(replica), it.id), now);
        if (!isNew && now - entry->second < TellAgain)
            continue;
        entry->second = now;
        if (m_items.size() < MaxItems)
            m_items.push_back({replica, it.id, 0});
    }
}

PromptsByReplica PromptNews::take(std::size_t rounds, std::size_t most)
{
    PromptsByReplica out;
    const std::size_t n = std::min(most, m_items.size());
    for (std::size_t i = 0; i < n; ++i) {
        out[m_items[i].replica].push_back(m_items[i].part);
        ++m_items[i].told;
    }
    std::erase_if(m_items, [rounds](const Item &it) { return it.told >= rounds; });
    return out;
}

} // namespace catkinloft
