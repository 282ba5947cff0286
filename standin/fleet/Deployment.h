#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace catkinloft::standin {

/// \brief What one of the brief's users runs, by size.
struct Deployment
{
    std::string name;
    std::vector<std::string> failureDomains;
    std::string region;
    std::string model;
    int engines = 0;
    std::string service; ///< Plain service whose POST calls may not be repeated.
    int replicas = 0;
    int workspaces = 0;
    int largeWorkspaces = 0; ///< The first ones; they send most of the load.
    int routers = 6;
};

/// \returns the deployment `sofiyska` or `fraserlight`; throws std::runtime_error for another.
Deployment deploymentNamed(std::string_view name);

} // namespace catkinloft::standin
