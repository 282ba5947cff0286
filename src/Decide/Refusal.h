#pragma once

#include "Base/Error.h"
#include "Base/Settings.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace catkinloft {

/// \brief The complete description of one refused request. It can be explained without the router
/// that refused the request.
struct Refusal
{
    Error error;
    std::uint64_t revision = 0; ///< Active configuration revision when the request was refused.
    std::string router;
    std::string workspace;
    std::string requestId;
    WallTime at;
};

/// \returns \a refusal as a URL-safe token that is signed with the first of \a keys; empty if there
/// are no keys.
std::string encodeRefusal(const Refusal &refusal, std::span<const SharedKey> keys);

/// \returns the refusal in \a token; an error if it was not signed with one of \a keys.
Result<Refusal> decodeRefusal(std::string_view token, std::span<const SharedKey> keys);

/// \returns a readable description of \a refusal in several lines.
std::string explainRefusal(const Refusal &refusal);

} // namespace catkinloft
