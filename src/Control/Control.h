#pragma once

/// \file
/// \brief Module Control: the state that routers share. It uses no sockets.

#include "Control/ConfigKeeper.h" // IWYU pragma: export
#include "Control/EngineDigest.h" // IWYU pragma: export
#include "Control/EngineKnowledge.h" // IWYU pragma: export
#include "Control/EngineKvMover.h" // IWYU pragma: export
#include "Control/EngineOwners.h" // IWYU pragma: export
#include "Control/EnginePoller.h" // IWYU pragma: export
#include "Control/EnginePort.h" // IWYU pragma: export
#include "Control/LeaseKeeper.h" // IWYU pragma: export
#include "Control/OrderController.h" // IWYU pragma: export
#include "Control/OrderPlan.h" // IWYU pragma: export
#include "Control/RouterDirectory.h" // IWYU pragma: export
#include "Control/WeightBudget.h" // IWYU pragma: export
