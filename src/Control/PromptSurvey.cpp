#include "Control/PromptSurvey.h"

#include "Base/Hash.h"
#include "Decide/Rendezvous.h"

#include <algorithm>

namespace catkinloft {

void PromptSurvey::setRouters(std::span<const std::string> addresses)
{
    m_routers.assign(addresses.begin(), addresses.end());
}

std::vector<ReplicaRecord> PromptSurvey::due(std::span<const ReplicaRecord> engines)
{
    if (!m_begin && !engines.empty())
        m_begin = m_options.clock.now();
    const int round = currentRound();
    std::vector<ReplicaRecord> out;
    // Without the list of routers each would ask all engines; the list usually comes at once.
    if (isOver() || (m_routers.empty() && round == 0))
        return out;
    for (const ReplicaRecord &it : engines) {
        const std::string incarnation = it.incarnation();
        if (m_listed.contains(incarnation) || rankFor(incarnation) > round)
            continue;
        if (m_asked.insert(incarnation).second)
            out.push_back(it);
    }
    return out;
}

bool PromptSurvey::isOver() const
{
    const int round = currentRound();
    return round >= m_options.rounds || (m_peerKnows && round > 0);
}

int PromptSurvey::currentRound() const
{
    if (!m_begin)
        return 0;
    return static_cast<int>((m_options.clock.now() - *m_begin) / m_options.round);
}

int PromptSurvey::rankFor(const std::string &incarnation) const
{
    const std::uint64_t key = hash64(incarnation);
    const double own = rendezvousScore(key, hash64(m_options.self), 1);
    const auto before =
            std::count_if(m_routers.begin(), m_routers.end(), [&](const std::string &it) {
                return it != m_options.self && rendezvousScore(key, hash64(it), 1) > own;
            });
    return static_cast<int>(before);
}

} // namespace catkinloft
