#pragma once

#include "Base/EntrySettings.h"
#include "Base/Error.h"
#include "Base/Metrics.h"
#include "Base/Settings.h"
#include "Control/FleetView.h"
#include "Decide/StreamOrigins.h"
#include "Net/HttpExchange.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

class ActiveConfig;
class EvacuatedDomains;
class EventLoop;
class HttpClient;
class HttpServer;
class ReplicaRegistry;

/// \brief Exchanges state with the other routers.
///
/// Heartbeats are signed UDP datagrams. Over TCP at the same address it serves what was read from
/// the store, so that a router that can't reach the store stays up to date.
class FleetTask
{
public:
    struct Options
    {
        EventLoop &loop;
        HttpClient &client;
        Metrics &metrics;
        const EntrySettings &settings;
        ActiveConfig &config;
        EvacuatedDomains &evacuated;
        ReplicaRegistry &replicas;
        std::function<bool()> isReady;
        /// Creates the listener at an address with limits for its requests.
        std::function<std::unique_ptr<HttpServer>(const std::string &address, ListenerLimits,
                                                  std::function<void(HttpExchangePtr)>)>
                makeServer;
        std::function<bool()> storeFailing; ///< \sa RouterHeartbeat::storeFailing
        std::function<Duration()> storeUnansweredFor; ///< \sa RouterHeartbeat::storeUnansweredFor
        std::function<ReplicaStatusUpdate()> ownStatusUpdate;
        /// \sa RouterHeartbeat::unreachableServices
        std::function<std::vector<std::string>()> unreachableServices;
        /// \sa RouterHeartbeat::brittle
        std::function<std::vector<BrittleService>()> brittleServices = [] {
            return std::vector<BrittleService>();
        };
        std::function<std::vector<CrashUpdate>()>
                takeCrashUpdates; ///< \sa RequestQuarantine::takeUpdates
        /// \sa RequestQuarantine::takeFirstCrashes
        std::function<std::vector<CrashUpdate>()> takeFirstCrashes;
        /// \sa StreamOrigins::takeAnnouncements
        std::function<std::vector<StreamOrigin>()> takeStreamOrigins = [] {
            return std::vector<StreamOrigin>();
        };
        /// Called with the origins of streams that another router began.
        std::function<void(std::span<const StreamOrigin>)> onStreamOrigins =
                [](std::span<const StreamOrigin>) {};
        std::function<void(const RouterHeartbeat &)> onHeartbeat;
        /// Called for each heartbeat that is received before the key is known. It can't be
        /// verified, so it is only a hint.
        std::function<void(const RouterHeartbeat &)> onUnverifiedHeartbeat =
                [](const RouterHeartbeat &) {};
        /// Called with a configuration that a peer read from the store, and the time at which that
        /// read started.
        std::function<void(const std::string &text, TimePoint readStartedAt)> onConfigText;
        std::function<PromptsByReplica()>
                prompts; ///< Prompts that replicas are estimated to cache.
        std::function<void(const PromptsByReplica &)> onPrompts; ///< Called with a peer's estimate.
        /// Called for each request to be relayed, and each question about a path, of a router.
        std::function<void(const HttpExchangePtr &)> onRelay;
        /// Called for each question of a router about the origin of a stream.
        std::function<void(const HttpExchangePtr &)> onStreamOriginQuestion =
                [](const HttpExchangePtr &) {};
    };

    explicit FleetTask(Options options);
    ~FleetTask();
    FleetTask(const FleetTask &) = delete;
    FleetTask &operator=(const FleetTask &) = delete;

    /// \returns an error if the peer address can't be bound.
    Result<void> start();

    /// \brief Sets the key that signs heartbeats. No heartbeat is sent before this call.
    void setKey(const SharedKey &key);

    /// \brief Applies limits that changed in the settings.
    void applySettings();

    /// \brief Announces with the next heartbeat that \a replica caches \a prompt.
    void notePrompt(const std::string &replica, std::span<const PromptPart> prompt);

    /// \brief Announces immediately to the routers at \a addresses that prompt discovery of
    /// \a replica is done and that it caches \a parts.
    void announceDiscovered(const std::string &replica, std::span<const std::uint64_t> parts,
                            std::span<const std::string> addresses);

    /// \returns the start time of this process, as its heartbeats carry it.
    std::uint64_t incarnation() const;

    /// \brief Announces to all routers that this router is leaving.
    void leave();

    /// \brief Fetches the state of the peer with the freshest read of the store.
    void fetchFromPeer();

    /// \brief Sends a heartbeat to all routers immediately, after a change of local state.
    void announceToAll();

    /// \brief Announces immediately to several routers that this router has ejected a replica.
    void announceEjection();

    /// \brief Announces to several routers, within milliseconds, which requests were in progress on
    /// crashed replicas.
    void announceCrashes();

    /// \brief Announces to the routers that keep them, within milliseconds, the origins of streams.
    void announceStreamOrigins();

    /// \returns whether this router is one of those that read the store on behalf of the fleet.
    bool isReader() const;

    /// \returns the signature of \a text with the key of the fleet; empty before it is known.
    std::string sign(std::string_view text) const;

    /// \returns whether \a signature is valid for \a text.
    bool verify(std::string_view signature, std::string_view text) const;

    FleetView &view();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
