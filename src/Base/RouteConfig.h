#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief Whether a request may be executed more than once, and the form of its answer.
enum class CallKind : std::uint8_t {
    Idempotent,
    NonIdempotent,
    Streaming, ///< The answer is a stream of server-sent events.
};

/// \brief A service that a route sends a share of its requests to.
struct RouteTarget
{
    std::string service = {};
    double weight = 1; ///< Relative to the other targets of the route.
};

/// \brief How requests to one host with one path prefix are served.
struct Route
{
    std::string name = {};
    std::string host = {}; ///< In lower case, without a port.
    std::string pathPrefix = {}; ///< Begins and ends with a slash.
    CallKind kind = CallKind::NonIdempotent;
    bool resumable = false; ///< An interrupted stream may be resumed at another replica.
    bool needsKey = true; ///< Callers must send the API key of a workspace.
    bool usesPromptCache = false; ///< Prompts have common parts that replicas cache.
    int priority = 0; ///< 0 is the most urgent.
    int maxAttempts = 1; ///< Replicas that one request may be sent to.
    Duration timeout = std::chrono::seconds(30); ///< Longest wait for the complete answer.
    Duration targetLatency = std::chrono::seconds(1); ///< An answer within it is on time.
    std::optional<Duration> maxEventGap = {}; ///< Longest pause of a stream that is on time.
    std::vector<RouteTarget> targets = {};
    std::vector<std::string> regions = {}; ///< Regions whose replicas may be used; empty: all.

    /// \returns whether it is safe to execute a request twice.
    bool isIdempotent() const
    {
        return kind == CallKind::Idempotent || (kind == CallKind::Streaming && resumable);
    }
};

/// \brief Properties that all replicas of a service have in common.
struct ServiceConfig
{
    std::string name = {};
    /// Connections that one replica accepts from all routers together; 0: not configured.
    int maxConnections = 0;
    bool isEngine = false; ///< Its replicas run models and cache prompts.
    std::string healthPath = {}; ///< Where a replica tells its id; empty: not configured.
    double coldRequestsPerSecond = 0; ///< Rate limit of a cold replica; 0: replicas are never cold.
};

/// \brief A workspace and the API keys that identify its callers.
struct WorkspaceConfig
{
    std::string name = {};
    std::vector<std::string> apiKeys = {};
    std::optional<int> priority = {}; ///< Overrides the priority of the route.
    /// Further restricts Route::regions: a replica's region must be in both; empty: all.
    std::vector<std::string> regions = {};
};

/// \brief One revision of the routes, services and workspaces.
struct RouteConfig
{
    std::uint64_t revision = 0;
    std::vector<Route> routes = {};
    std::vector<ServiceConfig> services = {};
    std::vector<WorkspaceConfig> workspaces = {};
    Duration idleTimeout = std::chrono::seconds(60); ///< Of a caller's connection.
    /// Time that callers take at most from the first byte of a head to its end.
    Duration headerTimeout = std::chrono::seconds(30);
    /// The text that was decoded. It is sent to other routers, which decode it in the same way.
    std::string sourceText = {};
};

using RouteConfigPtr = std::shared_ptr<const RouteConfig>;

} // namespace catkinloft
