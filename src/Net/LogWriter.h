#pragma once

#include "Base/CrashHandler.h"
#include "Base/Log.h"
#include "Net/Timer.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace catkinloft {

class EventLoop;

/// \brief Writes log lines to a descriptor in batches and never blocks on its reader.
///
/// Handles a burst of refusals while the pipe is not read. Prevents a blocked write, which would
/// stop the whole process, and an unbounded buffer, which would exhaust the memory. While more than
/// half of the buffer is used, lines below the level of a warning are dropped. The other half is
/// reserved for failures and refusals, which are dropped only when the buffer is full. Dropped
/// lines are counted, and the count is logged after the buffer has been written.
class LogWriter
{
public:
    struct Options
    {
        EventLoop &loop;
        int fd = 1;
        /// Buffer size in bytes; two seconds of lines at full load.
        std::size_t capacity = 256 * 1024;
        Duration interval = std::chrono::milliseconds(200); ///< Longest delay of a line.
    };

    explicit LogWriter(Options options);
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    void write(LogLevel level, std::string_view line);

    /// \brief Writes as much as the descriptor accepts without blocking.
    void flush();

    std::uint64_t dropped() const { return m_dropped; }

    /// \returns the lines that are in the buffer.
    const CrashHandler::Unwritten &unwritten() const { return m_unwritten; }

private:
    bool isWritable() const;
    void publish(std::size_t begin);

    Options m_options;
    Timer m_timer;
    std::string m_buffer; ///< Has room for all lines, so that it doesn't move.
    CrashHandler::Unwritten m_unwritten;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported = 0; ///< Dropped lines that were reported in the log.
    bool m_scheduled = false;
};

} // namespace catkinloft
