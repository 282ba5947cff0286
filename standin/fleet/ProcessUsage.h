#pragma once

#include "Base/Clock.h"

#include <cstdint>

#include <sys/types.h>

namespace catkinloft::standin {

/// \returns the processor time that process \a pid has used, from `/proc`. The resolution is
/// usually 10 ms.
Duration processorTime(pid_t pid);

/// \returns the resident memory of process \a pid in bytes.
double residentBytes(pid_t pid);

/// \returns the highest resident memory that process \a pid has had so far, in bytes; 0 if it has
/// exited.
double peakResidentBytes(pid_t pid);

/// \returns the number of sockets and pipes that process \a pid has open.
int openSockets(pid_t pid);

/// \returns the bytes that the TCP connections to \a port of this machine have received and that
/// no process has read yet.
double unreadBytes(std::uint16_t port);

} // namespace catkinloft::standin
