#pragma once

#include "Base/Clock.h"

#include <array>
#include <cstdint>

namespace catkinloft {

/// \brief Bounds how often requests of one service are sent once more, over all routers together,
/// without a message between them.
///
/// Load: a service that fails many requests at once, on every router. Harm prevented: repeats
/// multiply the traffic when the service is weakest. The limit for all routers is a share of the
/// requests plus a fixed slack in any window. Each router keeps to its own share of the requests
/// and to its part of the slack, so the sums hold also while routers do not hear each other.
class FleetRetryBudget
{
public:
    struct Options
    {
        const Clock &clock;
        double share = 0.2; ///< Repeats allowed for each request, over all routers.
        double slack = 0; ///< Repeats allowed besides, over all routers.
        Duration window = std::chrono::seconds(10); ///< Any span of this length counts.
    };

    explicit FleetRetryBudget(Options options) : m_options(options) { }

    /// \brief Counts the first sending of a request.
    void countRequest();

    /// \brief Asks for one more sending and counts it if it is allowed.
    /// \param routers how many share the slack.
    bool tryRetry(int routers);

    /// \brief Changes the limits; what was counted stays.
    void setOptions(double share, double slack);

private:
    static constexpr std::size_t Slots = 12; ///< Tenths of a window, with one on each side.

    struct Slot
    {
        std::int64_t number = -1;
        int requests = 0;
        int repeats = 0;
    };

    std::int64_t slotNumber() const;
    Slot &current();

    Options m_options;
    std::array<Slot, Slots> m_slots;
};

} // namespace catkinloft
