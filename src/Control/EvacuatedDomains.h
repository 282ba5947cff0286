#pragma once

#include "Base/FleetStore.h"

#include <sigc++/signal.h>

#include <cstdint>
#include <set>
#include <span>
#include <string>

namespace catkinloft {

/// \brief Failure domains whose replicas get no requests because the operator evacuated them, as of
/// the newest store version that this process has received.
///
/// An older read or a router with an older state never reverts a newer state. Reads are
/// linearizable, so of two states the one with the higher store version is the newer one.
class EvacuatedDomains
{
public:
    struct State
    {
        std::uint64_t storeVersion = 0; ///< 0: not read yet.
        std::set<std::string> domains = {};
    };

    /// \brief Sets \a state, from a full read of the store or from another router, if it is newer.
    void accept(const State &state);

    /// \brief Applies \a changes that were made up to \a storeVersion, if that is newer.
    void change(std::span<const DomainEvacuation> changes, std::uint64_t storeVersion);

    const State &state() const { return m_state; }

    /// \returns whether to announce the state to other routers: there is or was an evacuation.
    bool shouldAnnounce() const { return m_shouldAnnounce; }

    /// \brief Emitted after a domain was evacuated or its evacuation was revoked.
    sigc::signal<void()> &changed() { return m_changed; }

private:
    State m_state;
    bool m_shouldAnnounce = false;
    sigc::signal<void()> m_changed;
};

} // namespace catkinloft
