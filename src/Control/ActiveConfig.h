#pragma once

#include "Base/Clock.h"
#include "Base/RouteConfig.h"

#include <sigc++/signal.h>

namespace catkinloft {

/// \brief Holds the newest route configuration that this process has seen, and the time at which it
/// was last proven to be the newest one.
///
/// The active revision never goes back to an older one, whatever a read of the store or another
/// router returns. Revoked API keys must stop working soon, also at a router that is partitioned
/// from the store, so a key is only accepted while the freshness proof is recent enough. The proof
/// is a read of the store. It is dated by the start of the read, because the answer can be delayed
/// for any length of time. The clock must include the time for which a VM is suspended.
class ActiveConfig
{
public:
    explicit ActiveConfig(const Clock &clock) : m_clock(clock) { }

    /// \brief Activates \a config, which was read from the store by a call that started at
    /// \a readStartedAt.
    /// \returns false if the active configuration is newer; it stays active then.
    bool accept(RouteConfigPtr config, TimePoint readStartedAt);

    /// \brief Records that at \a readStartedAt no revision newer than \a revision existed.
    void confirm(std::uint64_t revision, TimePoint readStartedAt);

    /// \returns the active configuration; nullptr before the first one.
    const RouteConfigPtr &config() const { return m_config; }

    std::uint64_t revision() const { return m_config ? m_config->revision : 0; }

    /// \returns the age of the newest freshness proof; Duration::max() if there is none.
    Duration proofAge() const;

    /// \brief Emitted after another revision was activated.
    sigc::signal<void(const RouteConfigPtr &)> &changed() { return m_changed; }

private:
    const Clock &m_clock;
    RouteConfigPtr m_config;
    TimePoint m_provenAt = TimePoint::min();
    sigc::signal<void(const RouteConfigPtr &)> m_changed;
};

} // namespace catkinloft
