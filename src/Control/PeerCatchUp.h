#pragma once

#include "Base/Clock.h"
#include "Control/RouterHeartbeat.h"

#include <cstdint>

namespace catkinloft {

/// \brief Decides when a router requests the full state of a peer: the configuration, the replicas,
/// and which prompts these cache.
///
/// Handles four heartbeats a second from each of up to sixteen peers. Prevents that a router that
/// has missed a change serves an old configuration, and that a router requests the state at every
/// heartbeat and spends processor time and bytes on answers without new information.
class PeerCatchUp
{
public:
    struct Options
    {
        Duration configApplyTimeout =
                std::chrono::seconds(2); ///< In which changes must become active.
    };

    /// \brief Sets the time in which changes must become active.
    void setConfigApplyTimeout(Duration limit) { m_options.configApplyTimeout = limit; }

    /// \brief State of this router.
    struct Known
    {
        std::uint64_t revision = 0; ///< Of the active configuration.
        Duration proofAge = Duration::max(); ///< \sa RouterHeartbeat::proofAge
        std::uint64_t replicasHash = 0;
        StorePosition replicasPosition = {};
    };

    explicit PeerCatchUp(Options options) : m_options(options) { }

    /// \returns whether the sender of \a heartbeat has newer state than \a own.
    bool shouldFetchFrom(const RouterHeartbeat &heartbeat, const Known &own) const;

    /// \returns whether peers must be asked which replicas cache which prompts.
    bool needsPrompts() const { return m_emptyAnswers < MaxEmptyAnswers; }

    /// \brief Records that a peer reported cached prompts; \a any is whether there were any.
    void promptsReceived(bool any);

    /// \returns the maximum age of a peer's freshness proof with which its state is worth
    /// requesting if the proof of this router is too old.
    Duration maxPeerProofAge() const;

private:
    /// Peers that may report no cached prompt before the router stops asking. One peer may itself
    /// have just started; if three report none, there probably are none.
    static constexpr int MaxEmptyAnswers = 3;

    Options m_options;
    int m_emptyAnswers = 0;
};

} // namespace catkinloft
