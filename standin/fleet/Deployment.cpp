#include "fleet/Deployment.h"

#include <stdexcept>

namespace catkinloft::standin {

Deployment deploymentNamed(std::string_view name)
{
    if (name == "sofiyska")
        return {.name = "sofiyska",
                .failureDomains = {"sofia-1", "sofia-2", "sofia-3", "sofia-4"},
                .region = "sofia",
                .model = "planning",
                .engines = 9,
                .service = "dispatch",
                .replicas = 4,
                .workspaces = 10,
                .largeWorkspaces = 3,
                .routers = 6};
    if (name == "fraserlight")
        return {.name = "fraserlight",
                .failureDomains = {"coast-1", "coast-2", "coast-3"},
                .region = "bc-coast",
                .model = "archivist",
                .engines = 9,
                .service = "booking",
                .replicas = 3,
                .workspaces = 10,
                .largeWorkspaces = 2,
                .routers = 6};
    throw std::runtime_error("unknown deployment, expected sofiyska or fraserlight");
}

} // namespace catkinloft::standin
