#pragma once

#include "Base/Error.h"
#include "Base/Settings.h"

#include <span>
#include <string>
#include <string_view>

namespace catkinloft {

/// \brief Where a stream is generated, so that any router can continue it for its caller.
///
/// Travels with the answer, signed, so that routers need not share a list of streams: 890 nodes
/// with some 100 streams each would otherwise have to spread 86,000 entries a second.
struct ResumeToken
{
    std::string workspace; ///< Only its key resumes the stream.
    std::string requestId; ///< The caller's.
    std::string upstreamId; ///< What the engine knows it by.
    std::string engine;

    std::string encode(std::span<const SharedKey> keys) const;

    /// \returns MalformedRequest where none of \a keys signed \a text.
    static Result<ResumeToken> decode(std::string_view text, std::span<const SharedKey> keys);
};

} // namespace catkinloft
