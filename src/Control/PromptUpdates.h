#pragma once

#include "Base/Clock.h"
#include "Decide/ReplicaPool.h"

#include <deque>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace catkinloft {

/// \brief Queue of the prompt parts that this router has sent to replicas, until they were
/// announced to all routers.
///
/// Handles fleets in which one heartbeat reaches only a part of the routers, for example 16 of 73.
/// A router that does not know that a replica caches a prompt has another replica process it again.
/// Therefore each update is sent with as many heartbeats as it takes to reach every router once.
/// Parts that were announced recently are not announced again.
class PromptUpdates
{
public:
    explicit PromptUpdates(const Clock &clock) : m_clock(clock) { }

    /// \brief Records that \a prompt was sent to \a replica.
    void note(const std::string &replica, std::span<const PromptPart> prompt);

    /// \returns the updates for the next heartbeat.
    /// \param heartbeats number of heartbeats that it takes to reach every router.
    /// \param maxParts maximum number of parts in one heartbeat.
    PromptsByReplica take(std::size_t heartbeats, std::size_t maxParts);

private:
    struct Item
    {
        std::string replica;
        std::uint64_t part = 0;
        std::size_t sends = 0; ///< Heartbeats that contained it.
    };

    const Clock &m_clock;
    std::deque<Item> m_items;
    /// When a part was last queued, by hash of replica and part.
    std::unordered_map<std::uint64_t, TimePoint> m_announcedAt;
};

} // namespace catkinloft
