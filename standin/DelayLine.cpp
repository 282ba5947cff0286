#include "DelayLine.h"

#include <algorithm>

namespace catkinloft::standin {

void DelayLine::push(Piece piece, Duration delay)
{
    piece.due = m_clock.now() + delay;
    if (!m_held.empty())
        piece.due = std::max(piece.due, m_held.back().due);
    m_held.push_back(std::move(piece));
}

std::vector<DelayLine::Piece> DelayLine::takeDue()
{
    std::vector<Piece> out;
    const TimePoint now = m_clock.now();
    while (!m_held.empty() && m_held.front().due <= now) {
        out.push_back(std::move(m_held.front()));
        m_held.pop_front();
    }
    return out;
}

std::optional<TimePoint> DelayLine::nextDue() const
{
    if (m_held.empty())
        return std::nullopt;
    return m_held.front().due;
}

} // namespace catkinloft::standin
