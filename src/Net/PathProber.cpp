#include "Net/PathProber.h"

#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Net/ServicePools.h"

#include <utility>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;
using Outcome = internal::ConnectProbe::Outcome;

/// Interval at which the paths that are due are collected.
constexpr Duration CheckPoll = 50ms;

/// Time for which a replica is silent before requests check its path. Most calls are answered
/// several times faster.
constexpr Duration SilenceLimit = 600ms;

/// Time in which a replica rejects a request that is meant for another one.
constexpr Duration AnswerTimeout = 400ms;

/// The same for a request by which a replica is identified. An answer whose end depends on it is
/// delayed that long at most.
constexpr Duration IdentityTimeout = 1s;

/// Bytes that another router received within this time arrived while this router's request was
/// unanswered, so that the replica was not stalled.
constexpr Duration ReceivedWithin = 400ms;

/// \returns whether most replicas with requests are silent. Unlike for
/// SilenceMonitor::isMostlySilent(), one replica suffices.
bool areBusyReplicasSilent(const ServicePool &pool)
{
    return 2 * pool.silence.silentReplicas(SilenceLimit) > pool.silence.busyReplicas();
}

} // namespace

PathProber::PathProber(Options options)
    : m_options(std::move(options)), m_timer(m_options.loop, [this] { check(); })
{ }

void PathProber::wake()
{
    if (!m_timer.isPending())
        m_timer.start(Duration::zero());
}

void PathProber::check()
{
    bool hasWork = false;
    m_options.pools.forEach([&](ServicePool &pool) {
        for (const std::string &it : pool.paths.dueChecks())
            probe(it);
        for (const std::string &it : pool.slowCalls.dueProbes())
            requestSign(it);
        hasWork = hasWork || pool.paths.hasWork();
    });
    if (hasWork || !m_probes.empty() || !m_requested.empty())
        m_timer.start(CheckPoll);
}

void PathProber::probe(const std::string &id)
{
    const ReplicaRecord *replica = m_options.pools.findReplica(id);
    if (!replica || m_probes.contains(id))
        return;
    const ServicePool &pool = m_options.pools.of(replica->service);
    if (pool.paths.hasSilentPath() || areBusyReplicasSilent(pool))
        return requestAnswer(*replica);
    m_probes[id] = std::make_shared<internal::ConnectProbe>(
            m_options.loop, replica->address, m_options.sourceIp,
            [this, id](Outcome outcome) { found(id, outcome); });
}

void PathProber::found(const std::string &id, Outcome outcome)
{
    const ReplicaRecord *replica = m_options.pools.findReplica(id);
    // An accepted connection may still be closed by a proxy that can't reach the replica.
    if (outcome == Outcome::Connected)
        return;
    if (outcome == Outcome::StayedOpen) {
        if (replica)
            m_options.pools.of(replica->service).paths.stayedOpen();
        return;
    }
    const auto it = m_probes.find(id);
    if (it == m_probes.end())
        return;
    m_options.loop.post([held = it->second] {});
    m_probes.erase(it);
    if (!replica)
        return;
    ServicePool &pool = m_options.pools.of(replica->service);
    if (outcome == Outcome::ProvenOpen)
        pool.pathConnected(id, m_options.pools.listenerAt(*replica));
    else if (outcome != Outcome::Inconclusive)
        pool.pathLost(id);
    if (outcome == Outcome::Unreachable)
        m_options.client.dropIdle(replica->address);
}

void PathProber::requestAnswer(const ReplicaRecord &replica)
{
    const std::string id = replica.incarnation();
    if (!m_requested.insert(id).second)
        return;
    m_options.client.fetch(probeCall(replica.address, m_options.probeHeaders, AnswerTimeout),
                           [this, id](const Result<HttpAnswer> &answer) {
                               requestEnded(id,
                                            answer ? Result<void>(outcome::success())
                                                   : Result<void>(answer.error()));
                           });
}

HttpCall PathProber::probeCall(const std::string &address, const HttpHeaders &headers,
                               Duration timeout)
{
    return {.address = address,
            .headers = headers,
            .timeout = timeout,
            .connectTimeout = internal::ConnectProbe::ConnectTimeout,
            .freshConnection = true};
}

void PathProber::identify(const ReplicaRecord &replica,
                          std::function<void(std::optional<bool>)> done)
{
    HttpCall call =
            probeCall(replica.address, m_options.identityHeaders(replica.id), IdentityTimeout);
    call.target = m_options.pools.healthPath(replica.service);
    m_options.client.fetch(std::move(call),
                           [isFromReplica = m_options.isFromReplica, id = replica.id,
                            done = std::move(done)](const Result<HttpAnswer> &answer) {
                               done(answer ? std::optional(isFromReplica(answer.value().head, id))
                                           : std::nullopt);
                           });
}

void PathProber::requestSign(const std::string &id)
{
    const ReplicaRecord *replica = m_options.pools.findReplica(id);
    if (!replica || !m_signsRequested.insert(id).second)
        return;
    const std::string service = replica->service;
    m_options.client.fetch(probeCall(replica->address, m_options.probeHeaders, AnswerTimeout),
                           [this, service, id](const Result<HttpAnswer> &answer) {
                               m_signsRequested.erase(id);
                               if (answer)
                                   m_options.pools.of(service).slowCalls.received(id);
                           });
}

void PathProber::requestEnded(const std::string &id, const Result<void> &result)
{
    m_requested.erase(id);
    const ReplicaRecord *replica = m_options.pools.findReplica(id);
    if (!replica)
        return;
    const std::string service = replica->service;
    ServicePool &pool = m_options.pools.of(service);
    if (result)
        return pool.pathRegained(id, m_options.pools.listenerAt(*replica));
    if (result.error().reason != Reason::UpstreamTimeout) {
        pool.pathLost(id);
        return m_options.client.dropIdle(replica->address);
    }
    m_options.checkReceived(service, id, ReceivedWithin, [this, service, id](bool received) {
        const ReplicaRecord *silent = m_options.pools.findReplica(id);
        ServicePool &lost = m_options.pools.of(service);
        // The replica may have continued since the request timed out.
        const std::optional<Duration> since = lost.silence.sinceReceived(id);
        if (!received || !silent || (since && *since < AnswerTimeout))
            return;
        lost.pathSilent(id);
        m_options.client.dropIdle(silent->address);
    });
}

/// A probe of check() that is in progress is not joined, because the path may have been lost after
/// its connection was established. A failure is not recorded as a lost path: the replica may have
/// crashed together with the one that is checked, and RelayServer confirms no crash of a replica
/// without a path.
void PathProber::connect(const ReplicaRecord &replica, std::function<void(bool stayedOpen)> done)
{
    const auto held = std::make_shared<std::shared_ptr<internal::ConnectProbe>>();
    *held = std::make_shared<internal::ConnectProbe>(
            m_options.loop, replica.address, m_options.sourceIp,
            [this, held, done = std::move(done)](Outcome outcome) {
                if (outcome == Outcome::Connected)
                    return;
                const std::shared_ptr<internal::ConnectProbe> probe = std::exchange(*held, nullptr);
                if (!probe)
                    return;
                m_connects.erase(probe);
                m_options.loop.post([probe] {});
                done(outcome == Outcome::StayedOpen);
            });
    m_connects.insert(*held);
}

} // namespace catkinloft
