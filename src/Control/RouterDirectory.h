#pragma once

#include "Base/Inventory.h"
#include "Base/Random.h"
#include "Decide/ChatOrder.h"
#include "Decide/RouterView.h"

#include <sigc++/signal.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief Which routers there are, and which one a caller should use.
///
/// Load: 86,000 requests a second from callers who keep an answer for `rules.address_lifetime`, and
/// 4.9 million chats. Harm prevented: a chat that comes in at a router other than the owner of its
/// engine costs a hop; callers without a chat that all take the same router make it hot. An answer
/// is a hint: a caller with a stale one is served all the same.
class RouterDirectory
{
public:
    /// \brief What a caller said about itself; everything may be empty.
    struct Query
    {
        std::uint64_t chatKey = 0; ///< 0: no chat.
        std::string model = {};
        std::string failureDomain = {}; ///< Preferred for a caller without a chat.
    };

    explicit RouterDirectory(RouterView self);

    /// \brief Takes over which routers are up; this one stays in whatever the list says, but for
    /// its load. A load below 0 means that it is not known.
    void setRouters(std::vector<RouterView> routers);

    /// \brief Takes over the engines, by which chats find their router.
    void setEngines(const InventoryPtr &inventory);

    /// \brief Marks this router as leaving, so that no answer names it.
    void setLeaving();

    /// \brief Marks this router as one that hears neither the store nor others, which no answer
    /// should name while it knows another.
    void setIsolated(bool isolated);
    bool isIsolated() const { return m_isolated; }

    const std::vector<RouterView> &routers() const { return m_routers; }
    const RouterView &self() const { return m_self; }

    /// \returns the router that owns the first engine of the chat, so that no hop is needed; for a
    /// caller without a chat the less loaded of two, of its own failure domain where one is there.
    /// This one where no other can be named.
    const RouterView &routerFor(const Query &query, const RandomSource &random) const;

    /// \brief Emitted when a router came, went or began to leave; not when only a load changed.
    sigc::signal<void()> &changed() { return m_changed; }

private:
    void rebuild();
    const RouterView *ownerFor(const Query &query) const;
    const RouterView &lessLoaded(const Query &query, const RandomSource &random) const;

    /// The engines of one model in the order that placement uses.
    struct Pool
    {
        std::vector<std::uint64_t> ids;
        ChatOrder order;
    };

    RouterView m_self;
    bool m_isolated = false;
    std::vector<RouterView> m_routers;
    std::vector<std::size_t> m_usable; ///< Positions in m_routers that answers may name.
    ChatOrder m_order; ///< Of m_usable, as the dispatcher's owners.
    std::map<std::string, Pool, std::less<>> m_pools;
    sigc::signal<void()> m_changed;
};

} // namespace catkinloft
