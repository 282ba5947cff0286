#include "Control/PeerCatchUp.h"

#include <algorithm>

namespace catkinloft {

namespace {

/// Fractions of the time in which changes must become active. A router whose freshness proof is
/// older than the first has received no answer from its reader for several asks. A peer whose proof
/// is younger than the second has just reached the store and is asked at once.
constexpr double StaleProofFraction = 1.25;
constexpr double FreshProofFraction = 0.5;

} // namespace

bool PeerCatchUp::shouldFetchFrom(const RouterHeartbeat &heartbeat, const Known &own) const
{
    const bool fresh =
            heartbeat.proofAge < scaled(m_options.configApplyTimeout, FreshProofFraction);
    const bool proof =
            fresh && own.proofAge > scaled(m_options.configApplyTimeout, StaleProofFraction);
    const bool config = heartbeat.revision > own.revision;
    const bool replicas = heartbeat.replicasHash != own.replicasHash
            && heartbeat.replicasPosition > own.replicasPosition;
    return config || replicas || proof || (fresh && needsPrompts());
}

void PeerCatchUp::promptsReceived(bool any)
{
    m_emptyAnswers = any ? MaxEmptyAnswers : std::min(m_emptyAnswers + 1, MaxEmptyAnswers);
}

Duration PeerCatchUp::maxPeerProofAge() const
{
    return m_options.configApplyTimeout;
}

} // namespace catkinloft
