#pragma once

#include "Base/YamlSection.h"

#include <string>

namespace catkinloft::internal {

/// \brief Validates the file at \a path as a router's settings if it has a caller or peer address,
/// otherwise as an inventory. Errors are added to \a problems.
void checkFile(const std::string &path, YamlProblems &problems);

} // namespace catkinloft::internal
