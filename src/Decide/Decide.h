#pragma once

/// \file
/// \brief Module Decide: what is decided under load, without sockets, threads or time of its own.

#include "Decide/Dispatcher.h" // IWYU pragma: export
#include "Decide/Job.h" // IWYU pragma: export
#include "Decide/Refusal.h" // IWYU pragma: export
#include "Decide/Rendezvous.h" // IWYU pragma: export
#include "Decide/RouterView.h" // IWYU pragma: export
