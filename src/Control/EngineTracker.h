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

/// \brief Load reported by an engine; always delayed.
struct EngineLoad
{
    double running = 0; ///< Requests in the batch.
    double waiting = 0; ///< Requests queued for the batch.
    double tokens = 0; ///< Tokens of the requests in the batch.
    WallTime asOf = {}; ///< Time of the report by the engine's clock.
};

/// \brief One entry of an engine's cache feed.
struct CacheEvent
{
    std::uint64_t seq = 0;
    std::string chat;
    double tokens = 0;
    bool stored = true; ///< false: evicted.
};

/// \brief Part of an engine's cache feed.
struct CacheFeed
{
    std::vector<CacheEvent> events;
    std::uint64_t next = 0; ///< Cursor of the next part; a lower one than before means a restart.
};

/// \brief Estimate of an engine's state; may be outdated, missing or wrong.
struct EngineHint
{
    double load = 0; ///< Requests running and waiting.
    double tokens = 0;
    Duration age{}; ///< Estimated time since the report was made.
    bool reachable = true; ///< Whether the last read succeeded.
};

/// \brief A chat whose context an engine presumably caches.
struct CachedChat
{
    std::string chat;
    std::uint64_t chatKey = 0; ///< 0: unknown because no request of the chat passed this router.
    double tokens = 0;
};

/// \brief Derives hints with an age from the delayed load reports and incomplete cache events of
/// the engines that this router owns. Hints are not authoritative: they only change which engine is
/// tried first.
///
/// Handles 11 engines per router (10,000 engines and 890 routers), each with hundreds of cached
/// chats. Prevents a router from trusting an old report and sending all requests to an engine that
/// is no longer idle, and memory use that grows with the number of chats ever seen.
class EngineTracker
{
public:
    struct Options
    {
        const Clock &clock;
        /// Older hints are not returned: within this time a batch is replaced by other requests.
        Duration maxAge = std::chrono::seconds(15);
        /// Chats stored per engine, at about a hundred bytes each: with 11 engines per router 6 MB
        /// of the 256 MB.
        std::size_t chatsPerEngine = 4096;
    };

    explicit EngineTracker(Options options);

    /// \brief Sets the engines that this router reads; drops the state of all others.
    void setOwned(std::span<const std::string> engines);

    /// \brief Updates the hint of \a engine, unless a more recent report is stored.
    void recordLoad(std::string_view engine, const EngineLoad &load);
    void recordUnreachable(std::string_view engine);

    /// \brief Applies cache events. A gap in their sequence numbers means that evictions may be
    /// missing, so chats stored before the gap count half from then on. A restart of the engine
    /// clears its chats.
    void applyEvents(std::string_view engine, const CacheFeed &feed);

    /// \brief Records a request that the engine answered; more reliable than its events.
    void recordServed(std::string_view engine, std::string_view chat, std::uint64_t chatKey,
                      double tokens);

    /// \returns the cursor from which to read the engine's next events.
    std::uint64_t cursor(std::string_view engine) const;

    /// \returns nothing if there is no report or the last one is older than Options::maxAge.
    std::optional<EngineHint> hint(std::string_view engine) const;

    /// \returns the estimated number of tokens of \a chat that the engine caches.
    double cachedTokens(std::string_view engine, std::string_view chat) const;

    /// \returns the cached chats of \a engine, sorted by descending number of tokens.
    std::vector<CachedChat> chatsOf(std::string_view engine) const;

    std::size_t owned() const { return m_owned.size(); }
    std::uint64_t gaps() const { return m_gaps; }

    /// \brief Called whenever the hint of an engine was updated.
    std::function<void(std::string_view engine, const EngineHint &)> onHint = {};

private:
    struct Chat
    {
        CachedChat cached;
        bool uncertain = false; ///< Stored before a gap in the events.
    };
    using ChatList = std::list<Chat>; ///< Most recently used first.

    struct TrackedEngine
    {
        EngineHint hint;
        TimePoint reportedAt; ///< By the local clock, minus the age of the report on arrival.
        bool reported = false;
        std::uint64_t cursor = 0; ///< Cursor in the feed.
        std::uint64_t lastSeq = 0; ///< Sequence number of the last event; 0: none yet.
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
