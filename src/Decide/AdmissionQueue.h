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

/// \brief Jobs that wait for a place, in weighted fair order by workspace.
///
/// Load: one workspace surges while the rest wait. Harm prevented: in one common queue the surge
/// would make everybody late. Start-time fair queueing by work gives each workspace its weight's
/// share; the protected ones share a class that goes first four times in five, so that the rest is
/// slowed but never starved.
class AdmissionQueue
{
public:
    using Decided = std::function<void(Result<Assignment>)>;

    struct Entry
    {
        Job job;
        Decided decided;
        TimePoint submittedAt;
        TimePoint expiresAt; ///< When it is refused at the latest.
    };

    /// \brief Takes over the rules and workspaces of \a inventory.
    void setInventory(InventoryPtr inventory) { m_inventory = std::move(inventory); }

    /// \brief Adds \a entry, setting its limit.
    /// \returns what has to be refused to keep the queue in its bounds: \a entry itself, another
    /// or nothing.
    std::optional<std::pair<Entry, Error>> push(Entry entry, TimePoint now);

    /// \returns the job whose turn it is; nullptr where none waits.
    const Entry *front() const;

    /// \brief Takes out front().
    Entry pop();

    /// \returns the next entry whose limit has passed, taken out.
    std::optional<Entry> popExpired(TimePoint now);

    /// \brief Takes out the job \a id.
    /// \returns whether it waited.
    bool remove(JobId id);

    /// \brief Tells the queue that a job left an upstream, which its hints are worked out from.
    void recordCompletion(TimePoint now);

    /// \returns the time until \a jobs more have ended at the rate of late, for retry hints.
    Duration expectedWait(std::size_t jobs) const;

    /// \returns when the first waiting job reaches its limit.
    TimePoint nextExpiry() const;

    std::size_t size() const { return m_byId.size(); }
    bool empty() const { return m_byId.empty(); }
    /// \returns the workspace of the waiting job \a id; empty where it does not wait.
    std::string workspaceOf(JobId id) const;

    std::size_t lengthOf(const std::string &workspace) const;

private:
    struct Flow
    {
        std::string workspace;
        bool isProtected = false;
        double weight = 1;
        double start = 0; ///< Virtual time at which its next job is due.
        std::list<Entry> jobs; ///< Higher priority first, then older.
    };
    using FlowKey = std::pair<double, std::string>;

    struct Class
    {
        double start = 0;
        double virtualTime = 0;
        std::set<FlowKey> flows; ///< Those with jobs, by their start.
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
    Class m_classes[2]; ///< Protected workspaces, then the rest.
    std::map<JobId, Position> m_byId;
    std::set<std::pair<TimePoint, JobId>> m_expiries;
    double m_classTime = 0;
    double m_completionInterval = 0; ///< Moving average of seconds between completions.
    TimePoint m_lastCompletion;
};

} // namespace catkinloft
