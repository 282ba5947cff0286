#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <string>

namespace catkinloft::standin {

/// \brief Faults that a FaultProxy injects into the traffic through it.
struct LinkFaults
{
    Duration delay = Duration::zero(); ///< In each direction.
    double drop = 0; ///< Share of datagrams that are dropped.
    bool refuse = false; ///< New connections are closed at once.
    int loseAnswers = 0; ///< Number of further answers to drop; their connections are closed.
    std::size_t throttle = 0; ///< Bytes per second of each connection and direction; 0: no limit.
    /// What the proxy answers to each request instead of forwarding it: \a answerBegin once, then
    /// \a answerRepeated until the client closes the connection. `{id}` in \a answerBegin stands
    /// for the request's id. Empty: no such fault.
    std::string answerBegin = {};
    std::string answerRepeated = {};
    /// What the proxy answers to each request before it closes the connection, also with `{id}`.
    std::string answerPart = {};
    double copyRefusals = 0; ///< Share of the server's refusals that are sent a second time.
    /// When the copy of a refusal is sent; at the latest in front of the next answer on its
    /// connection. Zero: not before.
    Duration copyAfter = Duration::zero();
    int copiedRefusals = 0; ///< Number of copies that were sent.
};

} // namespace catkinloft::standin
