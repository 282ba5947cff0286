#include "Control/PeerCatchUp.h"

#include <algorithm>

namespace catkinloft {

namespace {

/// Fractions of the time in which changes must become active. A router whose freshness proof is
/// older than the first has received no answer from its reader for several asks. A peer whose proof
/// is younger than the second has just reached the store and is asked at once.
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
