#pragma once

#include "Base/Clock.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace catkinloft::standin {

/// \brief Delays the bytes of one direction of a connection. Bytes and the end of the stream leave
/// in the order in which they were added, even if their delays differ. Does no socket I/O.
class DelayLine
{
public:
    struct Chunk
    {
        TimePoint due = {}; ///< Never earlier than that of the preceding chunk.
        std::string bytes = {};
        bool isEnd = false; ///< The sender closed the connection after the bytes.
    };

    /// \param clock must outlive this object.
    explicit DelayLine(const Clock &clock) : m_clock(clock) { }

    /// \brief Queues \a bytes for \a delay, and at least until all preceding chunks have left.
    void add(std::string bytes, Duration delay) { push({.bytes = std::move(bytes)}, delay); }

    /// \brief Queues the end of the stream in the same way.
    void end(Duration delay) { push({.isEnd = true}, delay); }

    /// \brief Removes the chunks that are due.
    /// \returns them in order.
    std::vector<Chunk> takeDue();

    /// \returns when the next chunk is due, or nothing if the queue is empty.
    std::optional<TimePoint> nextDue() const;

private:
    void push(Chunk piece, Duration delay);

    const Clock &m_clock;
    std::deque<Chunk> m_queue;
};

} // namespace catkinloft::standin
