#include "Control/EngineKnowledge.h"

#include <algorithm>

namespace catkinloft {

namespace {

/// Age, by the engine's clock, up to which reports are taken as they are. Beyond it the clock is
/// wrong or the report is useless.
constexpr Duration MaxReportAge = std::chrono::seconds(60);

/// Share of the tokens that counts for a chat that may have been evicted in a gap of the events.
constexpr double UncertainShare = 0.5;

} // namespace

EngineKnowledge::EngineKnowledge(Options options) : m_options(options) { }

void EngineKnowledge::setOwned(std::span<const std::string> engines)
{
    std::map<std::string, Known, std::less<>> next;
    for (const std::string &it : engines) {
        const auto old = m_owned.find(it);
        next[it] = old == m_owned.end() ? Known{} : std::move(old->second);
    }
    m_owned = std::move(next);
}

EngineKnowledge::Known *EngineKnowledge::find(std::string_view engine)
{
    const auto it = m_owned.find(engine);
    return it == m_owned.end() ? nullptr : &it->second;
}

const EngineKnowledge::Known *EngineKnowledge::find(std::string_view engine) const
{
    const auto it = m_owned.find(engine);
    return it == m_owned.end() ? nullptr : &it->second;
}

void EngineKnowledge::changed(std::string_view engine, const Known &known) const
{
    if (!onHint)
        return;
    EngineHint out = known.hint;
    out.age = m_options.clock.now() - known.reportedAt;
    onHint(engine, out);
}

void EngineKnowledge::noteLoad(std::string_view engine, const EngineLoad &load)
{
    Known *known = find(engine);
    if (!known)
        return;
    // The engine's clock may be wrong in either direction: the age of a report from the future is
    // taken as zero.
    const Duration said = m_options.clock.wallNow() - load.asOf;
    const TimePoint reportedAt =
            m_options.clock.now() - std::clamp(said, Duration::zero(), MaxReportAge);
    if (known->reported && known->hint.reachable && reportedAt < known->reportedAt)
        return; // Overtaken by a more recent report.
    known->reportedAt = reportedAt;
    known->reported = true;
    known->hint = {.load = load.running + load.waiting, .tokens = load.tokens};
    changed(engine, *known);
}

void EngineKnowledge::noteUnreachable(std::string_view engine)
{
    Known *known = find(engine);
    if (!known)
        return;
    known->hint.reachable = false;
    known->reported = true;
    known->reportedAt = m_options.clock.now();
    changed(engine, *known);
}

EngineKnowledge::Chat &EngineKnowledge::touch(Known &known, std::string_view chat) const
{
    const std::string name(chat);
    if (const auto it = known.byChat.find(name); it != known.byChat.end()) {
        known.chats.splice(known.chats.begin(), known.chats, it->second);
        return known.chats.front();
    }
    known.chats.push_front({.cached = {.chat = name}});
    known.byChat[name] = known.chats.begin();
    if (known.chats.size() > m_options.chatsPerEngine) {
        known.byChat.erase(known.chats.back().cached.chat);
        known.chats.pop_back();
    }
    return known.chats.front();
}

void EngineKnowledge::noteEvents(std::string_view engine, const CacheFeed &feed)
{
    Known *known = find(engine);
    if (!known)
        return;
    if (feed.next < known->cursor) {
        known->chats.clear();
        known->byChat.clear();
        known->lastSeq = 0;
    }
    known->cursor = feed.next;
    for (const CacheEvent &it : feed.events)
        fold(*known, it);
}

void EngineKnowledge::fold(Known &known, const CacheEvent &event)
{
    if (event.seq <= known.lastSeq)
        return; // Duplicate.
    if (known.lastSeq != 0 && event.seq > known.lastSeq + 1) {
        ++m_gaps;
        for (Chat &it : known.chats)
            it.uncertain = true;
    }
    known.lastSeq = event.seq;
    if (event.stored) {
        Chat &chat = touch(known, event.chat);
        chat.cached.tokens = event.tokens;
        chat.uncertain = false;
    } else if (const auto found = known.byChat.find(event.chat); found != known.byChat.end()) {
        known.chats.erase(found->second);
        known.byChat.erase(found);
    }
}

void EngineKnowledge::noteServed(std::string_view engine, std::string_view chat,
                                 std::uint64_t chatKey, double tokens)
{
    Known *known = find(engine);
    if (!known || chat.empty())
        return;
    Chat &it = touch(*known, chat);
    it.cached.chatKey = chatKey;
    it.cached.tokens = std::max(it.cached.tokens, tokens);
    it.uncertain = false;
}

std::uint64_t EngineKnowledge::cursor(std::string_view engine) const
{
    const Known *known = find(engine);
    return known ? known->cursor : 0;
}

std::optional<EngineHint> EngineKnowledge::hint(std::string_view engine) const
{
    const Known *known = find(engine);
    if (!known || !known->reported)
        return std::nullopt;
    EngineHint out = known->hint;
    out.age = m_options.clock.now() - known->reportedAt;
    return out.age > m_options.maxAge ? std::nullopt : std::optional(out);
}

double EngineKnowledge::cachedTokens(std::string_view engine, std::string_view chat) const
{
    const Known *known = find(engine);
    if (!known)
        return 0;
    const auto it = known->byChat.find(std::string(chat));
    if (it == known->byChat.end())
        return 0;
    return it->second->cached.tokens * (it->second->uncertain ? UncertainShare : 1);
}

std::vector<CachedChat> EngineKnowledge::chatsOf(std::string_view engine) const
{
    std::vector<CachedChat> out;
    if (const Known *known = find(engine)) {
        for (const Chat &it : known->chats)
            out.push_back(it.cached);
    }
    std::stable_sort(out.begin(), out.end(),
                     [](const CachedChat &a, const CachedChat &b) { return a.tokens > b.tokens; });
    return out;
}

} // namespace catkinloft
