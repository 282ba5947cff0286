#pragma once

#include "Request/SseReader.h"

namespace catkinloft {

/// \brief Tracks how far a stream with consecutive ids was delivered, across all its connections.
class StreamCursor
{
public:
    enum class Step {
        Deliver,
        Skip, ///< The caller already has the event.
        Gap, ///< An event before it is missing, so this one must not be delivered.
    };

    /// \param last id of the last event that the caller has; -1 if it has none.
    explicit StreamCursor(std::int64_t last = -1) : m_last(last) { }

    /// \returns what to do with the next event of the stream.
    Step take(const SseEvent &event)
    {
        if (!event.id)
            return Step::Deliver;
        if (*event.id <= m_last)
            return Step::Skip;
        if (*event.id != m_last + 1)
            return Step::Gap;
        m_last = *event.id;
        return Step::Deliver;
    }

    std::int64_t last() const { return m_last; }

private:
    std::int64_t m_last;
};

} // namespace catkinloft
