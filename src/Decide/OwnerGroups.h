#pragma once

#include "Base/Hash.h"

#include <cstddef>
#include <cstdint>

namespace catkinloft {

/// \brief Divides the upstreams of a pool into groups, each of which is owned by one router that
/// counts its load.
///
/// Handles pools of any size behind any number of routers. Prevents jobs over the load bound from
/// going to engines whose load is only known from reports that are one second old: with one owner
/// per engine, one placement in ten exceeded the bound. The number of groups depends on the size of
/// the pool in the inventory and not on the live upstreams. A change of it moves the ownership of
/// upstreams to other routers, but never moves chats to other upstreams.
///
/// Placement and the lookup of the router for a chat both use this class, so that they name the
/// same owner.
class OwnerGroups
{
public:
    /// A pool of up to 16 upstreams has a single owner, so that its load is counted exactly. In the
    /// largest pools each router still owns only one group of about 11 upstreams.
    static constexpr int DefaultSize = 16;

    /// \param pool hash of the pool's name, so that pools with a single group get different owners.
    /// \param upstreams number of upstreams in the pool.
    /// \param size maximum average number of upstreams in a group; 1: each upstream is a group.
    OwnerGroups(std::uint64_t pool, std::size_t upstreams, int size = DefaultSize)
        : m_pool(pool), m_single(size == 1)
    {
        while (upstreams >> m_bits > static_cast<std::size_t>(size) && m_bits < MaxBits)
            ++m_bits;
    }

    /// \returns the group of the upstream whose name has the hash \a upstream.
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
