#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <memory>
#include <string>

namespace catkinloft {

/// \brief The right of one attempt to execute a call. Created by ClaimManager.
struct Claim
{
    std::string rowKey;
    std::string fingerprint;
    std::string attempt;
    TimePoint sendBefore; ///< Monotonic time, which does not advance while a VM is suspended.
    WallTime until; ///< The same instant in wall time, which does advance then.
    WallTime expires;
    std::uint64_t version = 0; ///< Version of the row in the table service.
};

using ClaimPtr = std::shared_ptr<Claim>;

} // namespace catkinloft
