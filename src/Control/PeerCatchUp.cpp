#include "Control/PeerCatchUp.h"

#include <algorithm>

namespace catkinloft {

namespace {

/// Parts of the time in which changes have to be in force. A router whose proof is older than the
/// first has missed its reader for several asks; a peer that shows one younger than the second has
/// just reached the store, and is asked at once.
constexpr double OldProofPart = 1.25;
constexpr double FreshProofPart = 0.5;

} // namespace

bool PeerCatchUp::isWorthAsking(const RouterBeat &beat, const Known &own) const
{
    const bool fresh = beat.proofAge < scaled(m_options.configLimit, FreshProofPart);
    const bool proof = fresh && own.proofAge > scaled(m_options.configLimit, OldProofPart);
    const bool config = beat.revision > own.revision;
    const bool replicas =
            beat.replicasHash != own.replicasHash && beat.replicasVersion > own.replicasVersion;
    return config || replicas || proof || (fresh && wantsPrompts());
}

void PeerCatchUp::promptsTold(bool any)
{
    m_emptyAnswers = any ? MaxEmptyAnswers : std::min(m_emptyAnswers + 1, MaxEmptyAnswers);
}

Duration PeerCatchUp::maxPeerProofAge() const
{
    return m_options.configLimit;
}

} // namespace catkinloft
