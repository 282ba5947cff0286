#include "Request/AttemptHistory.h"

#include <algorithm>
#include <iterator>

namespace catkinloft {

namespace {

/// Attempts of an idempotent call beyond one for each replica that its route allows. They go to
/// replicas that already received it. If one in seven attempts fails, a third and a fourth attempt
/// reduce the share of failed calls from 2% to 0.04%. The retry budget limits their total number.
constexpr int ExtraAttempts = 2;

/// Maximum number of unreachable replicas after which another one is tried.
constexpr int MaxUnreachable = 4;

bool contains(std::span<const std::string> ids, const std::string &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

std::string_view attemptCauseName(AttemptCause cause)
{
    switch (cause) {
    case AttemptCause::First:
        return "first";
    case AttemptCause::Retry:
        return "retry";
    case AttemptCause::Undelivered:
        return "undelivered";
    }
    return "first";
}

void AttemptHistory::sent(const std::string &id)
{
    ++m_count;
    m_deliveries.push_back(id);
    if (!contains(m_reached, id))
        m_reached.push_back(id);
}

void AttemptHistory::didNotArrive(const std::string &id)
{
    const auto last = std::find(m_deliveries.rbegin(), m_deliveries.rend(), id);
    if (last == m_deliveries.rend())
        return;
    --m_count;
    m_deliveries.erase(std::next(last).base());
    if (!contains(m_deliveries, id))
        std::erase(m_reached, id);
}

bool AttemptHistory::wasUnreachable(const std::string &id)
{
    didNotArrive(id);
    return ++m_unreachable <= MaxUnreachable;
}

void AttemptHistory::failedOn(const std::string &id)
{
    m_failed.push_back(id);
}

bool AttemptHistory::mayRetry(const Route &route) const
{
    const bool again = route.kind == CallKind::Idempotent && route.maxAttempts > 1;
    return m_count < route.maxAttempts + (again ? ExtraAttempts : 0);
}

bool AttemptHistory::isLimitedToReached(const Route &route) const
{
    return static_cast<int>(m_reached.size()) >= route.maxAttempts;
}

} // namespace catkinloft
