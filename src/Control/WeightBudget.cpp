#include "Control/WeightBudget.h"

#include <algorithm>

#include <fmt/format.h>

namespace catkinloft {

WeightBudget::WeightBudget(Options options) : m_options(std::move(options))
{
    for (std::size_t i = 0; i < m_options.slots; ++i) {
        m_slots.push_back(std::make_unique<LeaseManager>(
                LeaseManager::Options{.clock = m_options.clock,
                                      .random = [this] { return m_options.random(); },
                                      .table = m_options.table,
                                      .key = fmt::format("lease/weights/{}", i),
                                      .self = m_options.self,
                                      .acquireInterval = m_options.acquireInterval}));
    }
}

void WeightBudget::setWanted(bool wanted)
{
    m_wanted = wanted;
    update();
}

void WeightBudget::backOff(Duration retryAfter)
{
    m_pausedUntil = std::max(m_pausedUntil, m_options.clock.now() + retryAfter);
    update();
}

bool WeightBudget::isPaused() const
{
    return m_options.clock.now() < m_pausedUntil;
}

bool WeightBudget::mayAsk() const
{
    return hasSlot() && !isPaused();
}

bool WeightBudget::hasSlot() const
{
    return std::any_of(m_slots.begin(), m_slots.end(),
                       [](const auto &it) { return it->fence().has_value(); });
}

void WeightBudget::update()
{
    // Tries to take all slots, as the slot of a stopped holder is detected as free only after a
    // whole lease without renewal. Once one slot is held, the others are released.
    const bool wanted = m_wanted || isPaused();
    bool found = false;
    for (const auto &it : m_slots) {
        const bool isHeld = it->fence().has_value();
        it->setWanted(wanted && !found && (isHeld || !hasSlot()));
        found = found || isHeld;
    }
}

void WeightBudget::poll()
{
    update();
    for (const auto &it : m_slots) {
        it->poll();
        update();
    }
}

TimePoint WeightBudget::nextDeadline() const
{
    TimePoint out = TimePoint::max();
    for (const auto &it : m_slots)
        out = std::min(out, it->nextDeadline());
    return isPaused() ? std::min(out, m_pausedUntil) : out;
}

} // namespace catkinloft
