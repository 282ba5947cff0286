#pragma once

#include "Base/EntrySettings.h"
#include "Base/Error.h"
#include "Base/Metrics.h"
#include "Base/Settings.h"
#include "Control/FleetView.h"

#include <functional>
#include <memory>
#include <span>
#include <string>

namespace catkinloft {

class ActiveConfig;
class EvacuatedDomains;
class EventLoop;
class HttpClient;
class ReplicaRegistry;

/// \brief The task that talks with the other routers: beats over signed datagrams, and what was
/// read from the store over TCP at the same address, for routers that can't reach the store.
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
        std::function<bool()> storeFailing; ///< \sa RouterHeartbeat::storeFailing
        std::function<Duration()> storeUnansweredFor; ///< \sa RouterHeartbeat::storeUnansweredFor
        std::function<ReplicaStatusUpdate()> ownStatusUpdate;
        std::function<std::vector<CrashUpdate>()>
                takeCrashUpdates; ///< \sa RequestQuarantine::takeUpdates
        /// \sa RequestQuarantine::takeFirstCrashes
        std::function<std::vector<CrashUpdate>()> takeFirstCrashes;
        std::function<void(const RouterHeartbeat &)> onHeartbeat;
        /// Told of each beat that can't be verified yet, for want of the key: a hint at most.
        std::function<void(const RouterHeartbeat &)> onUnverifiedHeartbeat =
                [](const RouterHeartbeat &) {};
        /// Takes the configuration that a peer read, with the moment at which the read began.
        std::function<void(const std::string &text, TimePoint readStartedAt)> onConfigText;
        std::function<PromptsByReplica()> prompts; ///< That replicas are believed to keep.
        std::function<void(const PromptsByReplica &)> onPrompts; ///< What a peer believes.
    };

    explicit FleetTask(Options options);
    ~FleetTask();
    FleetTask(const FleetTask &) = delete;
    FleetTask &operator=(const FleetTask &) = delete;

    /// \returns an error where the peer address can not be bound.
    Result<void> start();

    /// \brief Sets the key that beats are signed with; none are sent before.
    void setKey(const SharedKey &key);

    /// \brief Takes over the limits of settings that have changed.
    void applySettings();

    /// \brief Tells the others with the next beat that \a replica keeps \a prompt.
    void notePrompt(const std::string &replica, std::span<const PromptPart> prompt);

    /// \brief Tells the routers at \a addresses at once that \a replica was asked what it keeps,
    /// and that it keeps \a parts.
    void announceDiscovered(const std::string &replica, std::span<const std::uint64_t> parts,
                            std::span<const std::string> addresses);

    /// \returns when this process started, as its beats tell it.
    std::uint64_t incarnation() const;

    /// \brief Tells the others that this router leaves.
    void leave();

    /// \brief Asks a peer that has read the store for what it read, if that is newer.
    void fetchFromPeer();

    /// \brief Tells all routers at once, because something has changed here.
    void announceToAll();

    /// \brief Tells several routers at once that this one has ejected a replica.
    void announceEjection();

    /// \brief Tells several routers, within milliseconds, under which requests replicas ended.
    void announceCrashes();

    /// \returns whether this router reads the store for the others.
    bool isReader() const;

    FleetView &view();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
