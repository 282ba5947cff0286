#pragma once

#include "Base/Clock.h"

#include <string>

namespace catkinloft {

/// \brief Work that one router has in progress on one upstream. Reports arrive late, so the values
/// are estimates.
struct LoadReport
{
    std::string upstream; ///< Name of the engine, or address of the replica.
    std::string router; ///< Name of the router that sent the work.
    double work = 0; ///< In tokens.
    int inFlight = 0; ///< Number of requests.
    TimePoint measuredAt;
};

} // namespace catkinloft
