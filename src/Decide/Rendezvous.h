#pragma once

#include "Base/Hash.h"

#include <cmath>
#include <cstdint>

namespace catkinloft {

/// \returns the weighted rendezvous score of a node for a key; the node with the highest score
/// comes first in the key's order.
///
/// Load: every returning chat, on routers that share nothing but the list of nodes.
/// Harm prevented: a node that joins or leaves moves only the keys that it gains or had, 1/n of
/// all; with modulo hashing nearly every chat would lose its context.
/// \param weight capacity relative to the other nodes; above 0.
inline double rendezvousScore(std::uint64_t key, std::uint64_t node, double weight)
{
    // -w / ln(u) with u uniform in (0, 1) gives each node a share of keys in proportion to w.
    const double u = (static_cast<double>(hashCombine(key, node) >> 11) + 0.5) * 0x1.0p-53;
    return -weight / std::log(u);
}

} // namespace catkinloft
