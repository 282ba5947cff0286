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

/// \brief A lease as stored in its row of the table service.
struct Lease
{
    std::string holder; ///< Name and incarnation; empty: released.
    std::uint64_t fence = 0; ///< Rises with every acquisition and never falls.
    std::uint64_t attempt = 0; ///< Id of the write; identifies it if its answer was lost.
    Duration duration{}; ///< Validity after the write, measured by each router's own clock.

    std::string encode() const;

    /// \returns nothing if \a text is not a lease, as in a row written by another program.
    static std::optional<Lease> decode(std::string_view text);
};

/// \brief Holds, or tries to acquire, one lease: a row that is changed by compare-and-set.
///
/// Handles 256 order groups for 10,000 engines, each renewed every 15 s: 17 writes/s of the several
/// hundred that the whole fleet may do. Prevents two routers from sending orders to one engine at
/// the same time.
///
/// The holder measures the duration from before it sent its write and stops a margin earlier; a
/// contender measures it from after it read that write. Therefore neither calendar time nor
/// synchronised clocks matter, only that monotonic clocks run at nearly the same rate.
class LeaseManager
{
public:
    struct Options
    {
        const Clock &clock;
        RandomSource random;
        TableService &table;
        std::string key; ///< Key of the row, such as `lease/engines/7`.
        std::string self; ///< Name of this router.
        Duration duration = std::chrono::seconds(45); ///< The lease outlasts three lost renewals.
        Duration renewInterval = std::chrono::seconds(15);
        /// The holder stops this long before the expiry. This tolerates a clock drift of 4%, far
        /// more than real clocks have.
        Duration margin = std::chrono::seconds(2);
        /// Interval at which contenders read the row, with a jitter of half of it, so that they do
        /// not all write at once when the store becomes available again.
        Duration acquireInterval = std::chrono::seconds(5);
    };

    explicit LeaseManager(Options options);

    /// \brief Sets whether this router should hold the lease. If not, a held lease is released.
    void setWanted(bool wanted);

    /// \brief Performs the operations that are due. \sa nextDeadline()
    void poll();

    /// \returns when poll() must be called next.
    TimePoint nextDeadline() const;

    /// \returns the fencing number if the lease is held at the current time. Call this right before
    /// each action, as the process may have been paused since the last call.
    std::optional<std::uint64_t> fence() const;

    /// \brief Reads the row immediately and reports whether it still names this holder.
    void confirm(std::function<void(bool)> done);

    /// \brief Raises the fencing number above \a floor, the number that an engine reported. Takes
    /// effect with the next renewal, which is made immediately.
    /// \returns false if \a floor is implausibly high, so that an engine that reports wrong numbers
    /// cannot exhaust their range.
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
    std::string m_holder; ///< Name and incarnation, so that a restarted router is another holder.
    bool m_wanted = false;
    bool m_busy = false; ///< A read or write is in progress.
    std::uint64_t m_version = 0; ///< Version of the row as last read.
    Lease m_lastRow; ///< Content of the row as last read.
    TimePoint m_firstSeenAt; ///< When the row was first read with m_version.
    bool m_hasRow = false;
    bool m_held = false;
    bool m_releasing = false; ///< A release was sent and may still take effect.
    TimePoint m_expiresAt; ///< Expiry of the lease by the local clock, minus the margin.
    std::uint64_t m_fenceFloor = 0;
    Attempt m_currentAttempt; ///< The write that created the row as last read, if it was ours.
    std::vector<Attempt> m_attempts; ///< Later writes whose outcome is unknown, newest last.
    TimePoint m_next;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace catkinloft
