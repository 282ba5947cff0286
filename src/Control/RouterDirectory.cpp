#include "Control/RouterDirectory.h"

#include "Base/Hash.h"
#include "Decide/Rendezvous.h"

namespace catkinloft {

RouterDirectory::RouterDirectory(RouterView self) : m_self(std::move(self)), m_routers{m_self} { }

void RouterDirectory::setVms(const std::vector<VmEntry> &vms)
{
    std::vector<RouterView> next{m_self};
    for (const VmEntry &it : vms) {
        if (it.name == m_self.name)
            continue;
        next.push_back({.name = it.name,
                        .callerAddress = it.callerAddress,
                        .peerAddress = it.peerAddress,
                        .failureDomain = it.failureDomain,
                        .leaving = it.leaving,
                        .load = 0});
    }
    m_routers = std::move(next);
    m_changed.emit();
}

void RouterDirectory::setLeaving()
{
    m_self.leaving = true;
    m_routers.front().leaving = true;
    m_changed.emit();
}

const RouterView &RouterDirectory::routerFor(std::uint64_t key) const
{
    const RouterView *best = nullptr;
    double bestScore = 0;
    for (const RouterView &it : m_routers) {
        const double score = rendezvousScore(key, hash64(it.name), 1);
        if (!it.leaving && (!best || score > bestScore)) {
            best = &it;
            bestScore = score;
        }
    }
    return best ? *best : m_self;
}

} // namespace catkinloft
