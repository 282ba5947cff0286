#pragma once

/// \file
/// \brief Module Control: the state that routers share. It uses no sockets.

#include "Control/ConfigManager.h" // IWYU pragma: export
#include "Control/EngineClient.h" // IWYU pragma: export
#include "Control/EngineDigest.h" // IWYU pragma: export
#include "Control/EngineOwners.h" // IWYU pragma: export
#include "Control/EnginePoller.h" // IWYU pragma: export
#include "Control/EngineTracker.h" // IWYU pragma: export
#include "Control/KvCacheMigrator.h" // IWYU pragma: export
#include "Control/LeaseManager.h" // IWYU pragma: export
#include "Control/OrderController.h" // IWYU pragma: export
#include "Control/OrderPlan.h" // IWYU pragma: export
#include "Control/RouterDirectory.h" // IWYU pragma: export
#include "Control/WeightBudget.h" // IWYU pragma: export
