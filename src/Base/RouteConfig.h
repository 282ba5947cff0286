#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief How often a request may be executed, and what its answer looks like.
enum class CallKind : std::uint8_t {
    Idempotent,
    NonIdempotent,
    Streaming, ///< A series of server-sent events.
};

/// \brief A service that a route sends a share of its requests to.
struct RouteTarget
{
    std::string service = {};
    double weight = 1; ///< Relative to the other targets of the route.
};

/// \brief Requests to one host under one path prefix, and how they are served.
struct Route
{
    std::string name = {};
    std::string host = {}; ///< Lower case, without a port.
    std::string pathPrefix = {}; ///< Begins and ends with a slash.
    CallKind kind = CallKind::NonIdempotent;
    bool resumable = false; ///< A broken stream may go on at another replica.
    bool needsKey = true; ///< Callers have to show the API key of a workspace.
    bool usesPromptCache = false; ///< Prompts share parts that replicas keep in memory.
    int priority = 0; ///< 0 is the most urgent.
    int maxAttempts = 1; ///< Replicas that one request may be sent to.
    Duration timeout = std::chrono::seconds(30); ///< Longest wait for the end of the answer.
    Duration targetLatency = std::chrono::seconds(1); ///< An answer within it is on time.
    std::optional<Duration> maxEventGap = {}; ///< Longest pause of a stream that is on time.
    std::vector<RouteTarget> targets = {};
    std::vector<std::string> regions = {}; ///< Whose replicas may get them; empty: all.

    /// \returns whether executing a request twice does no harm.
    bool isIdempotent() const
    {
        return kind == CallKind::Idempotent || (kind == CallKind::Streaming && resumable);
    }
};

/// \brief What is the same for all replicas of a service.
struct ServiceConfig
{
    std::string name = {};
    int maxConnections = 0; ///< Accepted by one replica from all routers together; 0: not stated.
    bool isEngine = false; ///< Runs models; its replicas keep prompts in memory.
    double coldRequestsPerSecond = 0; ///< That a cold replica bears; 0: replicas are never cold.
};

/// \brief A workspace and the keys by which its callers are known.
struct WorkspaceConfig
{
    std::string name = {};
    std::vector<std::string> apiKeys = {};
    std::optional<int> priority = {}; ///< Goes before the priority of the route.
    std::vector<std::string> regions = {}; ///< \sa Route::regions; both bind.
};

/// \brief Routes, services and workspaces as one revision has them.
struct RouteConfig
{
    std::uint64_t revision = 0;
    std::vector<Route> routes = {};
    std::vector<ServiceConfig> services = {};
    std::vector<WorkspaceConfig> workspaces = {};
    Duration idleTimeout = std::chrono::seconds(60); ///< Of a caller's connection.
    std::string sourceText = {}; ///< As read, so that another router can decode the same.
};

using RouteConfigPtr = std::shared_ptr<const RouteConfig>;

} // namespace catkinloft
