#pragma once

#include <cstddef>
#include <string_view>

namespace catkinloft {

/// \returns the length in bytes of the UTF-8 sequence that \a text starts with; 0 where it starts
/// with none (truncated, overlong, surrogate or beyond U+10FFFF).
std::size_t utf8SequenceLength(std::string_view text);

/// \returns whether all of \a text is UTF-8.
bool isUtf8(std::string_view text);

} // namespace catkinloft
