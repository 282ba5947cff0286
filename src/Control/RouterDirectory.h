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

/// \brief Chooses the router that a caller should use.
///
/// Handles 86,000 requests a second from callers who keep an answer for `rules.address_lifetime`,
/// and 4.9 million chats. Saves the extra hop of a chat whose requests reach a router other than
/// the owner of its engine, and prevents that callers without a chat overload a single router. An
/// answer is a hint: a caller with a stale one is still served.
class RouterDirectory
{
public:
    /// \brief Properties of a caller; all fields may be empty.
    struct Query
    {
        std::uint64_t chatKey = 0; ///< 0: no chat.
        std::string model = {};
        std::string failureDomain = {}; ///< Preferred for a caller without a chat.
    };

    explicit RouterDirectory(RouterView self);

    /// \brief Sets the routers that are up. This router is always included; only its load is taken
    /// from the list. A load below 0 means that it is not known.
    void setRouters(std::vector<RouterView> routers);

    /// \brief Sets the engines, which determine the routers of chats.
    void setEngines(const InventoryPtr &inventory);

    /// \brief Marks this router as leaving, so that answers no longer name it.
    void setLeaving();

    /// \brief Sets whether this router is isolated, that is, receives messages from neither the
    /// store nor other routers. Answers do not name an isolated router if it knows another one.
    void setIsolated(bool isolated);
    bool isIsolated() const { return m_isolated; }

    const std::vector<RouterView> &routers() const { return m_routers; }
    const RouterView &self() const { return m_self; }

    /// \returns the router that owns the first engine of the chat, so that no extra hop is needed.
    /// For a caller without a chat, the less loaded of two random routers, preferably of the
    /// caller's failure domain. This router if no other can be named.
    const RouterView &routerFor(const Query &query, const RandomSource &random) const;

    /// \brief Emitted when a router is added, removed or begins to leave, but not when only a load
    /// changes.
    sigc::signal<void()> &changed() { return m_changed; }

private:
    void rebuild();
    const RouterView *ownerFor(const Query &query) const;
    const RouterView &lessLoaded(const Query &query, const RandomSource &random) const;

    /// \brief The engines of one model in the order used by placement.
    struct Pool
    {
        std::vector<std::uint64_t> groups; ///< By position of the engine.
        ChatOrder order;
    };

    RouterView m_self;
    bool m_isolated = false;
    std::vector<RouterView> m_routers;
    std::vector<std::size_t> m_usable; ///< Positions in m_routers that answers may name.
    ChatOrder m_order; ///< Of m_usable; the same as the order of owners in the dispatcher.
    std::map<std::string, Pool, std::less<>> m_pools;
    sigc::signal<void()> m_changed;
};

} // namespace catkinloft
