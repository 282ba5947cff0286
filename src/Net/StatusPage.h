#pragma once

#include "Base/Clock.h"
#include "Decide/RouterView.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief What a router shows of itself and of what it knows of the others.
struct StatusReport
{
    struct Upstream
    {
        std::string name;
        std::string pool; ///< Model or service.
        double work = 0; ///< Tokens (engines) or calls (replicas) in progress, as known here.
        double bound = 0; ///< Most work that the load bound allows now.
        bool leaving = false;
        bool ejected = false;
    };
    struct WorkspaceLoad
    {
        std::string name;
        int inProgress = 0;
        bool isProtected = false;
    };
    struct Router
    {
        RouterView view;
        std::uint64_t revision = 0; ///< Last heard of it.
    };
    struct Count
    {
        std::string reason;
        std::uint64_t n = 0;
    };

    std::string router;
    std::uint64_t revision = 0;
    /// Since the table service last confirmed the revision; nothing: not yet.
    std::optional<Duration> storeAge = {};
    std::size_t inProgress = 0;
    std::vector<Router> routers = {};
    std::vector<Upstream> upstreams = {};
    std::vector<WorkspaceLoad> workspaces = {};
    std::vector<Count> refusals = {};
};

/// \returns \a report as a JSON object on one line, for `catkinloft status`.
std::string printStatusJson(const StatusReport &report);

/// \returns \a report as a page of HTML without scripts: tables with captions and header cells, so
/// that a keyboard and a screen reader suffice. Reloads itself every few seconds.
std::string printStatusPage(const StatusReport &report);

} // namespace catkinloft
