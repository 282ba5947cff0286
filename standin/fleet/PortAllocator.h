#pragma once

#include <cstdint>
#include <vector>

namespace catkinloft::standin {

/// \brief Allocates ports of 127.0.0.1 from blocks, each of which belongs to a single allocator on
/// the machine.
///
/// Several test programs run their fleets concurrently, and the ports of a killed router are free
/// until it is restarted. Without blocks, another fleet could take these ports in the meantime, so
/// that the router could not start or its callers would reach the other fleet. An allocator owns a
/// block as long as its socket listens on the first port of the block; the destructor closes it.
class PortAllocator
{
public:
    PortAllocator();
    ~PortAllocator();
    PortAllocator(const PortAllocator &) = delete;
    PortAllocator &operator=(const PortAllocator &) = delete;

    /// \returns \a n ports that are free now, below the range that the kernel uses for outgoing
    /// connections. Throws std::runtime_error if there are not enough.
    std::vector<std::uint16_t> take(std::size_t n);

private:
    bool claimBlock();
    bool advance();

    std::vector<int> m_guards; ///< Sockets that reserve the blocks.
    std::vector<std::uint16_t> m_blocks; ///< First port of each block.
    std::size_t m_block = 0; ///< Index of the block in use.
    std::uint16_t m_offset = 0; ///< Of the last tried port in that block.
    std::uint16_t m_search; ///< Block number at which the search for a free block continues.
};

/// \returns \a n free ports from the blocks of this process; \sa PortAllocator::take
std::vector<std::uint16_t> freePorts(std::size_t n);

} // namespace catkinloft::standin
