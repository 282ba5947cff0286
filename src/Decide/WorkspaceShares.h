#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace catkinloft {

/// \brief Determines which requests exceed the usual share of their workspace.
///
/// Handles one workspace that sends many times its usual while a service is overloaded. Without
/// shares it would displace the requests of all others. The usual rate of a workspace is a slow
/// moving average of its rate at this router, which sees a random part of all requests; it is not
/// updated while the service is overloaded, so that a surge does not become the usual rate.
class WorkspaceShares
{
public:
    struct Options
    {
        const Clock &clock;
        std::size_t maxWorkspaces = 4096; ///< Limits memory; the least recent ones are dropped.
    };

    explicit WorkspaceShares(Options options);

    /// \brief Counts a request of \a workspace; an empty name stands for callers without one.
    /// \param overloaded whether the service is overloaded at present.
    /// \returns whether the request exceeds the workspace's share. Requests within the share stay
    /// within it however many others exceed it.
    bool count(std::string_view workspace, bool overloaded);

    /// \returns the number of workspaces that recently exceeded their share.
    std::size_t overShare() const;

    /// \returns the number of workspaces that are known.
    std::size_t size() const;
};

} // namespace catkinloft
