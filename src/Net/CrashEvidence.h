#pragma once

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Base/ReplicaRecord.h"
#include "Net/CrashWatch.h"
#include "Net/RelayClient.h"

#include <functional>
#include <string>
#include <vector>

namespace catkinloft {

class ServicePools;

/// \brief Decides whether a replica to which connections are refused has crashed, or whether the
/// network path to it was lost.
///
/// Handles routers that lose their paths to all replicas at the same moment, when a network device
/// resets their new connections. Each replica looks crashed to each of them then, and requests
/// that are in progress must not be blamed for it.
///
/// A refused connection therefore only counts together with connections to other replicas, the
/// controls, that are opened at the same moment and stay open. This holds for the router that
/// reports a crash, and for each router that confirms it.
class CrashEvidence
{
public:
    struct Options
    {
        const Clock &clock;
        ServicePools &pools;
        RandomSource random;
        /// Opens a connection to a replica and calls \a done with whether it stayed open.
        std::function<void(const ReplicaRecord &, std::function<void(bool stayedOpen)> done)>
                connect;
        /// Whether other routers can be asked about replicas of a service.
        std::function<bool(const std::string &service)> hasRouters;
        /// Asks other routers about replica \a id. \sa RelayClient::checkPath()
        std::function<void(const std::string &service, const std::string &id,
                           std::function<void(RelayClient::PathState)> done)>
                askRouters;
    };

    /// Replicas that are connected to as controls. With three of them, one that crashes at the
    /// same moment doesn't hide the crash of the other.
    static constexpr std::size_t MaxControls = 3;

    explicit CrashEvidence(Options options) : m_options(std::move(options)) { }

    /// \brief Checks whether the paths of this router work, so that a connection to replica \a id
    /// that is refused at this moment is evidence of its crash.
    ///
    /// They work if at least half of the controls stay open. They don't if the paths to most of the
    /// other replicas of the service are known to be lost. Replicas of other services are the
    /// controls if its own service has no other one; the only replica has none, and its refusal
    /// counts.
    ///
    /// \param done is called once, possibly from within this function.
    void checkPaths(const std::string &id, std::function<void(bool working)> done);

    /// \brief Checks whether replica \a id, which refuses connections of this router, has crashed.
    ///
    /// It has if the paths of this router work, and if the asked routers include one whose paths
    /// work and which is refused too, and none that reaches it or knows of an earlier crash.
    /// Otherwise the path to it counts as lost. An earlier crash doesn't matter if the replica
    /// has accepted a connection of this router since.
    ///
    /// \param done is called once, possibly from within this function.
    /// \param unreached is called once, not before \a done, if nobody can tell whether the replica
    /// has crashed or all routers have lost their paths to it.
    void confirm(const std::string &id, std::function<void(CrashWatch::Finding)> done,
                 std::function<void()> unreached = {});

private:
    struct PathFinding;
    struct PathCheck;
    struct Confirmation;

    void tryControls(const std::string &id, std::function<void(const PathFinding &)> done);
    std::vector<std::string> controls(const std::string &id, const std::string &service);
    void decide(Confirmation &it);
    void notConfirmed(const Confirmation &it);

    Options m_options;
};

} // namespace catkinloft
