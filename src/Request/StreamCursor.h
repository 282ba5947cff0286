#pragma once

#include "Request/SseReader.h"

namespace catkinloft {

/// \brief How far a stream has been delivered, over all the connections it came on.
class StreamCursor
{
public:
    enum class Disposition {
        Deliver,
        Skip, ///< The caller has it already.
        Gap, ///< Something before it is missing: not to be delivered.
    };

    /// \param last number of the last token that the caller has; -1: none.
    explicit StreamCursor(std::int64_t last = -1) : m_last(last) { }

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
