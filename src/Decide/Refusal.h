#pragma once

#include "Base/Error.h"
#include "Base/Settings.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace catkinloft {

/// \brief Everything about one refusal, so that it can be explained after its router is gone.
struct Refusal
{
    Error error;
    std::uint64_t revision = 0; ///< Configuration revision that decided.
    std::string router;
    std::string workspace;
    std::string requestId;
    WallTime at;
};

/// \returns \a refusal as one URL-safe text, signed with the first of \a keys.
std::string encodeRefusal(const Refusal &refusal, std::span<const SharedKey> keys);

/// \returns the refusal in \a token; an error where none of \a keys signed it.
Result<Refusal> decodeRefusal(std::string_view token, std::span<const SharedKey> keys);

/// \returns \a refusal in plain words, several lines.
std::string explainRefusal(const Refusal &refusal);

} // namespace catkinloft
