#pragma once

#include "Control/LeaseManager.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief This router's share of the weight store: one of a few slots, each a lease.
///
/// Load: a new version for thousands of engines at once, ordered by up to 256 routers.
/// Harm prevented: a store that answers 429 to everybody, so that every load takes longer, and
/// routers that each keep within a limit whose sum exceeds the store's.
/// Reason for the limit: slots bound how many loads run at a time in the whole fleet; a slot whose
/// holder died comes free when its lease ends, without anybody counting.
class WeightBudget
{
public:
    struct Options
    {
        const Clock &clock;
        RandomSource random;
        TableService &table;
        std::string self;
        std::size_t slots = 4;
        /// Up to 256 routers look at all slots this often: 4 * 256 / 15 = 68 reads/s at worst.
        Duration acquireInterval = std::chrono::seconds(15);
    };

    explicit WeightBudget(Options options);

    /// \brief Whether this router has a load to order.
    void setWanted(bool wanted);

    /// \brief Honours the store's Retry-After: keeps the slot without using it, so that nobody else
    /// asks in its stead. The store hears at most one question a slot in that time.
    void backOff(Duration retryAfter);

    /// \returns whether the store may be asked now.
    bool mayAsk() const;
    void poll();
    TimePoint nextDeadline() const;

private:
    bool hasSlot() const;
    bool isPaused() const;
    void update();

    Options m_options;
    bool m_wanted = false;
    TimePoint m_pausedUntil;
    std::vector<std::unique_ptr<LeaseManager>> m_slots;
};

} // namespace catkinloft
