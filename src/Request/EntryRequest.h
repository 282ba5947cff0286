#pragma once

#include "Base/RouteConfig.h"
#include "Decide/PromptIndex.h"
#include "Request/RouteTable.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace catkinloft {

/// \brief Metadata of a request, decoded from the headers that the caller sent.
struct CallFacts
{
    std::string id = {}; ///< Id of this attempt of the caller.
    std::string key = {}; ///< API key of a workspace; empty if there is none.
    std::optional<Duration> callerTimeout = {}; ///< Starts when the caller sends the request.
    std::optional<std::int64_t> lastEventId = {}; ///< The stream resumes after this event.
    /// Id of the attempt that delivered the first event of the resumed stream; empty if missing.
    std::string resumedId = {};
    std::vector<PromptPart> prompt = {}; ///< In order; only the last part is unique to the request.
    double promptTokens = 0;
    double maxOutputTokens = 0;
};

/// \brief A request on its way through the filters of an entry VM.
struct EntryRequest
{
    std::string method = {};
    std::string target = {}; ///< Path and query as received.
    std::string path = {};
    std::string host = {}; ///< Host header as received.
    std::vector<std::pair<std::string, std::string>> headers = {};
    CallFacts facts = {};
    TimePoint receivedAt = {};
    std::shared_ptr<const RouteTable> routes = {}; ///< Keeps route and workspace alive.
    const Route *route = nullptr;
    const WorkspaceConfig *workspace = nullptr; ///< May be null for a route that needs no key.

    /// \returns the earlier of the caller's and the route's timeout as a time.
    TimePoint deadline() const
    {
        const Duration routeTimeout = route->timeout;
        return receivedAt
                + (facts.callerTimeout ? std::min(*facts.callerTimeout, routeTimeout)
                                       : routeTimeout);
    }

    /// \returns the priority of the workspace, or that of the route; 0 is the most urgent.
    int priority() const
    {
        return workspace && workspace->priority ? *workspace->priority : route->priority;
    }

    /// \returns the parts of the prompt that other requests may share: all but the last one.
    std::span<const PromptPart> sharedParts() const
    {
        const std::span<const PromptPart> all = facts.prompt;
        return all.first(all.empty() ? 0 : all.size() - 1);
    }

    /// \returns sharedParts(), or a single part, if replicas cache the prompts of the route.
    std::span<const PromptPart> sharedPrompt() const
    {
        if (!route->usesPromptCache || facts.prompt.empty())
            return {};
        return std::span(facts.prompt).first(std::max<std::size_t>(1, facts.prompt.size() - 1));
    }
};

} // namespace catkinloft
