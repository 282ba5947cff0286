#pragma once

#include "Base/Inventory.h"

namespace catkinloft::internal {

/// \brief Fills \a out from \a root; mistakes go to the problems that \a root was made with.
void readInventory(YamlSection root, Inventory &out);

} // namespace catkinloft::internal
