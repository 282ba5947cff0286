#pragma once

#include "Base/Clock.h"
#include "Decide/RouterView.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief Status of a router and its view of the other routers.
struct StatusReport
{
    struct Upstream
    {
        std::string name;
        std::string pool; ///< Model or service.
        double work = 0; ///< Tokens (engines) or calls (replicas) in progress, as known locally.
        double bound = 0; ///< Most work that the load bound allows at present.
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
        std::uint64_t revision = 0; ///< Last revision that the router reported.
    };
    struct Count
    {
        std::string reason;
        std::uint64_t n = 0;
    };

    std::string router;
    std::uint64_t revision = 0;
    /// Time since the table service last confirmed the revision; empty: not confirmed yet.
    std::optional<Duration> storeAge = {};
    std::size_t inProgress = 0;
    std::vector<Router> routers = {};
    std::vector<Upstream> upstreams = {};
    std::vector<WorkspaceLoad> workspaces = {};
    std::vector<Count> refusals = {};
};

/// \returns \a report as a JSON object on one line, for `catkinloft status`.
std::string printStatusJson(const StatusReport &report);

/// \returns \a report as an HTML page without scripts that reloads itself every 5 seconds.
///
/// The tables have captions and header cells, so that a keyboard and a screen reader suffice.
std::string printStatusPage(const StatusReport &report);

} // namespace catkinloft
