#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <cstdint>

namespace catkinloft {

/// \brief Decides how far a process that was told to stop has got.
///
/// Handles callers that still use an outdated address, requests in progress, and answers that their
/// callers read slowly. Prevents that the process ends while an answer is being sent, which loses
/// the rest of it, and that it is killed before it has answered what is left.
class DrainPlan
{
public:
    enum class Step : std::uint8_t {
        Accept, ///< New requests are still accepted.
        Finish, ///< New requests are refused; others are in progress.
        Flush, ///< Only answers are left that have not arrived yet.
        BreakOff, ///< The rest must be answered now. Returned once.
        End,
    };

    /// Time in which the answers to what is broken off are sent. Those that have not arrived by
    /// then are lost.
    static constexpr Duration LastAnswersTime = std::chrono::milliseconds(100);

    struct Options
    {
        /// Callers have heard by then that they must use other addresses.
        TimePoint refuseFrom = TimePoint::max();
        /// What is left then is answered at once, because the process would be killed soon after.
        TimePoint breakOffAt = TimePoint::max();
    };

    /// What is left to do.
    struct Work
    {
        std::size_t requests = 0; ///< In progress.
        std::size_t answers = 0; ///< Written and not yet received.
    };

    DrainPlan() = default;
    explicit DrainPlan(Options options) : m_options(options) { }

    Step next(TimePoint now, Work left);

    const Options &options() const { return m_options; }

private:
    Options m_options;
    bool m_isBrokenOff = false;
};

} // namespace catkinloft
