#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <utility>

#include <json/json.h>

namespace catkinloft::standin {

/// \brief An engine's prompt prefixes in limited memory, the least recently used one evicted
/// first, and the events that tell of them: late, and some missing.
class PrefixCache
{
public:
    struct Options
    {
        const Clock &clock;
        double capacity = 400'000; ///< Prompt tokens kept.
        Duration eventLag = std::chrono::milliseconds(500);
        int gapEvery = 10; ///< Every so many events one is never shown; 0: none.
    };

    explicit PrefixCache(Options options) : m_options(options) { }

    /// \brief Notes a prompt of \a chat.
    /// \returns its tokens that were kept already.
    double use(const std::string &chat, double tokens);

    /// \returns tokens kept of \a chat.
    double tokensOf(const std::string &chat) const;

    /// \returns the events after number \a after that are due to be seen.
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
