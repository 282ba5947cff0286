#pragma once

#include "Base/Clock.h"
#include "Decide/ReplicaPool.h"

#include <deque>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace catkinloft {

/// \brief Which prompt parts this router has sent to which replicas, until all routers were told.
///
/// Load: 73 routers of which each beat reaches 16. Harm prevented: a router that does not hear that
/// a replica keeps a prompt has it read again elsewhere. So news rides on as many beats as it takes
/// to reach every router once, and what was told lately is not told again.
class PromptUpdates
{
public:
    explicit PromptUpdates(const Clock &clock) : m_clock(clock) { }

    void note(const std::string &replica, std::span<const PromptPart> prompt);

    /// \returns what the next beat has to tell.
    /// \param heartbeats beats that it takes to reach every router. \param maxParts parts in one
    /// beat.
    PromptsByReplica take(std::size_t heartbeats, std::size_t maxParts);

private:
    struct Item
    {
        std::string replica;
        std::uint64_t part = 0;
        std::size_t told = 0; ///< Beats that carried it.
    };

    const Clock &m_clock;
    std::deque<Item> m_items;
    std::unordered_map<std::uint64_t, TimePoint> m_announcedAt; ///< By hash of replica and part.
};

} // namespace catkinloft
