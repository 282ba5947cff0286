#pragma once

#include <cstdint>
#include <vector>

namespace catkinloft::standin {

/// \brief Hands out ports of 127.0.0.1 in blocks that belong to one allocator of the whole machine.
///
/// Fleets of several test programs run side by side, and a router that was killed leaves its ports
/// free until it is started again. Without blocks another fleet takes them meanwhile: the router
/// can't start, or its callers reach the other fleet. A block is held by a socket that listens on
/// its first port for as long as the allocator lives.
class PortAllocator
{
public:
    PortAllocator();
    ~PortAllocator();
    PortAllocator(const PortAllocator &) = delete;
    PortAllocator &operator=(const PortAllocator &) = delete;

    /// \returns \a n ports that are free now, below the range that the kernel hands out for
    /// outgoing connections. Throws std::runtime_error where there are none.
    std::vector<std::uint16_t> take(std::size_t n);

private:
    bool claimBlock();
    bool advance();

    std::vector<int> m_guards; ///< Sockets that hold the blocks.
    std::vector<std::uint16_t> m_blocks; ///< First port of each block.
    std::size_t m_block = 0; ///< Whose ports are handed out.
    std::uint16_t m_offset = 0; ///< Of the last port in that block.
    std::uint16_t m_search; ///< Where the search for another block goes on.
};

/// \returns \a n free ports from the blocks of this process; \sa PortAllocator::take
std::vector<std::uint16_t> freePorts(std::size_t n);

} // namespace catkinloft::standin
