#pragma once

#include "Base/ReplicaRecord.h"
#include "Net/Timer.h"
#include "Net/internal/ConnectProbe.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace catkinloft {

class HttpClient;
class ServicePools;

/// \brief Checks the paths to replicas that the PathMonitor of their service requests, by opening
/// connections on which nothing is sent.
class PathProber
{
public:
    struct Options
    {
        EventLoop &loop;
        HttpClient &client; ///< Its idle connections to unreachable replicas are closed.
        ServicePools &pools;
        std::string sourceIp = {}; ///< IP that connections are opened from; empty: any.
    };

    explicit PathProber(Options options);

    /// \brief Starts the checks that are due soon.
    void wake();

    /// \brief Opens a new connection to \a replica at once.
    /// \param done is called once, not from within this function, with whether it stayed open.
    void connect(const ReplicaRecord &replica, std::function<void(bool stayedOpen)> done);

private:
    void check();
    void probe(const std::string &id);
    void found(const std::string &id, internal::ConnectProbe::Outcome outcome);

    Options m_options;
    Timer m_timer;
    std::map<std::string, std::shared_ptr<internal::ConnectProbe>> m_probes; ///< By incarnation.
    std::set<std::shared_ptr<internal::ConnectProbe>> m_connects; ///< Those of connect().
};

} // namespace catkinloft
