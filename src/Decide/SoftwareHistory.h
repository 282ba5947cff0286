#pragma once

#include "Base/Clock.h"
#include "Base/ReplicaRecord.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace catkinloft {

/// \brief Remembers which software the replicas of each service ran, and since when this router has
/// watched them.
class SoftwareHistory
{
public:
    explicit SoftwareHistory(const Clock &clock) : m_clock(clock) { }

    /// \brief Sets the registered replicas of all services.
    void update(std::span<const ReplicaRecord> replicas);

    /// \returns the software of \a service that was registered at any time within the last
    /// \a window. \sa ReplicaRecord::software
    std::set<std::string> seen(const std::string &service, Duration window) const;

    /// \returns the time since the first update; zero before it.
    Duration observedFor() const;

private:
    struct Software
    {
        bool isRegistered = false;
        TimePoint lastSeenAt = {}; ///< End of its registration.
    };

    const Clock &m_clock;
    std::optional<TimePoint> m_startedAt;
    /// By service and software.
    std::map<std::string, std::map<std::string, Software>> m_services;
};

} // namespace catkinloft
