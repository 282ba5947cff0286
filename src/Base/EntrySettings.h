#pragma once

#include "Base/Clock.h"
#include "Base/Mechanisms.h"
#include "Base/YamlSection.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief What the process of an entry VM learns from its settings file where configuration and
/// replicas are kept in the platform's store.
struct EntrySettings
{
    std::string name = {}; ///< Unique among the routers alive at one time.
    std::string failureDomain = {};
    std::string callerAddress = {}; ///< `ip:port` that callers connect to.
    std::string readinessAddress =
            {}; ///< `ip:port` at which the platform asks whether it is ready.
    std::string directoryAddress = {}; ///< `ip:port` at which callers ask for addresses.
    std::string peerAddress = {}; ///< `ip:port` for routers, TCP and UDP.
    std::string metricsAddress = {}; ///< `ip:port` of counters and histograms; empty: not served.
    std::string storeAddress = {}; ///< `ip:port` of the platform's store.

    double processorShare = 1; ///< Cores that this VM has; callers are shared out by it.

    /// Without a proof this young that no newer configuration exists, no key is honoured: one that
    /// was taken away may be used no longer than that.
    Duration maxKeyProofAge = std::chrono::seconds(5);
    bool requiresKeyProof = true;
    Duration configApplyTimeout = std::chrono::seconds(2); ///< Within it a change is in force.

    double fleetRetryShare = 0.2; ///< Repeats a request, over all routers.
    double fleetRetrySlack = 0; ///< Repeats in a window besides, over all routers.
    Duration fleetRetryWindow = std::chrono::seconds(10);

    Duration addressLifetime = std::chrono::seconds(2); ///< For which callers keep an address.
    Duration stopTimeout = std::chrono::seconds(8); ///< From SIGTERM until the process is killed.
    /// Within it a replica that says that it leaves must get no request any more.
    Duration replicaDrainTimeout = std::chrono::seconds(2);
    /// Requests that a cold replica may get in one second from all routers together: this many
    /// times what its service states, and the slack.
    double coldRateFactor = 1;
    double coldRateSlack = 0;
    std::map<std::string, std::string> regions = {}; ///< By failure domain.
    Duration replicaReregistrationTime = std::chrono::milliseconds(2200); ///< \sa ReplicaRegistry

    Mechanisms mechanisms = {};

    std::size_t maxHeaderBytes = 64 * 1024;
    std::size_t maxBodyBytes = 16 * 1024 * 1024;
    std::size_t maxStreamBuffer = 256 * 1024; ///< Bytes held for one slow caller.
    int maxConnections = 3000; ///< Of callers; the rest of the descriptors are for replicas.

    /// \returns the region of \a domain; empty where none is known.
    std::string regionOf(const std::string &domain) const;

    /// \brief Which settings a new file changes, by their names there.
    struct UpdateResult
    {
        std::vector<std::string> changed = {}; ///< In force now.
        std::vector<std::string> needsRestart = {}; ///< Not taken over.
    };

    /// \brief Takes over from \a next what can change while a process runs.
    UpdateResult updateFrom(const EntrySettings &next);

    /// \brief Parses and checks \a text, reporting every mistake.
    /// \returns nothing where there was any problem.
    static std::shared_ptr<const EntrySettings>
    parse(const std::string &text, const std::string &file, YamlProblems &problems);
};

} // namespace catkinloft
