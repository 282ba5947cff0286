#pragma once

#include "Base/Inventory.h"

#include <memory>
#include <string>

namespace catkinloft {

/// \brief Parses successive revisions of an inventory incrementally: only changed entries are
/// parsed.
///
/// Handles 25,000 changes a day to an inventory of 10,000 engines and 3,600 workspaces, on the
/// thread that also relays tokens. A full YAML parse of that inventory takes about half a second of
/// processor time, which would stall every stream and use more than a tenth of a core. Text that
/// the incremental parser cannot be sure about is passed to Inventory::parse(), which also creates
/// the error messages.
class InventoryParser
{
public:
    InventoryParser();
    ~InventoryParser();
    InventoryParser(const InventoryParser &) = delete;
    InventoryParser &operator=(const InventoryParser &) = delete;

    /// \sa Inventory::parse()
    InventoryPtr parse(const std::string &text, const std::string &file, std::uint64_t revision,
                       YamlProblems &problems);

    /// \returns the number of entries that the last parse() had to parse; for tests and metrics.
    std::size_t entriesRead() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
