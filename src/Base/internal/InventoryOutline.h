#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace catkinloft::internal {

/// \brief Where the entries of the two long lists of an inventory stand in its text, found by
/// indentation alone.
struct InventoryOutline
{
    std::vector<std::string_view> engines; ///< Text of each entry, in order.
    std::vector<std::string_view> workspaces;
    std::string_view places; ///< The whole block.
    std::vector<std::string_view> others; ///< All blocks but engines and workspaces.

    /// \returns nothing where \a text uses YAML that lines and indentation don't tell (anchors,
    /// block scalars, tags, documents, quotes over lines); such a text needs the whole parser.
    static std::optional<InventoryOutline> of(std::string_view text);
};

} // namespace catkinloft::internal
