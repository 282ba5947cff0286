#pragma once

#include "Base/Clock.h"

#include <cstddef>

namespace catkinloft::standin {

/// \brief Faults that a FaultProxy injects into the traffic through it.
struct LinkFaults
{
    Duration delay = Duration::zero(); ///< In each direction.
    double drop = 0; ///< Share of datagrams that are dropped.
    bool refuse = false; ///< New connections are closed at once.
    int loseAnswers = 0; ///< Number of further answers to drop; their connections are closed.
    std::size_t throttle = 0; ///< Bytes per second of each connection and direction; 0: no limit.
};

} // namespace catkinloft::standin
