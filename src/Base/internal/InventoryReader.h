#pragma once

#include "Base/Inventory.h"

namespace catkinloft::internal {

/// \brief Fills \a out from \a root. Errors are added to the problems that \a root refers to.
void readInventory(YamlSection root, Inventory &out);

} // namespace catkinloft::internal
