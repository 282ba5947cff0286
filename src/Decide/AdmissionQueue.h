#pragma once

#include "Base/Inventory.h"
#include "Decide/Job.h"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace catkinloft {

/// \brief Holds the jobs that wait for an upstream, in weighted fair order by workspace.
///
/// Handles a surge of one workspace while jobs of others wait. Prevents the surge from delaying
/// all workspaces, as it would in one common queue. Start-time fair queueing by work gives each
/// workspace a share proportional to its weight. Protected workspaces form a class that receives
/// four fifths of the capacity while both classes wait, so that the others are slowed down but not
/// starved.
class AdmissionQueue
{
public:
    using Decided = std::function<void(Result<Assignment>)>;

    struct Entry
    {
        Job job;
        Decided decided;
        TimePoint submittedAt;
        TimePoint expiresAt; ///< When it is refused if no upstream was found.
    };

    /// \brief Uses the rules and workspaces of \a inventory from now on.
    void setInventory(InventoryPtr inventory) { m_inventory = std::move(inventory); }

    /// \brief Adds \a entry and sets the time at which it expires.
    /// \returns the entry that must be refused to keep the queue within its maximum length, which
    /// can be \a entry itself, with the error; std::nullopt if there is none.
    std::optional<std::pair<Entry, Error>> push(Entry entry, TimePoint now);

    /// \returns the next job in fair order; nullptr if the queue is empty.
    const Entry *front() const;

    /// \brief Removes and returns front(). The queue must not be empty.
    Entry pop();

    /// \brief Removes and returns an entry that has expired, the earliest first; std::nullopt if
    /// there is none.
    std::optional<Entry> popExpired(TimePoint now);

    /// \brief Removes the job \a id.
    /// \returns whether it was in the queue.
    bool remove(JobId id);

    /// \brief Records that a job left an upstream. expectedWait() uses the rate of completions.
    void recordCompletion(TimePoint now);

    /// \returns the estimated time until \a jobs more jobs have completed, for Retry-After hints.
    Duration expectedWait(std::size_t jobs) const;

    /// \returns when the next job expires; TimePoint::max() if the queue is empty.
    TimePoint nextExpiry() const;

    std::size_t size() const { return m_byId.size(); }
    bool empty() const { return m_byId.empty(); }
    /// \returns the workspace of the job \a id; empty if it is not in the queue.
    std::string workspaceOf(JobId id) const;

    std::size_t lengthOf(const std::string &workspace) const;

private:
    struct Flow
    {
        std::string workspace;
        bool isProtected = false;
        double weight = 1;
        double start = 0; ///< Virtual start time of its next job.
        std::list<Entry> jobs; ///< Higher priority first, then older.
    };
    using FlowKey = std::pair<double, std::string>;

    struct Class
    {
        double start = 0;
        double virtualTime = 0;
        std::set<FlowKey> flows; ///< Flows with jobs, ordered by virtual start time.
    };

    struct Position
    {
        std::string workspace;
        std::list<Entry>::iterator it;
    };

    const Rules &rules() const;
    Flow &flowOf(const std::string &workspace);
    Class &classOf(const Flow &flow) { return m_classes[flow.isProtected ? 0 : 1]; }
    const Flow *nextFlow() const;
    Entry removeEntry(Flow &flow, std::list<Entry>::iterator it);
    Error fullError(const Flow &flow) const;
    std::pair<Entry, Error> shed();

    InventoryPtr m_inventory;
    std::map<std::string, Flow> m_flows;
    Class m_classes[2]; ///< Protected workspaces, then all others.
    std::map<JobId, Position> m_byId;
    std::set<std::pair<TimePoint, JobId>> m_expiries;
    double m_classTime = 0;
    double m_completionInterval = 0; ///< Moving average in seconds; 0: unknown.
    TimePoint m_lastCompletion;
};

} // namespace catkinloft
