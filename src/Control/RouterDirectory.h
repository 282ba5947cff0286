#pragma once

#include "Base/VmList.h"
#include "Decide/RouterView.h"

#include <sigc++/signal.h>

#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief Which routers there are, and which one a caller should use.
class RouterDirectory
{
public:
    explicit RouterDirectory(RouterView self);

    /// \brief Takes over the platform's list; this router stays in it whatever the list says.
    void setVms(const std::vector<VmEntry> &vms);

    /// \brief Marks this router as leaving, so that no answer names it.
    void setLeaving();

    const std::vector<RouterView> &routers() const { return m_routers; }
    const RouterView &self() const { return m_self; }

    /// \returns the router for \a key (a chat's or a workspace's hash); this one where every other
    /// is leaving.
    const RouterView &routerFor(std::uint64_t key) const;

    /// \brief Emitted when routers() changed.
    sigc::signal<void()> &changed() { return m_changed; }

private:
    RouterView m_self;
    std::vector<RouterView> m_routers;
    sigc::signal<void()> m_changed;
};

} // namespace catkinloft
