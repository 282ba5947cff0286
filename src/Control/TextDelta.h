#pragma once

#include "Base/Error.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief One difference between two texts, in lines.
struct TextHunk
{
    std::size_t at = 0; ///< First line of the old text that is replaced.
    std::size_t removed = 0; ///< Number of lines removed from the old text.
    std::string inserted; ///< Whole lines inserted in their place.
};

using TextDelta = std::vector<TextHunk>;

/// \returns the delta that turns \a from into \a to, hunks in ascending order.
///
/// The time is linear in the length of the texts, so that the inventory of 10,000 engines is
/// compared on an entry VM within the CPU time for control tasks. If lines moved by more than a few
/// dozen lines, the delta is longer but still correct. \param separator ends a line; a JSON text
/// without line feeds is compared by its objects.
TextDelta makeTextDelta(std::string_view from, std::string_view to, char separator = '\n');

/// \returns \a from with \a delta applied; an error if the delta does not fit \a from.
/// \param separator \sa makeTextDelta()
Result<std::string> applyTextDelta(std::string_view from, std::span<const TextHunk> delta,
                                   char separator = '\n');

/// \returns the differences in readable form: `-` and `+` lines, at most \a maxLines of them.
std::string describeDelta(std::string_view from, std::string_view to, std::size_t maxLines);

} // namespace catkinloft
