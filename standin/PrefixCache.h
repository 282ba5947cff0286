#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <utility>

#include <json/json.h>

namespace catkinloft::standin {

/// \brief LRU cache of an engine's prompt prefixes, and the log of its store and evict events. As
/// with real engines, events become visible late and some are missing.
class PrefixCache
{
public:
    struct Options
    {
        const Clock &clock;
        double capacity = 400'000; ///< In prompt tokens.
        Duration eventLag = std::chrono::milliseconds(500);
        int gapEvery = 10; ///< Every gapEvery-th event is lost; 0: none.
    };

    explicit PrefixCache(Options options) : m_options(options) { }

    /// \brief Stores a prompt of \a chat with \a tokens, and evicts other chats beyond the
    /// capacity. \returns how many of its tokens were already cached.
    double use(const std::string &chat, double tokens);

    /// \returns the cached tokens of \a chat.
    double tokensOf(const std::string &chat) const;

    /// \returns the visible events with a number above \a after.
    Json::Value events(std::uint64_t after) const;

private:
    struct Event
    {
        std::uint64_t seq;
        TimePoint at;
        std::string chat;
        double tokens;
        bool stored;
    };

    void recordEvent(const std::string &chat, double tokens, bool stored);

    Options m_options;
    std::list<std::pair<std::string, double>> m_entries; ///< Most recently used first.
    double m_tokens = 0;
    std::uint64_t m_lastSeq = 0;
    std::deque<Event> m_events;
};

} // namespace catkinloft::standin
