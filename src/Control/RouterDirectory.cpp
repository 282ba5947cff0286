#include "Control/RouterDirectory.h"

#include "Base/Hash.h"
#include "Decide/OwnerGroups.h"

#include <algorithm>

namespace catkinloft {

namespace {

bool sameButLoad(const RouterView &a, const RouterView &b)
{
    return a.name == b.name && a.callerAddress == b.callerAddress && a.peerAddress == b.peerAddress
            && a.failureDomain == b.failureDomain && a.leaving == b.leaving;
}

} // namespace

RouterDirectory::RouterDirectory(RouterView self) : m_self(std::move(self)), m_routers{m_self}
{
    rebuild();
}

void RouterDirectory::setRouters(std::vector<RouterView> routers)
{
    std::erase_if(routers, [this](const RouterView &it) {
        if (it.name != m_self.name)
            return false;
        m_self.load = it.load;
        return true;
    });
    routers.insert(routers.begin(), m_self);
    const bool same = std::equal(routers.begin(), routers.end(), m_routers.begin(), m_routers.end(),
                                 &sameButLoad);
    m_routers = std::move(routers);
    if (same)
        return;
    rebuild();
    m_changed.emit();
}

void RouterDirectory::setEngines(const InventoryPtr &inventory)
{
    m_pools.clear();
    std::map<std::string, std::vector<ChatOrder::Node>, std::less<>> nodes;
    for (const Engine &it : inventory->engines) {
        if (it.role == "serve")
            nodes[it.model].push_back({.id = hash64(it.name), .weight = it.weight});
    }
    for (const auto &[model, list] : nodes) {
        const OwnerGroups groups(hash64(model), list.size());
        Pool &pool = m_pools[model];
        for (const ChatOrder::Node &it : list)
            pool.groups.push_back(groups.of(it.id));
        pool.order.assign(list);
    }
}

void RouterDirectory::setLeaving()
{
    m_self.leaving = true;
    m_routers.front().leaving = true;
    rebuild();
    m_changed.emit();
}

void RouterDirectory::setIsolated(bool isolated)
{
    if (isolated == m_isolated)
        return;
    m_isolated = isolated;
    rebuild();
}

void RouterDirectory::rebuild()
{
    m_usable.clear();
    std::vector<ChatOrder::Node> nodes;
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        if (m_routers[i].leaving || (i == 0 && m_isolated && m_routers.size() > 1))
            continue;
        m_usable.push_back(i);
        nodes.push_back({.id = hash64(m_routers[i].name)});
    }
    m_order.assign(nodes);
}

const RouterView &RouterDirectory::routerFor(const Query &query, const RandomSource &random) const
{
    if (m_usable.empty())
        return m_routers.front();
    if (const RouterView *owner = ownerFor(query))
        return *owner;
    return lessLoaded(query, random);
}

const RouterView *RouterDirectory::ownerFor(const Query &query) const
{
    const auto pool = m_pools.find(query.model);
    if (query.chatKey == 0 || pool == m_pools.end())
        return nullptr;
    const std::size_t engine = pool->second.order.at(query.chatKey);
    if (engine == ChatOrder::None)
        return nullptr;
    return &m_routers[m_usable[m_order.at(pool->second.groups[engine])]];
}

/// Returns the less loaded of two random routers. If it returned the least loaded of all, every
/// caller who asks before the loads are updated would be given the same one. If a load is not
/// known, as for most of 890 routers, the first draw is returned, which distributes callers evenly
/// on average.
const RouterView &RouterDirectory::lessLoaded(const Query &query, const RandomSource &random) const
{
    std::vector<std::size_t> near;
    for (const std::size_t it : m_usable) {
        if (m_routers[it].failureDomain == query.failureDomain)
            near.push_back(it);
    }
    // The only router of a failure domain would be overloaded by all of its callers.
    const std::vector<std::size_t> &from = near.size() > 1 ? near : m_usable;
    const RouterView &a = m_routers[from[below(random, from.size())]];
    const RouterView &b = m_routers[from[below(random, from.size())]];
    const bool known = a.load >= 0 && b.load >= 0;
    return known && b.load < a.load ? b : a;
}

} // namespace catkinloft
