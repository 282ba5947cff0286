#include "Decide/FleetRetryBudget.h"

#include <algorithm>

namespace catkinloft {

namespace {

/// Share of the limit that is used. The rest covers retries that are counted one slot before they
/// arrive at the service, and routers that joined but are not known to this router yet.
constexpr double UsedShare = 0.85;

constexpr std::int64_t SlotsPerWindow = 10;

} // namespace

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

bool FleetRetryBudget::tryRetry(int routers)
{
    const std::int64_t now = currentSlot().number;
    int requests = 0;
    int retries = 0;
    for (const Slot &it : m_slots) {
        if (it.number < 0 || now - it.number > SlotsPerWindow)
            continue;
        retries += it.retries;
        // One slot fewer than for retries, since a window may begin anywhere within a slot.
        if (now - it.number < SlotsPerWindow)
            requests += it.requests;
    }
    const double allowed =
            UsedShare * (m_options.share * requests + m_options.slack / std::max(1, routers));
    if (retries + 1 > allowed)
        return false;
    ++currentSlot().retries;
    return true;
}

void FleetRetryBudget::setOptions(double share, double slack)
{
    m_options.share = share;
    m_options.slack = slack;
}

} // namespace catkinloft
