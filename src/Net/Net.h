#pragma once

/// \file
/// \brief Module Net: event loop, HTTP client and server, and the adapters to the platform.

#include "Net/EventLoop.h" // IWYU pragma: export
#include "Net/HttpClient.h" // IWYU pragma: export
#include "Net/HttpServer.h" // IWYU pragma: export
#include "Net/Timer.h" // IWYU pragma: export
