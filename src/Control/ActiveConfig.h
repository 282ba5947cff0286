#pragma once

#include "Base/Clock.h"
#include "Base/RouteConfig.h"

#include <sigc++/signal.h>

namespace catkinloft {

/// \brief The newest revision that this process has seen, and how long ago it was certain that
/// there was no newer one.
///
/// A revision that was in force here is never followed by an older one, whatever a read of the
/// store or another router says. Keys that were taken away must not be honoured for long, also by a
/// router that is cut off: serving a key needs a proof that is young enough. The proof is a read of
/// the store, dated by when it began, since its answer may be delayed at will. The clock has to
/// count the time for which a VM is suspended.
class ActiveConfig
{
public:
    explicit ActiveConfig(const Clock &clock) : m_clock(clock) { }

    /// \brief Takes over \a config, read from the store by a call that began at \a readStartedAt.
    /// \returns false where a newer one is in force, which stays.
    bool accept(RouteConfigPtr config, TimePoint readStartedAt);

    /// \brief Notes that at \a readStartedAt no revision newer than \a revision existed.
    void confirm(std::uint64_t revision, TimePoint readStartedAt);

    /// \returns the revision in force; null before the first.
    const RouteConfigPtr &config() const { return m_config; }

    std::uint64_t revision() const { return m_config ? m_config->revision : 0; }

    /// \returns how old the newest proof is; Duration::max() without one.
    Duration proofAge() const;

    /// \brief Emitted when another revision came into force.
    sigc::signal<void(const RouteConfigPtr &)> &changed() { return m_changed; }

private:
    const Clock &m_clock;
    RouteConfigPtr m_config;
    TimePoint m_provenAt = TimePoint::min();
    sigc::signal<void(const RouteConfigPtr &)> m_changed;
};

} // namespace catkinloft
