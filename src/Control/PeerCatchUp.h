#pragma once

#include "Base/Clock.h"
#include "Control/RouterHeartbeat.h"

#include <cstdint>

namespace catkinloft {

/// \brief Decides when a router asks a peer for the peer's whole state: the configuration, the
/// replicas, and which prompts these keep.
///
/// Load: four beats a second from each of up to sixteen peers. Harm prevented: a router that has
/// missed a change serves an old configuration, and one that asks at every beat spends processor
/// time and bytes on answers that tell it nothing.
class PeerCatchUp
{
public:
    struct Options
    {
        Duration configApplyLimit =
                std::chrono::seconds(2); ///< In which changes have to be in force.
    };

    /// \brief Changes the time in which changes have to be in force.
    void setConfigApplyLimit(Duration limit) { m_options.configApplyLimit = limit; }

    /// \brief What this router knows itself.
    struct Known
    {
        std::uint64_t revision = 0; ///< Of the configuration in force.
        Duration proofAge = Duration::max(); ///< \sa RouterHeartbeat::proofAge
        std::uint64_t replicasHash = 0;
        std::uint64_t replicasVersion = 0;
    };

    explicit PeerCatchUp(Options options) : m_options(options) { }

    /// \returns whether the sender of \a heartbeat has something that \a own lacks.
    bool shouldFetchFrom(const RouterHeartbeat &heartbeat, const Known &own) const;

    /// \returns whether peers are to be asked which prompts are kept where.
    bool needsPrompts() const { return m_emptyAnswers < MaxEmptyAnswers; }

    /// \brief Notes that a peer told which prompts are kept, \a any of them or none.
    void promptsReceived(bool any);

    /// \returns the oldest proof with which a peer is of help to a router whose own is too old.
    Duration maxPeerProofAge() const;

private:
    /// Peers that may answer that they know of no prompt. One may have just started as well; where
    /// three know of none there is nothing to learn, be it that nobody keeps prompts here.
    static constexpr int MaxEmptyAnswers = 3;

    Options m_options;
    int m_emptyAnswers = 0;
};

} // namespace catkinloft
