#pragma once

#include "Base/Hash.h"

#include <cmath>
#include <cstdint>

namespace catkinloft {

/// \returns the weighted rendezvous score of a node for a key. The node with the highest score is
/// the first in the key's order.
///
/// Handles every returning chat, on routers that share only the list of nodes. Prevents a
/// change of the list from moving all chats: a node that joins or leaves moves only the keys that
/// it gains or had, which are 1/n of all. With modulo hashing nearly every chat would lose its
/// context.
///
/// \param weight capacity relative to the other nodes; must be positive.
inline double rendezvousScore(std::uint64_t key, std::uint64_t node, double weight)
{
    // With u uniform in (0, 1), -w / ln(u) gives each node a share of the keys proportional to w.
    const double u = (static_cast<double>(hashCombine(key, node) >> 11) + 0.5) * 0x1.0p-53;
    return -weight / std::log(u);
}

} // namespace catkinloft
