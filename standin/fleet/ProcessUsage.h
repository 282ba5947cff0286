#pragma once

#include "Base/Clock.h"

#include <sys/types.h>

namespace catkinloft::standin {

/// \returns the processor time that process \a pid has used, from the kernel's books; their step is
/// usually 10 ms.
Duration processorTime(pid_t pid);

/// \returns resident memory of process \a pid in bytes.
double residentBytes(pid_t pid);

} // namespace catkinloft::standin
