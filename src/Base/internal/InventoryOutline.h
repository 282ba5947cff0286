#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace catkinloft::internal {

/// \brief Positions of the entries of an inventory's two long lists in its text, found from the
/// indentation only.
struct InventoryOutline
{
    std::vector<std::string_view> engines; ///< Text of each entry, in order.
    std::vector<std::string_view> workspaces;
    std::string_view places; ///< The whole block.
    std::vector<std::string_view> others; ///< All blocks except engines and workspaces.

    /// \returns nothing if \a text uses YAML that cannot be split by lines and indentation:
    /// anchors, block scalars, tags, multiple documents, or quoted text over several lines. Such a
    /// text needs the full parser.
    static std::optional<InventoryOutline> of(std::string_view text);
};

} // namespace catkinloft::internal
