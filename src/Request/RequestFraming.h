#pragma once

#include "Base/Error.h"

#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace catkinloft {

/// \brief Why two readers of a request may take it for two different ones.
enum class FramingFault {
    None,
    LengthAndChunked, ///< Both Content-Length and Transfer-Encoding.
    RepeatedLength,
    BadLength, ///< A Content-Length that is not a plain decimal number of at most 18 digits.
    UnknownCoding, ///< A transfer coding other than a single "chunked".
    UnreadBody, ///< A body with a method for which some receivers read none.
    BadTarget, ///< Not a path: absolute, empty, or with spaces or control characters.
    BadName, ///< A field whose name is no token, such as one with a space before the colon.
    BadValue, ///< A field with a control character in its value.
    RepeatedField, ///< Two fields of which only one is allowed: Host or Authorization.
};

/// \returns the name of \a fault in logs and metrics.
std::string_view framingFaultName(FramingFault fault);

/// \brief Checks whether the framing of a received request is unambiguous.
///
/// Handles requests of hostile callers. Prevents request smuggling: if this listener and another
/// server disagree on where a body ends, part of it runs as a request that nobody sent. An
/// ambiguous request is refused and its connection closed.
/// \param headers all headers as received; the case of their names does not matter.
FramingFault framingFault(std::string_view method, std::string_view target,
                          std::span<const std::pair<std::string, std::string>> headers);

/// \returns Reason::MalformedRequest if there is a fault. \sa framingFault()
Result<void> checkFraming(std::string_view method, std::string_view target,
                          std::span<const std::pair<std::string, std::string>> headers);

} // namespace catkinloft
