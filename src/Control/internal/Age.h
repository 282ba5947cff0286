#pragma once

#include "Base/Clock.h"

#include <cstdint>

namespace catkinloft::internal {

/// Maximum age in messages between routers. Older information is of no use, and larger values would
/// overflow a Duration.
constexpr std::int64_t MaxAgeMs = std::int64_t(30) * 24 * 3600 * 1000;

/// \returns the age of \a ms milliseconds that a peer reported; Duration::max(), which proves
/// nothing, if the value is invalid.
inline Duration ageFromMilliseconds(std::int64_t ms)
{
    return ms < 0 || ms > MaxAgeMs ? Duration::max() : Duration(std::chrono::milliseconds(ms));
}

} // namespace catkinloft::internal
