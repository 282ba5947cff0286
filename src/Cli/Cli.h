#pragma once

/// \file
/// \brief Module Cli: the command line of the one program.

#include "Cli/Command.h" // IWYU pragma: export
