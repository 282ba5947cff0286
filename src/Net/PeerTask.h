#pragma once

#include "Base/Error.h"
#include "Base/Metrics.h"
#include "Base/Settings.h"
#include "Control/ConfigPropagator.h"
#include "Control/Membership.h"

#include <memory>

namespace catkinloft {

class EventLoop;
class HttpClient;
class TrafficGovernor;

/// \brief The task that talks with the other routers: membership and the spread of configuration
/// over authenticated datagrams, longer bodies over TCP at the same address.
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
    };

    explicit PeerTask(Options options);
    ~PeerTask();
    PeerTask(const PeerTask &) = delete;
    PeerTask &operator=(const PeerTask &) = delete;

    /// \returns an error where the peer address can not be bound.
    Result<void> start();

    /// \brief Tells the others that this router leaves.
    void leave();

    /// \brief Replaces the keys that datagrams are signed and checked with.
    void setKeys(std::vector<SharedKey> keys);

    Membership &membership();
    TrafficGovernor &governor();
    ConfigPropagator &propagator();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
