#pragma once

#include "Base/Error.h"
#include "Base/Settings.h"

#include <span>
#include <string>
#include <string_view>

namespace catkinloft {

/// \brief Identifies the engine that generates a stream, so that any router can resume it.
///
/// The token is signed and sent to the caller with the answer, so that routers don't have to
/// replicate a list of streams: 890 nodes with 100 streams each would have to propagate 86,000
/// entries per second.
struct ResumeToken
{
    std::string workspace; ///< Only a request with its API key may resume the stream.
    std::string requestId; ///< The caller's id of the request.
    std::string upstreamId; ///< The engine's id of the request.
    std::string engine;

    std::string encode(std::span<const SharedKey> keys) const;

    /// \returns the token, or MalformedRequest if \a text is signed with none of \a keys.
    static Result<ResumeToken> decode(std::string_view text, std::span<const SharedKey> keys);
};

} // namespace catkinloft
