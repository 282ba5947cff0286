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

/// \brief Which engines this router asks for the prompts that they keep, after it has started.
///
/// Load: all routers lose power while engines keep hundreds of prompts, and callers return at once.
/// Harm prevented: what nobody knows to be kept is read again wherever the first requests happen to
/// go, some 260,000 tokens or four seconds of an engine on a fleet of eleven routers and twelve
/// engines, and the callers behind those readings are late.
///
/// The engines are shared out by their rendezvous order over the registered routers, so that each
/// is asked once and all lists are known a few milliseconds after the start: a list costs an engine
/// as much as a small request. An engine of which nothing was told a round later is asked by the
/// next router of its order, since the first may be gone for good. A router that doesn't know the
/// others asks nobody: hundreds that each ask every engine keep the engines from their work.
class PromptDiscovery
{
public:
    struct Options
    {
        const Clock &clock;
        std::string self; ///< Peer address of this router.
        /// Time for an answer and for telling it: both take milliseconds on a sound network.
        Duration round = std::chrono::milliseconds(250);
        int rounds = 3; ///< Two routers of three may be gone.
        /// Parts that a router is told of all engines together, some 25 bytes each. Hundreds of
        /// engines keep ten times as many, which would cost the weakest VMs seconds of their
        /// processor just as callers return.
        std::size_t maxAnnouncedParts = 12'000;
        /// Routers that are told of one engine, since hundreds of lists that each go to hundreds of
        /// routers delay the first requests after the start.
        std::size_t maxReceivers = 78;
    };

    explicit PromptDiscovery(Options options) : m_options(std::move(options)) { }

    /// \brief Takes over the other registered routers.
    void setRouters(std::span<const RegisteredRouter> routers);

    /// \brief Notes that the list of \a incarnation is known.
    void discovered(const std::string &incarnation) { m_discovered.insert(incarnation); }

    /// \brief Notes that a router which runs for longer tells this one what it knows: engines that
    /// were not asked by now need not be.
    void peerStateReceived() { m_peerStateReceived = true; }

    /// \returns which of \a engines this router has to ask now; each is named once.
    std::vector<ReplicaRecord> due(std::span<const ReplicaRecord> engines);

    /// \returns which of the parts that one of \a engines keeps the other routers are told, the
    /// largest first: what is not told may be read again.
    std::vector<std::uint64_t> partsToAnnounce(std::span<const PromptPart> cached,
                                               std::size_t engines) const;

    /// \returns the peer addresses of the routers that are told what \a incarnation keeps: those
    /// that would ask it next come first.
    std::vector<std::string> receiversFor(const std::string &incarnation) const;

    /// \returns whether nothing will be due any more.
    bool isFinished() const;

private:
    int currentRound() const;
    int rankFor(const std::string &incarnation) const;

    Options m_options;
    std::optional<std::vector<std::string>> m_routers; ///< Addresses of the others, once known.
    std::optional<TimePoint> m_startedAt; ///< Engines and routers were known for the first time.
    std::set<std::string> m_discovered;
    std::set<std::string> m_asked;
    bool m_peerStateReceived = false;
};

} // namespace catkinloft
