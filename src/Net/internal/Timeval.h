#pragma once

#include "Base/Clock.h"

#include <sys/time.h>

namespace catkinloft::internal {

/// \returns \a d as a timeval for libevent; negative durations become zero.
inline timeval toTimeval(Duration d)
{
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
            d < Duration::zero() ? Duration::zero() : d);
    return {.tv_sec = static_cast<time_t>(micros.count() / 1'000'000),
            .tv_usec = static_cast<suseconds_t>(micros.count() % 1'000'000)};
}

inline Duration toDuration(const timeval &it)
{
    return std::chrono::seconds(it.tv_sec) + std::chrono::microseconds(it.tv_usec);
}

} // namespace catkinloft::internal
