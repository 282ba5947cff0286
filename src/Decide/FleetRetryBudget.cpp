#include "Decide/FleetRetryBudget.h"

#include <algorithm>

namespace catkinloft {

namespace {

/// Part of the allowance that is used. The rest covers repeats that are counted in the slot before
/// they arrive, and routers that joined and are not known here yet.
constexpr double UsedShare = 0.85;

constexpr std::int64_t SlotsPerWindow = 10;

} // namespace

std::int64_t FleetRetryBudget::slotNumber() const
{
    return m_options.clock.now().time_since_epoch() / (m_options.window / SlotsPerWindow);
}

FleetRetryBudget::Slot &FleetRetryBudget::current()
{
    const std::int64_t number = slotNumber();
    Slot &out = m_slots[static_cast<std::size_t>(number) % Slots];
    if (out.number != number)
        out = {.number = number};
    return out;
}

void FleetRetryBudget::countRequest()
{
    ++current().requests;
}

bool FleetRetryBudget::tryRetry(int routers)
{
    const std::int64_t now = current().number;
    int requests = 0;
    int repeats = 0;
    for (const Slot &it : m_slots) {
        if (it.number < 0 || now - it.number > SlotsPerWindow)
            continue;
        repeats += it.repeats;
        // One slot fewer than for repeats, since a window may begin anywhere in a slot.
        if (now - it.number < SlotsPerWindow)
            requests += it.requests;
    }
    const double allowed =
            UsedShare * (m_options.share * requests + m_options.slack / std::max(1, routers));
    if (repeats + 1 > allowed)
        return false;
    ++current().repeats;
    return true;
}

void FleetRetryBudget::setOptions(double share, double slack)
{
    m_options.share = share;
    m_options.slack = slack;
}

} // namespace catkinloft
