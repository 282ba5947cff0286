#pragma once

#include "Base/Inventory.h"

#include <memory>
#include <string>

namespace catkinloft {

/// \brief Parses one revision of an inventory after the other, reading only the entries that
/// changed.
///
/// Load: 25,000 changes a day to an inventory of 10,000 engines and 3,600 workspaces, on the thread
/// that also relays tokens. Harm prevented: the whole YAML parser takes about half a second of
/// processor time for it, which would stall every stream and cost over a tenth of a core. Whatever
/// the quick way can't vouch for goes through Inventory::parse(), which also words the mistakes.
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

    /// \returns entries that the last parse() read anew; for tests and metrics.
    std::size_t entriesRead() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
