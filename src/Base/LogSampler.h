#pragma once

#include <bit>
#include <cstdint>

namespace catkinloft {

/// \brief Decides which occurrences of a repeated event are logged: the first ones, and after them
/// those whose number is a power of two. A failure that recurs with every message thus can't fill
/// the log.
class LogSampler
{
public:
    static constexpr std::uint64_t AlwaysLogged = 10;

    /// \brief Counts an occurrence.
    /// \returns whether it is to be logged.
    bool add()
    {
        ++m_total;
        return m_total <= AlwaysLogged || std::has_single_bit(m_total);
    }

    std::uint64_t total() const { return m_total; }

private:
    std::uint64_t m_total = 0;
};

} // namespace catkinloft
