#pragma once

#include "Base/Clock.h"
#include "Base/ReplicaRecord.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief Remembers which software the replicas of each service ran, and for how long this is
/// known.
///
/// Handles the restart of all routers at once. What they knew is in the platform's store, which has
/// a row for each software; it is written only when a software is added or removed.
class SoftwareHistory
{
public:
    /// \brief What the store has on one software.
    struct Row
    {
        std::string service = {};
        std::string software = {}; ///< \sa ReplicaRecord::software
        std::optional<WallTime> goneAt = {}; ///< End of its last registration; empty: registered.
    };

    explicit SoftwareHistory(const Clock &clock) : m_clock(clock) { }

    /// \brief Sets the registered replicas of all services.
    void update(std::span<const ReplicaRecord> replicas);

    /// \returns the software of \a service that was registered at any time within the last
    /// \a window. \sa ReplicaRecord::software
    std::set<std::string> seen(const std::string &service, Duration window) const;

    /// \returns the time for which the history is known: since the first update, or for longer than
    /// any window if it is complete.
    Duration observedFor() const;

    /// \brief Adopts the rows in the store. Software that this router has seen itself keeps its
    /// state.
    void adopt(std::span<const Row> rows);

    /// \brief Sets that no other software has been registered before the first update.
    void setComplete() { m_isComplete = true; }

    /// \returns whether the history is known for longer than any window.
    bool isComplete() const;

    /// \returns the rows that the store should have.
    std::vector<Row> rows() const;

private:
    struct Software
    {
        bool isRegistered = false;
        TimePoint lastSeenAt = {}; ///< End of its registration.
    };

    const Clock &m_clock;
    bool m_isComplete = false; ///< \sa setComplete()
    std::optional<TimePoint> m_startedAt;
    /// By service and software.
    std::map<std::string, std::map<std::string, Software>> m_services;
};

} // namespace catkinloft
