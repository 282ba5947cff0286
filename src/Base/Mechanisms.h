#pragma once

namespace catkinloft {

/// \brief Switches that disable individual mechanisms, to measure the effect of each on a load. All
/// are enabled by default.
struct Mechanisms
{
    /// Sends a prompt to an engine that caches it, not to the one with the fewest requests.
    bool promptPlacement = true;
    bool promptCopies = true; ///< Copies a cached prompt when its requests move to another engine.
    bool promptAnnouncements = true; ///< Announces to other routers which engine got a prompt.
    bool promptDiscovery = true; ///< Asks engines after the start which prompts they cache.
    bool prefillTimeouts = true; ///< Extends the timeout of an engine that reads a long prompt.
    /// Sends nothing to replicas that several other routers ejected.
    bool announcedEjections = true;
    bool loadShedding = true; ///< Refuses a share of the calls of an overloaded service at once.
    /// Tells other routers which software began a stream.
    bool streamOriginAnnouncements = true;
    bool requestQuarantine = true; ///< Holds back requests that crash replicas.
    /// Places requests by the time they are expected to take: speed, load and slots of replicas.
    bool expectedTimePlacement = true;
    /// Limits the prompts in progress at an overloaded model service, the most urgent first.
    bool promptAdmission = true;
    /// Treats what a workspace sends beyond its usual share as the least urgent.
    bool workspaceShares = true;
    /// Admits first attempts to an overloaded service before repeated ones of the same priority.
    bool firstAttemptsFirst = true;
    bool requestPriorities = true; ///< States the priority of a request to engines.
    /// Retries only the most urgent prompts at an overloaded service.
    bool urgentRetries = true;
    /// Limits the rejections by replicas that announce that rejections may crash them.
    bool brittleServices = true;

    bool operator==(const Mechanisms &) const = default;
};

} // namespace catkinloft
