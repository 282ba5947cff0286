#pragma once

#include "Base/Error.h"
#include "Base/Metrics.h"
#include "Base/Settings.h"
#include "Control/ConfigPropagator.h"
#include "Control/Membership.h"

#include <memory>

namespace catkinloft {

class ConnectionLog;
class EventLoop;
class HttpClient;
class RequestBuffers;
class TrafficGovernor;

/// \brief Communicates with the other routers.
///
/// Maintains the membership and propagates the configuration over authenticated UDP datagrams.
/// Bodies that don't fit a datagram are transferred over TCP at the same address.
class PeerTask
{
public:
    struct Options
    {
        EventLoop &loop;
        HttpClient &client;
        Metrics &metrics;
        const Settings &settings;
        ConfigManager &config;
        RandomSource random;
        ConnectionLog &connectionLog; ///< For the listener.
        RequestBuffers *requestBuffers = nullptr; ///< Of the listener. \sa HttpServer::Options
    };

    explicit PeerTask(Options options);
    ~PeerTask();
    PeerTask(const PeerTask &) = delete;
    PeerTask &operator=(const PeerTask &) = delete;

    /// \returns an error if the peer address can't be bound.
    Result<void> start();

    /// \brief Announces that this router is leaving.
    void leave();

    /// \brief Replaces the keys that sign and verify datagrams.
    void setKeys(std::vector<SharedKey> keys);

    Membership &membership();
    TrafficGovernor &governor();
    ConfigPropagator &propagator();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
