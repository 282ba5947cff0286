#include "Control/EngineOwners.h"

#include "Base/Hash.h"

#include <algorithm>
#include <iterator>

namespace catkinloft {

EngineOwners::EngineOwners(std::string self) : m_self(hash64(self)), m_routers{m_self} { }

EngineOwners::Owner EngineOwners::scoreOf(std::uint64_t id, std::uint64_t router) const
{
    ++m_scoreCount;
    // With equal weights rendezvousScore() is monotonic in these bits, so its logarithm is omitted.
    return {.router = router, .score = hashCombine(id, router) >> 11};
}

EngineOwners::Owner EngineOwners::best(std::uint64_t id) const
{
    Owner out;
    for (const std::uint64_t it : m_routers) {
        const Owner candidate = scoreOf(id, it);
        if (out.router == 0 || candidate.score > out.score)
            out = candidate;
    }
    return out;
}

bool EngineOwners::isPrimaryFor(std::uint64_t key) const
{
    return best(key).router == m_self;
}

void EngineOwners::setEngines(std::span<const std::string> engines)
{
    std::unordered_map<std::uint64_t, Owner> known;
    for (const Owned &it : m_engines)
        known[it.id] = it.owner;
    m_engines.clear();
    for (const std::string &it : engines) {
        const std::uint64_t id = hash64(it);
        const auto old = known.find(id);
        m_engines.push_back(
                {.name = it, .id = id, .owner = old == known.end() ? best(id) : old->second});
    }
    collect();
}

bool EngineOwners::setRouters(std::span<const RouterView> routers)
{
    std::vector<std::uint64_t> next;
    for (const RouterView &it : routers) {
        if (!it.leaving)
            next.push_back(hash64(it.name));
    }
    std::sort(next.begin(), next.end());
    if (next == m_routers)
        return false;
    std::vector<std::uint64_t> added;
    std::set_difference(next.begin(), next.end(), m_routers.begin(), m_routers.end(),
                        std::back_inserter(added));
    m_routers = std::move(next);
    for (Owned &it : m_engines) {
        if (!std::binary_search(m_routers.begin(), m_routers.end(), it.owner.router)) {
            it.owner = best(it.id);
            continue;
        }
        for (const std::uint64_t router : added) {
            const Owner candidate = scoreOf(it.id, router);
            if (candidate.score > it.owner.score)
                it.owner = candidate;
        }
    }
    collect();
    return true;
}

void EngineOwners::collect()
{
    m_owned.clear();
    for (const Owned &it : m_engines) {
        if (it.owner.router == m_self)
            m_owned.push_back(it.name);
    }
}

} // namespace catkinloft
