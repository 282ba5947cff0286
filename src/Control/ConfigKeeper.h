#pragma once

#include "Base/Error.h"
#include "Base/Inventory.h"
#include "Base/ObjectStore.h"
#include "Base/TableService.h"

#include <sigc++/signal.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace catkinloft {

/// \brief A change of the configuration that an operator proposes.
struct ConfigChange
{
    std::string text; ///< The whole new inventory, YAML.
    std::uint64_t base = 0; ///< Revision that it was made against.
    std::string changeId; ///< The operator's; a repeated one gets the first result.
    std::string author;
};

/// \brief Keeps the configuration in force: a chain of revisions whose head is one row in the
/// table service, moved by compare-and-set. Applies only higher revisions.
class ConfigKeeper
{
public:
    struct Options
    {
        TableService &table;
        ObjectStore &objects;
    };

    explicit ConfigKeeper(Options options);

    /// \returns the inventory in force; nullptr before the first one.
    InventoryPtr current() const { return m_current; }

    /// \returns the YAML text that current() was parsed from.
    const std::string &text() const { return m_text; }

    /// \brief Reads the head and takes over a higher revision.
    void refresh();

    /// \brief Checks and commits \a change; \a done gets the new revision.
    void propose(ConfigChange change, std::function<void(Result<std::uint64_t>)> done);

    /// \brief Emitted after a higher revision took effect here.
    sigc::signal<void(InventoryPtr)> &changed() { return m_changed; }

private:
    void fetchBody(std::uint64_t revision, const std::string &object);
    void commitHead(const ConfigChange &change, const std::string &object,
                    std::function<void(Result<std::uint64_t>)> done);
    void apply(std::uint64_t revision, const std::string &text);

    Options m_options;
    InventoryPtr m_current;
    std::string m_text;
    std::uint64_t m_headVersion = 0; ///< Table version of the head row, as last read.
    std::uint64_t m_headRevision = 0;
    sigc::signal<void(InventoryPtr)> m_changed;
};

} // namespace catkinloft
