#include "Control/EngineTracker.h"

#include <algorithm>

namespace catkinloft {

namespace {

/// Age, by the engine's clock, up to which reports are taken as they are. Beyond it the clock is
/// wrong or the report is useless.
constexpr Duration MaxReportAge = std::chrono::seconds(60);

/// Share of the tokens that counts for a chat that may have been evicted in a gap of the events.
constexpr double UncertainShare = 0.5;

} // namespace

EngineTracker::EngineTracker(Options options) : m_options(options) { }

void EngineTracker::setOwned(std::span<const std::string> engines)
{
    std::map<std::string, TrackedEngine, std::less<>> next;
    for (const std::string &it : engines) {
        const auto old = m_owned.find(it);
        next[it] = old == m_owned.end() ? TrackedEngine{} : std::move(old->second);
    }
    m_owned = std::move(next);
}

EngineTracker::TrackedEngine *EngineTracker::find(std::string_view engine)
{
    const auto it = m_owned.find(engine);
    return it == m_owned.end() ? nullptr : &it->second;
}

const EngineTracker::TrackedEngine *EngineTracker::find(std::string_view engine) const
{
    const auto it = m_owned.find(engine);
    return it == m_owned.end() ? nullptr : &it->second;
}

void EngineTracker::notifyHint(std::string_view engine, const TrackedEngine &tracked) const
{
    if (!onHint)
        return;
    EngineHint out = tracked.hint;
    out.age = m_options.clock.now() - tracked.reportedAt;
    onHint(engine, out);
}

void EngineTracker::recordLoad(std::string_view engine, const EngineLoad &load)
{
    TrackedEngine *tracked = find(engine);
    if (!tracked)
        return;
    // The engine's clock may be wrong in either direction: the age of a report from the future is
    // taken as zero.
    const Duration reportAge = m_options.clock.wallNow() - load.asOf;
    const TimePoint reportedAt =
            m_options.clock.now() - std::clamp(reportAge, Duration::zero(), MaxReportAge);
    if (tracked->reported && tracked->hint.reachable && reportedAt < tracked->reportedAt)
        return; // Overtaken by a more recent report.
    tracked->reportedAt = reportedAt;
    tracked->reported = true;
    tracked->hint = {.load = load.running + load.waiting, .tokens = load.tokens};
    notifyHint(engine, *tracked);
}

void EngineTracker::recordUnreachable(std::string_view engine)
{
    TrackedEngine *tracked = find(engine);
    if (!tracked)
        return;
    tracked->hint.reachable = false;
    tracked->reported = true;
    tracked->reportedAt = m_options.clock.now();
    notifyHint(engine, *tracked);
}

EngineTracker::Chat &EngineTracker::touch(TrackedEngine &tracked, std::string_view chat) const
{
    const std::string name(chat);
    if (const auto it = tracked.byChat.find(name); it != tracked.byChat.end()) {
        tracked.chats.splice(tracked.chats.begin(), tracked.chats, it->second);
        return tracked.chats.front();
    }
    tracked.chats.push_front({.cached = {.chat = name}});
    tracked.byChat[name] = tracked.chats.begin();
    if (tracked.chats.size() > m_options.chatsPerEngine) {
        tracked.byChat.erase(tracked.chats.back().cached.chat);
        tracked.chats.pop_back();
    }
    return tracked.chats.front();
}

void EngineTracker::applyEvents(std::string_view engine, const CacheFeed &feed)
{
    TrackedEngine *tracked = find(engine);
    if (!tracked)
        return;
    if (feed.next < tracked->cursor) {
        tracked->chats.clear();
        tracked->byChat.clear();
        tracked->lastSeq = 0;
    }
    tracked->cursor = feed.next;
    for (const CacheEvent &it : feed.events)
        applyEvent(*tracked, it);
}

void EngineTracker::applyEvent(TrackedEngine &tracked, const CacheEvent &event)
{
    if (event.seq <= tracked.lastSeq)
        return; // Duplicate.
    if (tracked.lastSeq != 0 && event.seq > tracked.lastSeq + 1) {
        ++m_gaps;
        for (Chat &it : tracked.chats)
            it.uncertain = true;
    }
    tracked.lastSeq = event.seq;
    if (event.stored) {
        Chat &chat = touch(tracked, event.chat);
        chat.cached.tokens = event.tokens;
        chat.uncertain = false;
    } else if (const auto found = tracked.byChat.find(event.chat); found != tracked.byChat.end()) {
        tracked.chats.erase(found->second);
        tracked.byChat.erase(found);
    }
}

void EngineTracker::recordServed(std::string_view engine, std::string_view chat,
                                 std::uint64_t chatKey, double tokens)
{
    TrackedEngine *tracked = find(engine);
    if (!tracked || chat.empty())
        return;
    Chat &it = touch(*tracked, chat);
    it.cached.chatKey = chatKey;
    it.cached.tokens = std::max(it.cached.tokens, tokens);
    it.uncertain = false;
}

std::uint64_t EngineTracker::cursor(std::string_view engine) const
{
    const TrackedEngine *tracked = find(engine);
    return tracked ? tracked->cursor : 0;
}

std::optional<EngineHint> EngineTracker::hint(std::string_view engine) const
{
    const TrackedEngine *tracked = find(engine);
    if (!tracked || !tracked->reported)
        return std::nullopt;
    EngineHint out = tracked->hint;
    out.age = m_options.clock.now() - tracked->reportedAt;
    return out.age > m_options.maxAge ? std::nullopt : std::optional(out);
}

double EngineTracker::cachedTokens(std::string_view engine, std::string_view chat) const
{
    const TrackedEngine *tracked = find(engine);
    if (!tracked)
        return 0;
    const auto it = tracked->byChat.find(std::string(chat));
    if (it == tracked->byChat.end())
        return 0;
    return it->second->cached.tokens * (it->second->uncertain ? UncertainShare : 1);
}

std::vector<CachedChat> EngineTracker::chatsOf(std::string_view engine) const
{
    std::vector<CachedChat> out;
    if (const TrackedEngine *tracked = find(engine)) {
        for (const Chat &it : tracked->chats)
            out.push_back(it.cached);
    }
    std::stable_sort(out.begin(), out.end(),
                     [](const CachedChat &a, const CachedChat &b) { return a.tokens > b.tokens; });
    return out;
}

} // namespace catkinloft
