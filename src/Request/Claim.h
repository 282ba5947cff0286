#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <memory>
#include <string>

namespace catkinloft {

/// \brief The right to execute one call, held by one attempt. Made by ClaimManager.
struct Claim
{
    std::string rowKey;
    std::string fingerprint;
    std::string attempt;
    TimePoint sendBefore; ///< By the monotonic clock, which stands still while a VM is suspended.
    WallTime until; ///< The same by the calendar, which does not.
    WallTime expires;
    std::uint64_t version = 0; ///< Of the row.
};

using ClaimPtr = std::shared_ptr<Claim>;

} // namespace catkinloft
