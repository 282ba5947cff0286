#pragma once

#include "Base/Log.h"
#include "Net/Timer.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace catkinloft {

class EventLoop;

/// \brief Writes log lines to a descriptor in batches, without ever waiting for its reader.
///
/// Load: a burst of refusals while nobody reads the pipe. Harm prevented: a blocked write would
/// stop the whole process, and an unbounded buffer would fill its memory. While more than half of
/// the buffer is taken, lines of what went well are dropped; the rest is for failures and refusals,
/// which are dropped only when it is full. Dropped lines are counted, and the count is logged once
/// there is room again.
class LogWriter
{
public:
    struct Options
    {
        EventLoop &loop;
        int fd = 1;
        std::size_t capacity = 256 * 1024; ///< Bytes held; two seconds of lines at full load.
        Duration interval = std::chrono::milliseconds(200); ///< Longest wait of a line.
    };

    explicit LogWriter(Options options);
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    void write(LogLevel level, std::string_view line);

    /// \brief Writes as much as the descriptor takes at once.
    void flush();

    std::uint64_t dropped() const { return m_dropped; }

private:
    bool isWritable() const;

    Options m_options;
    Timer m_timer;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported = 0; ///< Dropped lines that a line has told of.
    bool m_scheduled = false;
};

} // namespace catkinloft
