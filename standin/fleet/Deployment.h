#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace catkinloft::standin {

/// \brief Names and sizes of one user's deployment.
struct Deployment
{
    std::string name;
    std::vector<std::string> failureDomains;
    std::string region;
    std::string model;
    int engines = 0;
    std::string service; ///< Plain service whose POST calls are not idempotent.
    int replicas = 0;
    int workspaces = 0;
    int largeWorkspaces = 0; ///< The first of the workspaces; they send most of the load.
    int routers = 6;
};

/// \returns the deployment `sofiyska` or `fraserlight`. Throws std::runtime_error for other names.
Deployment deploymentNamed(std::string_view name);

} // namespace catkinloft::standin
