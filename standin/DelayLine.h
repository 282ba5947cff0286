#pragma once

#include "Base/Clock.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace catkinloft::standin {

/// \brief One direction of a connection with a delay: bytes and the end leave in the order in which
/// they came, whatever the delay of each is. Knows no sockets.
class DelayLine
{
public:
    struct Chunk
    {
        TimePoint due = {}; ///< Never earlier than that of the piece before.
        std::string bytes = {};
        bool isEnd = false; ///< The sender closed the connection behind the bytes.
    };

    /// \param clock must live as long as this.
    explicit DelayLine(const Clock &clock) : m_clock(clock) { }

    /// \brief Holds \a bytes for \a delay, and until all that came before has left.
    void add(std::string bytes, Duration delay) { push({.bytes = std::move(bytes)}, delay); }

    /// \brief Holds the end of the connection likewise.
    void end(Duration delay) { push({.isEnd = true}, delay); }

    /// \returns what is due by now, in order; it is held no more.
    std::vector<Chunk> takeDue();

    /// \returns when the next piece is due; nothing where none is held.
    std::optional<TimePoint> nextDue() const;

private:
    void push(Chunk piece, Duration delay);

    const Clock &m_clock;
    std::deque<Chunk> m_queue;
};

} // namespace catkinloft::standin
