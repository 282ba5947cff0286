#pragma once

#include "Base/Clock.h"

#include <cstdint>

namespace catkinloft::internal {

/// Nothing that routers tell each other is of use for longer; more would overflow a Duration.
constexpr std::int64_t MaxAgeMs = std::int64_t(30) * 24 * 3600 * 1000;

/// \returns the age that a peer told in milliseconds; Duration::max(), which proves nothing, where
/// it can't be one.
inline Duration ageFromMilliseconds(std::int64_t ms)
{
    return ms < 0 || ms > MaxAgeMs ? Duration::max() : Duration(std::chrono::milliseconds(ms));
}

} // namespace catkinloft::internal
