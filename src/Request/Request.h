#pragma once

/// \file
/// \brief Module Request: the filters that a request passes. Does no I/O.

#include "Request/AuthenticateFilter.h" // IWYU pragma: export
#include "Request/ChatRequest.h" // IWYU pragma: export
#include "Request/FilterChain.h" // IWYU pragma: export
#include "Request/IdentifyFilter.h" // IWYU pragma: export
#include "Request/Problem.h" // IWYU pragma: export
#include "Request/RequestContext.h" // IWYU pragma: export
