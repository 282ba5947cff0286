#pragma once

#include "Base/Error.h"
#include "Base/ReplicaRecord.h"
#include "Net/HttpExchange.h"
#include "Net/Timer.h"
#include "Net/internal/ConnectProbe.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace catkinloft {

class HttpClient;
class ServicePools;
struct HttpCall;
struct HttpHead;

/// \brief Checks the paths to replicas that the PathMonitor of their service requests, by opening
/// connections on which nothing is sent.
///
/// While most replicas of a service are silent, a connection that is accepted proves little. They
/// get a request that each replica rejects at once, whatever its load. If it stays unanswered and
/// another router receives bytes from the replica, the path is lost. If no other router does, the
/// replica has stalled, and its requests wait for it.
///
/// The same request is sent to replicas for which SlowCallMonitor needs a sign of life.
class PathProber
{
public:
    struct Options
    {
        EventLoop &loop;
        HttpClient &client; ///< Its idle connections to unreachable replicas are closed.
        ServicePools &pools;
        std::string sourceIp = {}; ///< IP that connections are opened from; empty: any.
        /// Headers of a request that each replica answers without running it.
        HttpHeaders probeHeaders = {};
        /// \sa WireCodec::identityProbeHeaders
        std::function<HttpHeaders(const std::string &id)> identityHeaders =
                [](const std::string &) { return HttpHeaders(); };
        /// \sa WireCodec::isFromReplica
        std::function<bool(const HttpHead &, const std::string &id)> isFromReplica =
                [](const HttpHead &, const std::string &) { return true; };
        /// Asks other routers whether bytes of a replica arrived there recently.
        /// \sa RelayClient::checkReceived
        std::function<void(const std::string &service, const std::string &id, Duration within,
                           std::function<void(bool received)> done)>
                checkReceived = [](const std::string &, const std::string &, Duration,
                                   const std::function<void(bool)> &done) { done(false); };
    };

    explicit PathProber(Options options);

    /// \brief Starts the checks that are due soon.
    void wake();

    /// \brief Opens a new connection to \a replica at once.
    /// \param done is called once, not from within this function, with whether it stayed open.
    void connect(const ReplicaRecord &replica, std::function<void(bool stayedOpen)> done);

    /// \brief Asks the process at the address of \a replica whether it is that replica, by a health
    /// check.
    /// \param done is called once with the answer; std::nullopt if there is none in time.
    void identify(const ReplicaRecord &replica,
                  std::function<void(std::optional<bool> isSame)> done);

private:
    void check();
    void probe(const std::string &id);
    void found(const std::string &id, internal::ConnectProbe::Outcome outcome);
    void requestAnswer(const ReplicaRecord &replica);
    static HttpCall probeCall(const std::string &address, const HttpHeaders &headers,
                              Duration timeout);
    void requestSign(const std::string &id);
    void requestEnded(const std::string &id, const Result<void> &result);

    Options m_options;
    Timer m_timer;
    std::map<std::string, std::shared_ptr<internal::ConnectProbe>> m_probes; ///< By incarnation.
    std::set<std::shared_ptr<internal::ConnectProbe>> m_connects; ///< Those of connect().
    std::set<std::string> m_requested; ///< Replicas with an unanswered request of requestAnswer().
    std::set<std::string> m_signsRequested; ///< Those with one of requestSign().
};

} // namespace catkinloft
