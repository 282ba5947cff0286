#pragma once

#include "Base/Hash.h"

#include <cstddef>
#include <cstdint>

namespace catkinloft {

/// \brief Divides the upstreams of a pool into groups, of each of which one router keeps the count.
///
/// Load: a pool of any size before any number of routers. Harm prevented: with an owner an engine,
/// what was over the bound went to an engine whose load the owner knew a second late only, and one
/// placement in ten broke the bound. The number of groups follows the size of the pool in the
/// inventory, not who is live; a change of it moves counts to other routers, never chats.
///
/// Used by whoever places and by whoever answers which router to use, so that both name the same.
class OwnerGroups
{
public:
    /// Sixteen make the count exact for the whole of today's pools, and at full size leave each
    /// router one group of some eleven.
    static constexpr int DefaultSize = 16;

    /// \param pool hash of the pool's name, which gives pools of one group different owners.
    /// \param upstreams in the pool. \param size upstreams of a group, about; 1: each its own.
    OwnerGroups(std::uint64_t pool, std::size_t upstreams, int size = DefaultSize)
        : m_pool(pool), m_single(size == 1)
    {
        while (upstreams >> m_bits > static_cast<std::size_t>(size) && m_bits < MaxBits)
            ++m_bits;
    }

    /// \returns the group of the upstream whose name hashes to \a upstream.
    std::uint64_t of(std::uint64_t upstream) const
    {
        if (m_single)
            return upstream;
        return hashCombine(m_pool, m_bits == 0 ? 0 : upstream >> (64 - m_bits));
    }

private:
    static constexpr unsigned MaxBits = 32;

    std::uint64_t m_pool;
    bool m_single;
    unsigned m_bits = 0;
};

} // namespace catkinloft
