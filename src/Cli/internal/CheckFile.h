#pragma once

#include "Base/YamlSection.h"

#include <string>

namespace catkinloft::internal {

/// \brief Checks the file at \a path: with a caller or peer address it is a router's settings, else
/// an inventory. Mistakes go to \a problems.
void checkFile(const std::string &path, YamlProblems &problems);

} // namespace catkinloft::internal
