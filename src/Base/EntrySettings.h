#pragma once

#include "Base/Clock.h"
#include "Base/Mechanisms.h"
#include "Base/YamlSection.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief Settings file of a router on an entry VM whose configuration and replicas are in the
/// platform's store.
struct EntrySettings
{
    std::string name = {}; ///< Unique among the running routers.
    std::string failureDomain = {};
    std::string callerAddress = {}; ///< `ip:port` that callers connect to.
    std::string readinessAddress = {}; ///< `ip:port` of the platform's readiness checks.
    std::string directoryAddress = {}; ///< `ip:port` at which callers look up router addresses.
    std::string peerAddress = {}; ///< `ip:port` for other routers, TCP and UDP.
    std::string metricsAddress = {}; ///< `ip:port` of the metrics; empty: they are not served.
    std::string storeAddress = {}; ///< `ip:port` of the platform's store.
    /// IP from which connections to replicas, routers and the store are opened; empty: the system
    /// chooses it.
    std::string sourceIp = {};

    double processorShare = 1; ///< Cores of this VM. Callers are distributed in proportion to it.

    /// Longest age of the proof that the active configuration is the newest. With an older proof
    /// no API key is accepted, so a revoked key cannot be used for longer than this.
    Duration maxKeyProofAge = std::chrono::seconds(5);
    bool requiresKeyProof = true;
    Duration configApplyTimeout = std::chrono::seconds(2); ///< Longest time to apply a change.

    double fleetRetryShare = 0.2; ///< Retries allowed per request, over all routers.
    double fleetRetrySlack = 0; ///< Additional retries per window, over all routers.
    Duration fleetRetryWindow = std::chrono::seconds(10);

    Duration addressLifetime = std::chrono::seconds(2); ///< How long callers cache an address.
    Duration stopTimeout = std::chrono::seconds(8); ///< From SIGTERM until the process is killed.
    /// Longest time for which a replica may still get requests after it reported that it leaves.
    Duration replicaDrainTimeout = std::chrono::seconds(2);
    /// Rate limit of a cold replica in requests per second, over all routers: this factor times the
    /// rate that its service states, plus the slack.
    double coldRateFactor = 1;
    double coldRateSlack = 0;
    std::map<std::string, std::string> regions = {}; ///< By failure domain.
    /// Transactions per second that the store accepts for the rows of all routers; 0: unknown, and
    /// origins of streams are not stored.
    double storeWritesPerSecond = 0;
    /// Time that replicas have to register again after a store outage. \sa ReplicaRegistry
    Duration replicaReregistrationTime = std::chrono::milliseconds(2200);

    Mechanisms mechanisms = {};

    std::size_t maxHeaderBytes = 64 * 1024;
    std::size_t maxBodyBytes = 16 * 1024 * 1024;
    std::size_t maxStreamBuffer = 256 * 1024; ///< Bytes buffered for one slow caller.
    /// Connections of callers. The remaining file descriptors are for connections to replicas.
    int maxConnections = 3000;
    /// Bytes of memory for requests that callers send and answers that they don't read, over all
    /// listeners; 0: derived from the memory of the VM. \sa requestMemory()
    std::size_t maxRequestMemory = 0;
    std::size_t vmMemory = 0; ///< Bytes that this process may take; 0: unknown.
    int vmDescriptors = 0; ///< File descriptors that this process may open; 0: unknown.

    std::size_t requestMemory() const;

    /// \param systemDescriptors limit of this process, which counts if vmDescriptors is unknown.
    /// \returns maxConnections, or less if the descriptors don't suffice for it and the rest.
    int callerConnections(double systemDescriptors) const;

    /// \returns the region of \a domain, or an empty string if it is not configured.
    std::string regionOf(const std::string &domain) const;

    /// \brief Names of the settings that differ in a new settings file.
    struct UpdateResult
    {
        std::vector<std::string> changed = {}; ///< Active now.
        std::vector<std::string> needsRestart = {}; ///< Not applied.
    };

    /// \brief Applies those settings of \a next that may change while the process runs.
    UpdateResult updateFrom(const EntrySettings &next);

    /// \brief Parses and validates \a text and adds every error to \a problems.
    /// \returns null if there was an error.
    static std::shared_ptr<const EntrySettings>
    parse(const std::string &text, const std::string &file, YamlProblems &problems);
};

} // namespace catkinloft
