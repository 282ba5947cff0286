#pragma once

#include "Base/Error.h"
#include "Decide/Refusal.h"

#include <string>
#include <string_view>

namespace catkinloft {

/// Status of an answer to a request that reached another replica than the one it names.
inline constexpr int MisdirectedStatus = 421;

/// \brief Formats the body of an error answer as application/problem+json (RFC 9457).
struct Problem
{
    /// \returns the HTTP status of the answer. 503 and 429 promise that nothing ran. So an upstream
    /// that was not reached gives 503 instead of 502 or 504, and a request that may have run gives
    /// 502 instead of 503 or 429.
    static int status(const Error &error);

    /// \returns whether an answer with \a status promises that the request did not run. Such an
    /// answer of a replica is forwarded only if the replica states that explicitly.
    static bool promisesNotRun(int status);

    /// \param token result of encodeRefusal(); `refusal` is omitted if it is empty.
    /// \returns the JSON text with `type`, `title`, `status`, `detail`, `reason`, `verdict`,
    /// `retry_after_ms`, `rule`, `figures` and `refusal`.
    static std::string body(const Error &error, std::string_view requestId, std::string_view token);

    /// \returns the value of Retry-After: whole seconds, at least 1, or an empty text if \a error
    /// has no such value.
    static std::string retryAfter(const Error &error);

    /// \returns the value of Retry-After with fractions of a second, which callers of the platform
    /// accept: a whole second would be a third of the time of a call.
    static std::string retryAfterFraction(Duration d);
};

} // namespace catkinloft
