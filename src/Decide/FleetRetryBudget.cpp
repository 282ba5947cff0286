#include "Decide/FleetRetryBudget.h"

#include "Base/Log.h"

#include <algorithm>
#include <utility>

namespace catkinloft {

namespace {

/// Share of the limit that is used. The rest covers retries that are counted one slot before they
/// arrive at the service, and routers that joined but are not known to this router yet.
constexpr double UsedShare = 0.85;

constexpr std::int64_t SlotsPerWindow = 10;

/// Shortest time between two log lines about a budget that is used up.
constexpr Duration LogInterval = std::chrono::seconds(1);

} // namespace

FleetRetryBudget::FleetRetryBudget(Options options)
    : m_options(std::move(options)), m_startedAt(m_options.clock.now())
{ }

std::int64_t FleetRetryBudget::slotNumber() const
{
    return m_options.clock.now().time_since_epoch() / (m_options.window / SlotsPerWindow);
}

FleetRetryBudget::Slot &FleetRetryBudget::currentSlot()
{
    const std::int64_t number = slotNumber();
    Slot &out = m_slots[static_cast<std::size_t>(number) % Slots];
    if (out.number != number)
        out = {.number = number};
    return out;
}

void FleetRetryBudget::countRequest()
{
    ++currentSlot().requests;
}

FleetRetryBudget::Usage FleetRetryBudget::usage(int routers) const
{
    const std::int64_t now = slotNumber();
    Usage out;
    for (const Slot &it : m_slots) {
        if (it.number < 0 || now - it.number > SlotsPerWindow)
            continue;
        out.retries += it.retries;
        // One slot fewer than for retries, since a window may begin anywhere within a slot.
        if (now - it.number < SlotsPerWindow)
            out.requests += it.requests;
    }
    out.limit =
            UsedShare * (m_options.share * out.requests + m_options.slack / std::max(1, routers));
    return out;
}

bool FleetRetryBudget::tryRetry(int routers)
{
    const Usage used = usage(routers);
    if (used.retries + 1 > used.limit) {
        logExhausted(used, routers);
        return false;
    }
    ++currentSlot().retries;
    return true;
}

void FleetRetryBudget::logExhausted(const Usage &usage, int routers)
{
    const TimePoint now = m_options.clock.now();
    if (m_exhaustedLoggedAt != TimePoint::min() && now - m_exhaustedLoggedAt < LogInterval)
        return;
    m_exhaustedLoggedAt = now;
    Log::info("retry_budget_exhausted",
              {{"service", m_options.service},
               {"requests", usage.requests},
               {"retries", usage.retries},
               {"limit", usage.limit},
               {"routers", routers},
               {"counted_for_ms", (now - m_startedAt) / std::chrono::milliseconds(1)}});
}

void FleetRetryBudget::setOptions(double share, double slack)
{
    m_options.share = share;
    m_options.slack = slack;
}

} // namespace catkinloft
