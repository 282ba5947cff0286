#pragma once

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Base/TableService.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief A lease as its row in the table service states it.
struct Lease
{
    std::string holder; ///< Name and incarnation; empty: given back.
    std::uint64_t fence = 0; ///< Rises with every taking, never falls.
    std::uint64_t attempt = 0; ///< Id of the write, by which a lost answer is settled.
    Duration duration{}; ///< How long it holds after the write; counted by each side's own clock.

    std::string encode() const;

    /// \returns nothing where \a text is no lease, as a row that another program wrote.
    static std::optional<Lease> decode(std::string_view text);
};

/// \brief Holds, or tries to get, one lease: one row moved by compare-and-set.
///
/// Load: 256 order groups for 10,000 engines, each renewed every 15 s: 17 writes/s of the several
/// hundred that the whole fleet has.
/// Harm prevented: two routers that order the same engine about.
/// The holder counts from before it sent its write and stops a margin early; a contender counts
/// from after it saw that write. So neither calendar time nor synchronised clocks matter, only that
/// monotonic clocks run at nearly the same rate.
class LeaseManager
{
public:
    struct Options
    {
        const Clock &clock;
        RandomSource random;
        TableService &table;
        std::string key; ///< Row, as `lease/engines/7`.
        std::string self; ///< Name of this router.
        Duration duration = std::chrono::seconds(45); ///< Three lost renewals don't end it.
        Duration renewInterval = std::chrono::seconds(15);
        /// Stops acting this long before the end: 4% of clock drift, far above any real clock's.
        Duration margin = std::chrono::seconds(2);
        /// Contenders look at the row this often, spread by half of it: when a store comes back,
        /// they don't all write at once.
        Duration acquireInterval = std::chrono::seconds(5);
    };

    explicit LeaseManager(Options options);

    /// \brief Whether this router should hold the lease; one that should not gives it back.
    void setWanted(bool wanted);

    /// \brief Does what is due. \sa nextDeadline()
    void poll();

    /// \returns when poll() has to run next.
    TimePoint nextDeadline() const;

    /// \returns the fencing number while the lease is held by the clock as it is now. Ask right
    /// before each act: a process may have been paused since the last answer.
    std::optional<std::uint64_t> fence() const;

    /// \brief Reads the row right now and tells whether it still names this holder.
    void confirm(std::function<void(bool)> done);

    /// \brief Raises the fencing number above \a floor, which an engine has seen; takes effect with
    /// the next renewal, made at once.
    /// \returns false where \a floor can't be true, so that a lying engine does not bring the
    /// number to its end.
    bool raiseFence(std::uint64_t floor);

private:
    struct Attempt
    {
        std::uint64_t id = 0;
        TimePoint sentAt;
    };

    void readRow();
    void handleRow(const TableRow &row);
    void adoptWrite(const Attempt &attempt);
    bool isFree() const;
    void release();
    void write(std::string holder, std::uint64_t fence);
    void handleCommit(const Result<TableCommit> &answer, std::uint64_t id);
    void markLost(std::string_view event);
    void scheduleAfter(Duration delay);
    Duration jittered(Duration d) const;
    std::optional<Attempt> findAttempt(std::uint64_t id) const;

    Options m_options;
    std::string m_holder; ///< Name and incarnation, so that a restarted router is another one.
    bool m_wanted = false;
    bool m_busy = false; ///< A read or write is under way.
    std::uint64_t m_version = 0; ///< Of the row, as last seen.
    Lease m_lastRow; ///< As last seen.
    TimePoint m_firstSeenAt; ///< When the row was first seen at m_version.
    bool m_hasRow = false;
    bool m_held = false;
    bool m_releasing = false; ///< A giving back was sent, which may still take effect.
    TimePoint m_expiresAt; ///< End of the lease by this clock, margin taken off.
    std::uint64_t m_fenceFloor = 0;
    Attempt m_currentAttempt; ///< The write that the row as last seen came from, if it is ours.
    std::vector<Attempt> m_attempts; ///< Later writes whose outcome is open, newest last.
    TimePoint m_next;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace catkinloft
