#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace catkinloft {

/// \brief One part of a prompt that requests may share.
struct PromptPart
{
    std::uint64_t id = 0;
    double tokens = 0;
};

/// \brief Which replicas are likely to keep which parts of prompts in memory, from where requests
/// were sent.
///
/// Load: chats that return within seconds, on routers that each send a part of their requests and
/// tell the others about it. Harm prevented: a prompt that goes to a replica without its parts is
/// read again, which takes 130 ms of that replica for 10,500 tokens. A wrong entry costs that
/// reading and nothing else.
class PromptIndex
{
public:
    struct Options
    {
        const Clock &clock;
        /// A part that was not used for so long may have made room for others.
        Duration life = std::chrono::seconds(60);
        std::size_t maxParts = 20'000; ///< Bounds memory to a few megabytes.
    };

    explicit PromptIndex(Options options) : m_options(options) { }

    /// \brief Notes that \a replica reads or has read \a part.
    void note(std::uint64_t replica, std::uint64_t part);

    /// \returns the parts that replicas are likely to keep, at most \a most for each. One pass:
    /// with 140 replicas and 20,000 parts it takes 2 ms, a search for each replica a hundred times
    /// that.
    std::unordered_map<std::uint64_t, std::vector<std::uint64_t>>
    partsByReplica(std::size_t most) const;

    /// \returns whether nothing is known.
    bool isEmpty() const { return m_holders.empty(); }

    /// \brief Forgets a replica that is gone or has lost its memory.
    void remove(std::uint64_t replica);

    /// \returns tokens at the beginning of \a prompt that \a replica is likely to keep. A part only
    /// counts if all parts before it are kept too.
    double cachedTokens(std::uint64_t replica, std::span<const PromptPart> prompt) const;

private:
    struct Holder
    {
        std::uint64_t replica = 0;
        TimePoint usedAt;
    };

    void evictExpired();

    Options m_options;
    std::unordered_map<std::uint64_t, std::vector<Holder>> m_holders; ///< By part.
};

} // namespace catkinloft
