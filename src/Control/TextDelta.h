#pragma once

#include "Base/Error.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief One place where two texts differ, counted in lines.
struct TextHunk
{
    std::size_t at = 0; ///< First line of the old text that is replaced.
    std::size_t removed = 0; ///< Lines of the old text that go.
    std::string inserted; ///< Whole lines that come instead.
};

using TextDelta = std::vector<TextHunk>;

/// \returns what turns \a from into \a to, hunks in rising order.
///
/// Linear in the texts' length: an inventory of 10,000 engines is compared on an entry VM within
/// the processor time that control has. A text moved by more than a few dozen lines costs a longer
/// delta, never a wrong one.
/// \param separator ends a line; a JSON text without line feeds is compared by its objects.
TextDelta makeTextDelta(std::string_view from, std::string_view to, char separator = '\n');

/// \returns \a from with \a delta applied; an error where it was made for another text.
/// \param separator \sa makeTextDelta()
Result<std::string> applyTextDelta(std::string_view from, std::span<const TextHunk> delta,
                                   char separator = '\n');

/// \returns the differences for a person, `-` and `+` lines, at most \a maxLines of them.
std::string describeDelta(std::string_view from, std::string_view to, std::size_t maxLines);

} // namespace catkinloft
