#pragma once

#include "SoakCheck.h"

namespace catkinloft::soak {

/// Periods before and after an overload in which the share of served requests is compared, and the
/// time after it within which everything is served as before (R6 in docs/design/overload.md).
inline constexpr std::chrono::seconds OverloadComparison{3};
inline constexpr std::chrono::seconds OverloadRecovery{2};

/// Time after another fault until an overload counts as alone. Callers use a revoked key for 7 s
/// (SoakRun::revokeKey), and the period that the overload is compared with comes after that.
inline constexpr Duration OverloadQuietTime = std::chrono::seconds(7) + OverloadComparison;

/// \brief Checks the guarantees for periods of overload: refusals are truthful, state when to retry
/// and are sent at once; nothing is lost; no priority is served worse than a less urgent one or
/// starved; and everything is served as before afterwards.
/// \param runs how often each attempt ran on a replica, by id.
void checkOverloads(const std::map<std::string, Attempt> &attempts,
                    const std::map<std::string, int> &runs, const RunHistory &history,
                    const std::function<void(std::string)> &broken);

} // namespace catkinloft::soak
