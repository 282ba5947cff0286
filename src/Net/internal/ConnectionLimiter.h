#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <unordered_map>

namespace catkinloft::internal {

/// \brief Limits the number of open connections of one listener.
///
/// evhttp 2.1 reports when it accepts a connection but not when it closes one. Each socket is
/// therefore stored with its descriptor and the kernel's cookie for it. Closed ones are searched
/// for only when the limit is reached and at most once per ScanInterval: a connection costs two
/// system calls, and a flood of connections does not cause a scan of all sockets for each of them.
class ConnectionLimiter
{
public:
    /// \param limit number of connections that may be open at a time.
    ConnectionLimiter(const Clock &clock, int limit);

    /// \brief Counts the newly accepted connection \a fd.
    /// \returns false if it exceeds the limit; it is not counted then.
    bool admit(int fd);

    /// \returns the connections that were open at the last scan and those admitted since.
    std::size_t size() const { return m_cookies.size(); }

private:
    void removeClosed();

    const Clock &m_clock;
    std::size_t m_limit;
    std::unordered_map<int, std::uint64_t> m_cookies; ///< Kernel cookies by descriptor.
    TimePoint m_lastScan;
};

} // namespace catkinloft::internal
