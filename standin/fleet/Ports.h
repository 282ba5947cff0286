#pragma once

#include <cstdint>
#include <vector>

namespace catkinloft::standin {

/// \returns \a n ports of 127.0.0.1 that are free now, below the range that the kernel hands out
/// for outgoing connections.
std::vector<std::uint16_t> freePorts(std::size_t n);

} // namespace catkinloft::standin
