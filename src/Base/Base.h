#pragma once

/// \file
/// \brief Module Base: time, errors, verdicts, logging, metrics, hashes, settings and inventory.

#include "Base/Clock.h" // IWYU pragma: export
#include "Base/Error.h" // IWYU pragma: export
#include "Base/Hash.h" // IWYU pragma: export
#include "Base/Inventory.h" // IWYU pragma: export
#include "Base/InventoryParser.h" // IWYU pragma: export
#include "Base/Log.h" // IWYU pragma: export
#include "Base/ManualClock.h" // IWYU pragma: export
#include "Base/Metrics.h" // IWYU pragma: export
#include "Base/ObjectStore.h" // IWYU pragma: export
#include "Base/Random.h" // IWYU pragma: export
#include "Base/Reason.h" // IWYU pragma: export
#include "Base/Settings.h" // IWYU pragma: export
#include "Base/TableService.h" // IWYU pragma: export
#include "Base/Utf8.h" // IWYU pragma: export
#include "Base/Verdict.h" // IWYU pragma: export
#include "Base/VmList.h" // IWYU pragma: export
#include "Base/YamlSection.h" // IWYU pragma: export
