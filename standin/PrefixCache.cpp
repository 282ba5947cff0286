#include "PrefixCache.h"

#include <algorithm>

namespace catkinloft::standin {

namespace {

/// Older events are dropped, as when the ring buffer of a real engine overflows.
constexpr std::size_t MaxEvents = 4096;

} // namespace

double PrefixCache::use(const std::string &chat, double tokens)
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(),
                                    [&](const auto &it) { return it.first == chat; });
    double cached = 0;
    if (found != m_entries.end()) {
        cached = std::min(found->second, tokens);
        m_tokens -= found->second;
        m_entries.erase(found);
    }
    m_entries.emplace_front(chat, tokens);
    m_tokens += tokens;
    recordEvent(chat, tokens, true);
    while (m_tokens > m_options.capacity && m_entries.size() > 1) {
        recordEvent(m_entries.back().first, m_entries.back().second, false);
        m_tokens -= m_entries.back().second;
        m_entries.pop_back();
    }
    return cached;
}

double PrefixCache::tokensOf(const std::string &chat) const
{
    for (const auto &[name, tokens] : m_entries) {
        if (name == chat)
            return tokens;
    }
    return 0;
}

void PrefixCache::recordEvent(const std::string &chat, double tokens, bool stored)
{
    ++m_lastSeq;
    if (m_options.gapEvery > 0 && m_lastSeq % static_cast<std::uint64_t>(m_options.gapEvery) == 0)
        return;
    m_events.push_back({m_lastSeq, m_options.clock.now(), chat, tokens, stored});
    if (m_events.size() > MaxEvents)
        m_events.pop_front();
}

Json::Value PrefixCache::events(std::uint64_t after) const
{
    Json::Value out;
    out["events"] = Json::Value(Json::arrayValue);
    std::uint64_t next = after;
    for (const Event &it : m_events) {
        if (it.seq <= after || m_options.clock.now() - it.at < m_options.eventLag)
            continue;
        Json::Value event;
        event["seq"] = static_cast<Json::UInt64>(it.seq);
        event["chat"] = it.chat;
        event["tokens"] = it.tokens;
        event["op"] = it.stored ? "stored" : "evicted";
        out["events"].append(event);
        next = it.seq;
    }
    out["next"] = static_cast<Json::UInt64>(next);
    return out;
}

} // namespace catkinloft::standin
