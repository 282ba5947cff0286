#include "Net/LogWriter.h"

#include "Net/EventLoop.h"

#include <algorithm>
#include <climits>
#include <utility>

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace catkinloft {

namespace {

/// The line about dropped lines is shorter.
constexpr std::size_t MaxOwnLineBytes = 128;

} // namespace

LogWriter::LogWriter(Options options)
    : m_options(options), m_timer(m_options.loop, [this] {
          m_scheduled = false;
          flush();
      })
{
    m_buffer.reserve(m_options.capacity + MaxOwnLineBytes);
}

LogWriter::~LogWriter()
{
    flush();
}

void LogWriter::write(LogLevel level, std::string_view line)
{
    const std::size_t limit = m_options.capacity / (level < LogLevel::Warning ? 2 : 1);
    if (m_buffer.size() + line.size() > limit) {
        ++m_dropped;
    } else {
        m_buffer += line;
        publish(0);
    }
    if (!std::exchange(m_scheduled, true))
        m_timer.start(m_options.interval);
}

/// Lets a signal handler write the buffer from \a begin on.
void LogWriter::publish(std::size_t begin)
{
    m_unwritten.size = 0;
    m_unwritten.data = m_buffer.data() + begin;
    m_unwritten.size = m_buffer.size() - begin;
}

bool LogWriter::isWritable() const
{
    pollfd it{.fd = m_options.fd, .events = POLLOUT, .revents = 0};
    return poll(&it, 1, 0) == 1 && (it.revents & POLLOUT) != 0;
}

void LogWriter::flush()
{
    std::size_t done = 0;
    // A writable pipe accepts PIPE_BUF bytes without blocking.
    while (done < m_buffer.size() && isWritable()) {
        const std::size_t n = std::min<std::size_t>(PIPE_BUF, m_buffer.size() - done);
        const ssize_t written = ::write(m_options.fd, m_buffer.data() + done, n);
        if (written <= 0)
            break;
        done += static_cast<std::size_t>(written);
        publish(done);
    }
    m_unwritten.size = 0;
    m_buffer.erase(0, done);
    if (m_buffer.empty() && m_dropped > m_reported) {
        m_buffer += fmt::format(R"({{"level":"warning","event":"log_lines_dropped","total":{}}})"
                                "\n",
                                m_dropped);
        m_reported = m_dropped;
    }
    publish(0);
    if (!m_buffer.empty() && !std::exchange(m_scheduled, true))
        m_timer.start(m_options.interval);
}

} // namespace catkinloft
