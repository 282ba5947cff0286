#pragma once

#include "Base/Clock.h"
#include "Base/FleetStore.h"

#include <sigc++/signal.h>

#include <cstdint>
#include <set>
#include <span>
#include <string>

namespace catkinloft {

/// \brief Failure domains whose replicas get no requests because the operator evacuated them, as of
/// the newest position of the store that this process has received.
///
/// An older read or a router with an older state never reverts a newer state. Reads are
/// linearizable, so of two states the one with the higher store position is the newer one.
///
/// A store that was restored from a copy may lack recent evacuations until the operator has written
/// them again. The domains that were evacuated before the restore stay so for that time; afterwards
/// the state of the store is in effect again, in case the evacuation was revoked in the seconds
/// that the store lost.
class EvacuatedDomains
{
public:
    struct Options
    {
        const Clock &clock;
        /// Time in which the operator writes again what the store lost.
        Duration rewriteTime = std::chrono::milliseconds(2200);
    };

    struct State
    {
        StorePosition position = {}; ///< Version 0: not read yet.
        std::set<std::string> domains = {};
    };

    explicit EvacuatedDomains(Options options) : m_options(options) { }

    /// \brief Sets \a state, from a full read of the store or from another router, if it is newer.
    void accept(const State &state);

    /// \brief Applies \a changes that were made up to \a position, if that is newer.
    void change(std::span<const DomainEvacuation> changes, const StorePosition &position);

    /// \brief Ends the retention of domains after a restore once its time is over. Must be called
    /// periodically.
    void expire() { update(); }

    /// \returns the newest state of the store.
    const State &state() const { return m_state; }

    /// \returns the domains that get no requests: those of state() and those retained after a
    /// restore.
    const std::set<std::string> &domains() const { return m_domains; }

    /// \returns whether to announce the state to other routers: there is or was an evacuation.
    bool shouldAnnounce() const { return m_shouldAnnounce; }

    /// \brief Emitted after a domain was evacuated or its evacuation was revoked.
    sigc::signal<void()> &changed() { return m_changed; }

private:
    void update();

    Options m_options;
    State m_state;
    std::set<std::string> m_domains; ///< \sa domains()
    std::set<std::string> m_retained; ///< Evacuated before the last restore.
    TimePoint m_retainUntil = TimePoint::min();
    bool m_shouldAnnounce = false;
    sigc::signal<void()> m_changed;
};

} // namespace catkinloft
