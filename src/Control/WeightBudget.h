#pragma once

#include "Control/LeaseManager.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief Limits concurrent loads from the weight store in the whole fleet. Each of a few slots is
/// a lease; a router must hold one to load.
///
/// Handles a new version for thousands of engines at once, ordered by up to 256 routers. Prevents
/// that the store answers 429 to all of them, which delays every load, and that routers which each
/// obey a limit of their own together exceed the limit of the store. The number of slots bounds the
/// loads that run at a time in the fleet; the slot of a router that has stopped becomes free when
/// its lease expires, without any counting.
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
        /// Interval in which each router reads all slots. With 256 routers these are at most
        /// 4 * 256 / 15 = 68 reads/s.
        Duration acquireInterval = std::chrono::seconds(15);
    };

    explicit WeightBudget(Options options);

    /// \brief Sets whether this router has a load to order.
    void setWanted(bool wanted);

    /// \brief Applies the Retry-After of the store: keeps the slot without using it, so that no
    /// other router sends requests instead. The store receives at most one request for each slot in
    /// that time.
    void backOff(Duration retryAfter);

    /// \returns whether a request may be sent to the store now.
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
