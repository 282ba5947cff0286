#pragma once

/// \file
/// \brief Module Cli: the command line of the program `catkinloft`.

#include "Cli/Command.h" // IWYU pragma: export
