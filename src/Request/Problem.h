#pragma once

#include "Base/Error.h"
#include "Decide/Refusal.h"

#include <string>
#include <string_view>

namespace catkinloft {

/// \brief The body of an error answer, as application/problem+json (RFC 9457).
struct Problem
{
    /// \returns the HTTP status of the answer. 503 promises that nothing ran: an upstream that was
    /// not reached is no bad gateway, and what may have run is never answered with such a promise.
    static int status(const Error &error);

    /// \param token from encodeRefusal(); left out where empty.
    /// \returns the JSON text with `type`, `title`, `status`, `detail`, `reason`, `verdict`,
    /// `retry_after_ms`, `rule`, `figures` and `refusal`.
    static std::string body(const Error &error, std::string_view requestId, std::string_view token);

    /// \returns the value of Retry-After: whole seconds, at least 1; empty where there is no hint.
    static std::string retryAfter(const Error &error);
};

} // namespace catkinloft
