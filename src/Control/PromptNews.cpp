#include "Control/PromptNews.h"

#include "Base/Hash.h"

#include <algorithm>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// Time after which a part that is in constant use is announced again. The receivers drop a part
/// that was not used for a minute.
constexpr Duration TellAgain = 15s;

/// Maximum length of the queue. It is exceeded only at a hundred new prompts a second; further
/// updates are then dropped.
constexpr std::size_t MaxItems = 400;

/// Maximum number of stored announcement times. Beyond it all are dropped, so that some parts are
/// announced twice.
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
