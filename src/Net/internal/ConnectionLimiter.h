#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <unordered_map>

namespace catkinloft::internal {

/// \brief Counts the open connections of one listener.
///
/// evhttp 2.1 says when it accepts a connection and not when it closes one. The census therefore
/// remembers each socket by its descriptor and the kernel's cookie for it, and looks which of them
/// are still there only when it seems full: a connection costs two system calls, and a flood of
/// connections does not make each of them cost a look at all.
class ConnectionLimiter
{
public:
    /// \param limit connections open at a time.
    ConnectionLimiter(const Clock &clock, int limit);

    /// \brief Takes in the newly accepted \a fd.
    /// \returns false where it is one too many; it is not counted then.
    bool admit(int fd);

    /// \returns connections open at the last look, and those since.
    std::size_t size() const { return m_cookies.size(); }

private:
    void removeClosed();

    const Clock &m_clock;
    std::size_t m_limit;
    std::unordered_map<int, std::uint64_t> m_cookies; ///< By descriptor.
    TimePoint m_lastScan;
};

} // namespace catkinloft::internal
