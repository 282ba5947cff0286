#pragma once

#include "Net/Timer.h"
#include "Net/internal/ConnectProbe.h"

#include <functional>
#include <map>
#include <memory>
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

private:
    void check();
    void probe(const std::string &id);
    void found(const std::string &id, internal::ConnectProbe::Outcome outcome);

    Options m_options;
    Timer m_timer;
    std::map<std::string, std::shared_ptr<internal::ConnectProbe>> m_probes; ///< By incarnation.
};

} // namespace catkinloft
