#pragma once

#include <cstdint>

#include <unistd.h>

namespace catkinloft {

/// \brief The port of a listener in the tests of this process, so that test runs at the same time
/// don't meet.
/// \param index distinguishes listeners of one process, 0 or 1.
inline std::uint16_t processPort(unsigned index)
{
    constexpr unsigned First = 11000; // The next 1000 ports are below those of PortAllocator.
    constexpr unsigned Processes = 500;
    return static_cast<std::uint16_t>(First + 2 * (static_cast<unsigned>(getpid()) % Processes)
                                      + index);
}

} // namespace catkinloft
