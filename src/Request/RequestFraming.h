#pragma once

#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace catkinloft {

/// \brief Why it is not certain where a request ends.
enum class FramingFault {
    None,
    LengthAndChunked, ///< Both a length and a transfer coding.
    RepeatedLength,
    BadLength, ///< Not a plain decimal number.
    UnknownCoding, ///< A transfer coding other than a single "chunked".
    UnreadBody, ///< A body on a method whose body the listener does not read.
    BadTarget, ///< Not a path: absolute, empty or with characters that end a request line.
};

/// \returns the name of \a fault in logs and metrics.
std::string_view framingFaultName(FramingFault fault);

/// \brief Decides whether a received request has exactly one reading.
///
/// Load: hostile callers. Harm prevented: bytes that this listener takes for the next request, or
/// for a body, while another reader takes them for something else, run as a request that nobody
/// sent. Whatever could be read in two ways is refused and its connection closed.
/// \param headers all headers as received, in any case.
FramingFault framingFault(std::string_view method, std::string_view target,
                          std::span<const std::pair<std::string, std::string>> headers);

} // namespace catkinloft
