#include "DelayLine.h"

#include <algorithm>

namespace catkinloft::standin {

void DelayLine::push(Chunk piece, Duration delay)
{
    piece.due = m_clock.now() + delay;
    if (!m_queue.empty())
        piece.due = std::max(piece.due, m_queue.back().due);
    m_queue.push_back(std::move(piece));
}

std::vector<DelayLine::Chunk> DelayLine::takeDue()
{
    std::vector<Chunk> out;
    const TimePoint now = m_clock.now();
    while (!m_queue.empty() && m_queue.front().due <= now) {
        out.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    return out;
}

std::optional<TimePoint> DelayLine::nextDue() const
{
    if (m_queue.empty())
        return std::nullopt;
    return m_queue.front().due;
}

} // namespace catkinloft::standin
