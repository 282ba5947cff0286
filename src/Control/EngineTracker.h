#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace catkinloft {

/// \brief An engine's own report of its load; late by its nature.
struct EngineLoad
{
    double running = 0; ///< Requests in the batch.
    double waiting = 0; ///< Requests behind it.
    double tokens = 0; ///< Of the requests in the batch.
    WallTime asOf = {}; ///< By the engine's clock.
};

/// \brief One entry of an engine's cache feed.
struct CacheEvent
{
    std::uint64_t seq = 0;
    std::string chat;
    double tokens = 0;
    bool stored = true; ///< Else evicted.
};

/// \brief A part of an engine's cache feed.
struct CacheFeed
{
    std::vector<CacheEvent> events;
    std::uint64_t next = 0; ///< Where the next part begins; lower than before: it was restarted.
};

/// \brief What is believed of an engine; may be late, missing or wrong.
struct EngineHint
{
    double load = 0; ///< Requests running and waiting.
    double tokens = 0;
    Duration age{}; ///< Since the report was made, as far as known.
    bool reachable = true; ///< Whether the last reading succeeded.
};

/// \brief A chat whose context an engine is believed to hold.
struct CachedChat
{
    std::string chat;
    std::uint64_t chatKey = 0; ///< 0: not known here, as nothing of the chat passed this router.
    double tokens = 0;
};

/// \brief Folds late loads and gappy cache events of the engines that this router owns, and the
/// digests of the others, into hints with an age. Nothing here is truth: a hint only changes which
/// engine is tried first.
///
/// Load: 11 engines a router at 10,000 before 890, each with some hundred chats in its cache.
/// Harm prevented: a router that trusts an old report and sends everything to an engine that was
/// idle a while ago; memory that grows with the chats ever seen.
class EngineTracker
{
public:
    struct Options
    {
        const Clock &clock;
        /// Older hints are not given out: a batch turns over within it.
        Duration maxAge = std::chrono::seconds(15);
        /// Chats remembered for one engine, some hundred bytes each: at 11 engines a router 6 MB
        /// of the 256 MB.
        std::size_t chatsPerEngine = 4096;
    };

    explicit EngineTracker(Options options);

    /// \brief Takes over which engines this router reads; what is known of the others goes.
    void setOwned(std::span<const std::string> engines);

    /// \param wallNow the local calendar time at which \a load came.
    void recordLoad(std::string_view engine, const EngineLoad &load);
    void recordUnreachable(std::string_view engine);

    /// \brief Folds events in. A gap in their numbers says that evictions may be missing: what is
    /// remembered from before it counts half from then on. A restarted engine holds nothing.
    void applyEvents(std::string_view engine, const CacheFeed &feed);

    /// \brief Notes a request that the engine answered, which tells more than its events.
    void recordServed(std::string_view engine, std::string_view chat, std::uint64_t chatKey,
                      double tokens);

    /// \returns where the engine's next events begin.
    std::uint64_t cursor(std::string_view engine) const;

    /// \returns nothing where all that is known is too old.
    std::optional<EngineHint> hint(std::string_view engine) const;

    /// \returns tokens of the chat that the engine is believed to hold.
    double cachedTokens(std::string_view engine, std::string_view chat) const;

    /// \returns the chats of \a engine, the most tokens first.
    std::vector<CachedChat> chatsOf(std::string_view engine) const;

    std::size_t owned() const { return m_owned.size(); }
    std::uint64_t gaps() const { return m_gaps; }

    /// \brief Runs for each engine whose hint changed.
    std::function<void(std::string_view engine, const EngineHint &)> onHint = {};

private:
    struct Chat
    {
        CachedChat cached;
        bool uncertain = false; ///< From before a gap.
    };
    using ChatList = std::list<Chat>; ///< Most recently used first.

    struct TrackedEngine
    {
        EngineHint hint;
        TimePoint reportedAt; ///< By this clock; the report's own age taken off.
        bool reported = false;
        std::uint64_t cursor = 0; ///< Of the feed.
        std::uint64_t lastSeq = 0; ///< Of the events; 0: none yet.
        ChatList chats;
        std::unordered_map<std::string, ChatList::iterator> byChat;
    };

    TrackedEngine *find(std::string_view engine);
    const TrackedEngine *find(std::string_view engine) const;
    Chat &touch(TrackedEngine &tracked, std::string_view chat) const;
    void applyEvent(TrackedEngine &tracked, const CacheEvent &event);
    void notifyHint(std::string_view engine, const TrackedEngine &tracked) const;

    Options m_options;
    std::map<std::string, TrackedEngine, std::less<>> m_owned;
    std::uint64_t m_gaps = 0;
};

} // namespace catkinloft
