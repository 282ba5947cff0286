#include "Control/PromptDiscovery.h"

#include "Base/Hash.h"
#include "Decide/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace catkinloft {

void PromptDiscovery::setRouters(std::span<const RegisteredRouter> routers)
{
    m_routers.emplace();
    for (const RegisteredRouter &it : routers)
        m_routers->push_back(it.peerAddress);
}

std::vector<ReplicaRecord> PromptDiscovery::due(std::span<const ReplicaRecord> engines)
{
    std::vector<ReplicaRecord> out;
    if (!m_routers || engines.empty())
        return out;
    if (!m_startedAt)
        m_startedAt = m_options.clock.now();
    if (isFinished())
        return out;
    const int round = currentRound();
    for (const ReplicaRecord &it : engines) {
        const std::string incarnation = it.incarnation();
        if (m_discovered.contains(incarnation) || rankFor(incarnation) > round)
            continue;
        if (m_asked.insert(incarnation).second)
            out.push_back(it);
    }
    return out;
}

std::vector<std::uint64_t> PromptDiscovery::partsToAnnounce(std::span<const PromptPart> cached,
                                                            std::size_t engines) const
{
    std::vector<PromptPart> parts(cached.begin(), cached.end());
    std::stable_sort(parts.begin(), parts.end(),
                     [](const PromptPart &a, const PromptPart &b) { return a.tokens > b.tokens; });
    const std::size_t n = m_options.maxAnnouncedParts / std::max<std::size_t>(1, engines);
    std::vector<std::uint64_t> out;
    for (std::size_t i = 0; i < std::min(n, parts.size()); ++i)
        out.push_back(parts[i].id);
    return out;
}

std::vector<std::string> PromptDiscovery::receiversFor(const std::string &incarnation) const
{
    const std::uint64_t key = hash64(incarnation);
    std::vector<std::pair<double, std::string>> order;
    for (const std::string &it : m_routers.value_or(std::vector<std::string>()))
        order.emplace_back(-rendezvousScore(key, hash64(it), 1), it);
    std::sort(order.begin(), order.end());
    order.resize(std::min(order.size(), m_options.maxReceivers));
    std::vector<std::string> out;
    out.reserve(order.size());
    for (auto &[score, address] : order)
        out.push_back(std::move(address));
    return out;
}

bool PromptDiscovery::isFinished() const
{
    const int round = currentRound();
    return round >= m_options.rounds || (m_peerStateReceived && round > 0);
}

int PromptDiscovery::currentRound() const
{
    if (!m_startedAt)
        return 0;
    return static_cast<int>((m_options.clock.now() - *m_startedAt) / m_options.round);
}

int PromptDiscovery::rankFor(const std::string &incarnation) const
{
    const std::uint64_t key = hash64(incarnation);
    const double own = rendezvousScore(key, hash64(m_options.self), 1);
    const auto before =
            std::count_if(m_routers->begin(), m_routers->end(), [&](const std::string &it) {
                return rendezvousScore(key, hash64(it), 1) > own;
            });
    return static_cast<int>(before);
}

} // namespace catkinloft
