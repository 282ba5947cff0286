#pragma once

namespace catkinloft {

/// \brief Load of a replica as reported with an answer.
struct ReplicaLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 1;
    /// How long work takes on the replica's machine at this moment, relative to the usual time. It
    /// changes several times a second.
    double pace = 1;

    /// \returns the requests that run or wait for each slot; above 1 if some must wait.
    double occupancy() const { return (static_cast<double>(running) + waiting) / slots; }
};

} // namespace catkinloft
