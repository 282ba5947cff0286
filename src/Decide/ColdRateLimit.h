#pragma once

#include "Base/Clock.h"

#include <cstddef>

namespace catkinloft {

/// \brief A router's share of the requests that one cold replica bears in a second.
///
/// Load: a failure domain that is taken back, or replicas that a release has just started, before
/// hundreds of routers that share no counter. Harm prevented: each router alone sends little, but
/// all together end the replica that was about to help. So a few routers, the same for all that
/// know each other, may send to it, and each of them at a distance that keeps any second within
/// its share. Half of what the replica bears is shared out: while routers start or fall silent,
/// some believe in other senders, and two sets of them stay within the bound.
struct ColdRateLimit
{
    std::size_t senders = 1; ///< Routers that may send to the replica.
    Duration minInterval = Duration::zero(); ///< Least time between two requests of one of them.

    /// \param fleetLimit requests in any one second, from all routers together; above 0.
    /// \param routers how many there are, at least 1.
    static ColdRateLimit fromFleetLimit(double fleetLimit, int routers);
};

} // namespace catkinloft
