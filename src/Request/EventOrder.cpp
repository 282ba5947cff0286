#include "Request/EventOrder.h"

#include <utility>

namespace catkinloft {

void EventOrder::connected()
{
    m_onConnection.reset();
    m_deliveredHere = false;
}

bool EventOrder::continues(std::int64_t id) const
{
    return m_last ? id - 1 == *m_last : id <= 1; // The first event of a stream has id 0 or 1.
}

EventOrder::Step EventOrder::take(std::optional<std::int64_t> id)
{
    if (!id)
        return Step::Deliver;
    if (m_onConnection && *id <= *m_onConnection) {
        m_broken = m_broken || m_deliveredHere;
        return Step::Disorder;
    }
    const std::optional<std::int64_t> before = std::exchange(m_onConnection, id);
    if (m_last && *id <= *m_last)
        return Step::Skip;
    const bool resumed = m_delivered && before != m_last;
    if (resumed && m_consecutive && !continues(*id))
        return Step::Gap;
    m_consecutive = m_consecutive && continues(*id);
    m_delivered = true;
    m_deliveredHere = true;
    m_last = id;
    return Step::Deliver;
}

} // namespace catkinloft
