#pragma once

#include "Base/FleetStore.h"

#include <sigc++/signal.h>

#include <cstdint>
#include <set>
#include <span>
#include <string>

namespace catkinloft {

/// \brief Failure domains whose replicas the operator wants left alone, as of the newest version of
/// the store that this process has heard of.
///
/// What was known once is never undone by an older read or by a router that is behind. Reads are
/// linearizable, so that of two states the one with the higher version of the store is the newer.
class EvacuatedDomains
{
public:
    struct State
    {
        std::uint64_t storeVersion = 0; ///< 0: nothing was read yet.
        std::set<std::string> domains = {};
    };

    /// \brief Takes over \a state, from a whole read of the store or from another router.
    void accept(const State &state);

    /// \brief Takes over \a changes that lie between a state known before and \a storeVersion.
    void change(std::span<const DomainEvacuation> changes, std::uint64_t storeVersion);

    const State &state() const { return m_state; }

    /// \returns whether other routers have to be told: there is or was an evacuation.
    bool shouldAnnounce() const { return m_shouldAnnounce; }

    /// \brief Emitted when a domain was evacuated or taken back.
    sigc::signal<void()> &changed() { return m_changed; }

private:
    State m_state;
    bool m_shouldAnnounce = false;
    sigc::signal<void()> m_changed;
};

} // namespace catkinloft
