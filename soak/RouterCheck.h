#pragma once

#include "SoakCheck.h"

namespace catkinloft::soak {

/// \brief Checks that routers end only when the run ends them, and that each request on a kept
/// connection to a router that runs on has an answer.
/// \param arrivals requests that arrived at replicas.
void checkRouters(const std::map<std::string, Attempt> &attempts,
                  const std::vector<Json::Value> &arrivals, const RunHistory &history,
                  const std::function<void(std::string)> &broken);

/// \brief Checks that routers log the end of each request that they send to a replica.
void checkRouterLogs(const RunHistory &history, const std::function<void(std::string)> &broken);

} // namespace catkinloft::soak
