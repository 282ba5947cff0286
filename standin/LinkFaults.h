#pragma once

#include "Base/Clock.h"

#include <cstddef>

namespace catkinloft::standin {

/// \brief What a FaultProxy does to what passes through it.
struct LinkFaults
{
    Duration delay = Duration::zero(); ///< Each way.
    double drop = 0; ///< Share of datagrams that vanish.
    bool refuse = false; ///< New connections are closed at once.
    int loseAnswers = 0; ///< So many answers are swallowed and their connections cut.
    std::size_t throttle = 0; ///< Bytes a second of each connection and way; 0: no limit.
};

} // namespace catkinloft::standin
