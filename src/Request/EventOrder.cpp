#include "Request/EventOrder.h"

#include <utility>

namespace catkinloft {

void EventOrder::beginConnection()
{
    m_lastOnConnection.reset();
    m_deliveredOnConnection = false;
}

bool EventOrder::continues(std::int64_t id) const
{
    return m_last ? id - 1 == *m_last : id <= 1; // The first event of a stream has id 0 or 1.
}

EventOrder::Disposition EventOrder::take(std::optional<std::int64_t> id, bool hasData)
{
    if (!id) {
        m_hasUnnumberedData = m_hasUnnumberedData || hasData;
        return Disposition::Deliver;
    }
    if (m_lastOnConnection && *id <= *m_lastOnConnection) {
        m_hasLostEvent = m_hasLostEvent || m_deliveredOnConnection;
        return Disposition::Disorder;
    }
    const std::optional<std::int64_t> before = std::exchange(m_lastOnConnection, id);
    if (m_last && *id <= *m_last)
        return Disposition::Skip;
    const bool resumed = m_delivered && before != m_last;
    if (resumed && m_consecutive && !continues(*id))
        return Disposition::Gap;
    m_consecutive = m_consecutive && continues(*id);
    m_delivered = true;
    m_deliveredOnConnection = true;
    m_hasUnnumberedData = false;
    m_last = id;
    return Disposition::Deliver;
}

} // namespace catkinloft
