#pragma once

#include "Net/HttpClient.h"

namespace catkinloft::internal {

/// \returns the caller's headers that an upstream gets. The API key is not among them: it would let
/// an upstream act as the workspace.
HttpHeaders requestHeaders(const HttpExchange &exchange);

/// \returns the upstream's headers that a caller gets.
HttpHeaders answerHeaders(const HttpHead &head);

} // namespace catkinloft::internal
