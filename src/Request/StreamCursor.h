#pragma once

#include "Request/SseReader.h"

namespace catkinloft {

/// \brief Tracks how far a stream with consecutive ids was delivered, across all its connections.
class StreamCursor
{
public:
    enum class Disposition {
        Deliver,
        Skip, ///< The caller already has the event.
        Gap, ///< An event before it is missing, so this one must not be delivered.
    };

    /// \param last id of the last event that the caller has; -1 if it has none.
    explicit StreamCursor(std::int64_t last = -1) : m_last(last) { }

    /// \returns what to do with the next event of the stream.
    Disposition take(const SseEvent &event)
    {
        if (!event.id)
            return Disposition::Deliver;
        if (*event.id <= m_last)
            return Disposition::Skip;
        if (*event.id != m_last + 1)
            return Disposition::Gap;
        m_last = *event.id;
        return Disposition::Deliver;
    }

    std::int64_t last() const { return m_last; }

private:
    std::int64_t m_last;
};

} // namespace catkinloft
