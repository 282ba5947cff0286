#pragma once

/// \file
/// \brief Module Control: the state that routers share, without sockets.

#include "Control/ConfigKeeper.h" // IWYU pragma: export
#include "Control/RouterDirectory.h" // IWYU pragma: export
