#pragma once

#include "Base/Clock.h"

#include <string>

namespace catkinloft {

/// \brief What one router has in progress on one upstream; a hint that lags.
struct LoadReport
{
    std::string upstream; ///< Name of the engine, or address of the replica.
    std::string router; ///< Who sent the work.
    double work = 0; ///< In tokens.
    int inFlight = 0; ///< Requests.
    TimePoint measuredAt;
};

} // namespace catkinloft
