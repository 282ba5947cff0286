#pragma once

#include "Base/Error.h"
#include "Decide/StreamOrigins.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief Question about the origin of a stream that a caller resumes.
struct StreamOriginQuestion
{
    std::string stream = {}; ///< \sa StreamOrigins::keyOf; empty: the caller did not name it.
    std::vector<std::string> services = {}; ///< Services of the route.
    Duration window = Duration::zero(); ///< Time in which the stream can have begun.
};

/// \brief Encodes and decodes what routers tell and ask each other about the origins of streams.
/// Decoding returns MalformedRequest for any other input.
class StreamOriginCodec
{
public:
    /// Number of origins that fit into one datagram.
    static constexpr std::size_t MaxOrigins = 20;

    /// \returns whether \a datagram is a result of encodeOrigins() and not a heartbeat.
    static bool isOrigins(std::string_view datagram);

    /// \returns \a origins as a datagram; names of software are contained once.
    static std::string encodeOrigins(std::span<const StreamOrigin> origins);
    static Result<std::vector<StreamOrigin>> decodeOrigins(std::string_view datagram);

    static std::string encodeQuestion(const StreamOriginQuestion &question);
    static Result<StreamOriginQuestion> decodeQuestion(std::string_view text);

    static std::string encodeReport(const StreamOriginReport &report);
    static Result<StreamOriginReport> decodeReport(std::string_view text);
};

} // namespace catkinloft
