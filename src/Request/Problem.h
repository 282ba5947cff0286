#pragma once

#include "Base/Error.h"
#include "Decide/Refusal.h"

#include <string>
#include <string_view>

namespace catkinloft {

/// \brief The body of an error answer, as application/problem+json (RFC 9457).
struct Problem
{
    /// \param token from encodeRefusal(); left out where empty.
    /// \returns the JSON text with `type`, `title`, `status`, `detail`, `reason`, `verdict`,
    /// `retry_after_ms`, `rule`, `figures` and `refusal`.
    static std::string body(const Error &error, std::string_view requestId, std::string_view token);

    /// \returns the value of Retry-After: whole seconds, at least 1; empty where there is no hint.
    static std::string retryAfter(const Error &error);
};

} // namespace catkinloft
