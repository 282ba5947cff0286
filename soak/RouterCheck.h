#pragma once

#include "SoakCheck.h"

namespace catkinloft::soak {

/// \brief Checks that routers end only when the run ends them.
void checkRouters(const RunHistory &history, const std::function<void(std::string)> &broken);

/// \brief Checks that routers log the end of each request that they send to a replica.
void checkRouterLogs(const RunHistory &history, const std::function<void(std::string)> &broken);

} // namespace catkinloft::soak
