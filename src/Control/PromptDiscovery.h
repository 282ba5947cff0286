#pragma once

#include "Base/Clock.h"
#include "Base/ReplicaRecord.h"
#include "Control/RegisteredRouter.h"
#include "Decide/PromptIndex.h"

#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief Prompt discovery: decides which engines this router asks for their cached prompts after
/// its start.
///
/// Handles a power loss of all routers while the engines keep hundreds of prompts cached and
/// callers return at once. Without the lists, the engines that the first requests happen to reach
/// process cached prompts again: on a fleet of eleven routers and twelve engines 260,000 tokens, or
/// four seconds of an engine, which delay the requests that wait behind them.
///
/// The engines are distributed over the registered routers by rendezvous hashing, so that each
/// engine is asked once and all lists are known a few milliseconds after the start; a list costs an
/// engine as much as a small request. If the list of an engine is still unknown a round later, the
/// next router in the engine's order asks it, as the first one may be gone for good. A router that
/// does not know the other routers asks no engine: hundreds of routers that each ask every engine
/// would block the engines.
class PromptDiscovery
{
public:
    struct Options
    {
        const Clock &clock;
        std::string self; ///< Peer address of this router.
        /// Time for an answer and its announcement; both take milliseconds on a healthy network.
        Duration round = std::chrono::milliseconds(250);
        int rounds = 3; ///< With three rounds, two of the three routers that may ask can be gone.
        /// Parts of all engines together that are announced to a router, about 25 bytes each.
        /// Hundreds of engines cache ten times as many, which would cost the weakest VMs seconds of
        /// processor time just as callers return.
        std::size_t maxAnnouncedParts = 12'000;
        /// Routers that the list of one engine is announced to. Sending hundreds of lists to
        /// hundreds of routers each would delay the first requests after the start.
        std::size_t maxReceivers = 78;
    };

    explicit PromptDiscovery(Options options) : m_options(std::move(options)) { }

    /// \brief Sets the other registered routers.
    void setRouters(std::span<const RegisteredRouter> routers);

    /// \brief Records that the list of \a incarnation is known.
    void discovered(const std::string &incarnation) { m_discovered.insert(incarnation); }

    /// \brief Records that this router receives the state of a router that has run for longer.
    /// Engines that were not asked by the end of the first round then need not be asked.
    void peerStateReceived() { m_peerStateReceived = true; }

    /// \returns those of \a engines that this router must ask now; each is returned once.
    std::vector<ReplicaRecord> due(std::span<const ReplicaRecord> engines);

    /// \returns the parts to announce to the other routers, the largest first, as parts that are
    /// not announced may be processed again.
    /// \param cached parts that one engine caches.
    /// \param engines number of engines.
    std::vector<std::uint64_t> partsToAnnounce(std::span<const PromptPart> cached,
                                               std::size_t engines) const;

    /// \returns the peer addresses of the routers that the list of \a incarnation is announced to.
    /// The routers that would ask it next come first.
    std::vector<std::string> receiversFor(const std::string &incarnation) const;

    /// \returns whether no further engine will be due.
    bool isFinished() const;

private:
    int currentRound() const;
    int rankFor(const std::string &incarnation) const;

    Options m_options;
    std::optional<std::vector<std::string>> m_routers; ///< Addresses of the other routers.
    /// When engines and routers were known for the first time.
    std::optional<TimePoint> m_startedAt;
    std::set<std::string> m_discovered;
    std::set<std::string> m_asked;
    bool m_peerStateReceived = false;
};

} // namespace catkinloft
