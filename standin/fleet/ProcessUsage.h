#pragma once

#include "Base/Clock.h"

#include <sys/types.h>

namespace catkinloft::standin {

/// \returns the processor time that process \a pid has used, from `/proc`. The resolution is
/// usually 10 ms.
Duration processorTime(pid_t pid);

/// \returns the resident memory of process \a pid in bytes.
double residentBytes(pid_t pid);

} // namespace catkinloft::standin
