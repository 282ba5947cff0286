#pragma once

#include <cstddef>

namespace catkinloft::internal {

struct Discarded
{
    std::size_t bytes = 0;
    bool isOpen = true; ///< The peer has not closed the connection, and it has not failed.
};

/// \brief Discards what the socket \a fd has received, about \a atMost bytes.
Discarded discardReceived(int fd, std::size_t atMost = std::size_t(16) * 1024 * 1024);

/// \returns the bytes that were written to the socket \a fd and that its peer has not acknowledged.
std::size_t unacknowledgedBytes(int fd);

/// \returns whether the socket \a fd has received bytes that were not read.
bool hasUnreadBytes(int fd);

/// \returns whether the peer of the socket \a fd has closed or reset the connection, also behind
/// bytes that were not read.
bool hasPeerEnded(int fd);

/// \returns the pending error of the socket \a fd, which is cleared; 0 if there is none.
int socketError(int fd);

} // namespace catkinloft::internal
