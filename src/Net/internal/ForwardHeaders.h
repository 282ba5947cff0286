#pragma once

#include "Net/HttpClient.h"

namespace catkinloft::internal {

/// \returns the caller's headers that are forwarded to an upstream. The API key is not among them:
/// an upstream could use it to act as the workspace.
HttpHeaders requestHeaders(const HttpExchange &exchange);

/// \returns the upstream's headers that are forwarded to the caller.
HttpHeaders answerHeaders(const HttpHead &head);

} // namespace catkinloft::internal
