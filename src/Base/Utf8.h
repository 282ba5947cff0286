#pragma once

#include <cstddef>
#include <string_view>

namespace catkinloft {

/// \returns the length in bytes of the UTF-8 sequence at the start of \a text, or 0 if there is no
/// valid one (it is truncated, overlong, a surrogate or beyond U+10FFFF).
std::size_t utf8SequenceLength(std::string_view text);

/// \returns whether \a text is valid UTF-8.
bool isUtf8(std::string_view text);

} // namespace catkinloft
