#pragma once

#include "Base/Clock.h"

#include <cstddef>

namespace catkinloft {

/// \brief One router's part of the rate limit of a cold replica.
///
/// Handles a failure domain that is used again after an evacuation, or replicas that a release has
/// just started, in front of hundreds of routers that share no counter. Each router alone sends
/// little, but all together could overload and crash the replica that was about to take load.
///
/// Therefore only a few routers may send to the replica; all routers with the same fleet view
/// select the same ones. Each of them keeps a minimum interval between its requests, so that it
/// stays within its part in any second. Only half of the rate limit is distributed: while routers
/// start or become unreachable, fleet views differ and two sets of routers may send at once, which
/// together still stay within the limit.
struct ColdRateLimit
{
    std::size_t senders = 1; ///< Number of routers that may send to the replica.
    Duration minInterval = Duration::zero(); ///< Minimum time between two requests of one sender.

    /// \brief Distributes the rate limit of a cold replica among \a routers.
    /// \param fleetLimit limit on requests in any one second, from all routers together; above 0.
    /// \param routers number of routers, at least 1.
    static ColdRateLimit fromFleetLimit(double fleetLimit, int routers);
};

} // namespace catkinloft
