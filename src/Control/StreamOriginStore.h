#pragma once

#include "Base/Clock.h"
#include "Base/TableService.h"
#include "Decide/StreamOrigins.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief Keeps the origins of streams in the platform's store, for the case that all routers that
/// know them are lost at once.
///
/// Handles streams that began while several software versions serve, and that callers resume after
/// a restart of all routers. Prevents that they are refused although replicas of their version run.
///
/// Each router collects the origins of its own streams and writes them as one row at a time. The
/// interval between two rows grows with the number of routers, so that all of them together use a
/// fixed share of the store's write rate, whatever the number of streams. In a fleet so large that
/// most streams would end before their row is written, nothing is written.
///
/// Rows never change. They are removed, together with a later write, when no caller can resume
/// their streams any more: by their router, or, if that one was lost, by the routers that read the
/// store for the fleet. A stream whose row was not written in time stays unknown.
class StreamOriginStore
{
public:
    struct Options
    {
        TableService &table;
        const Clock &clock;
        std::string router; ///< Name of this router.
        std::uint64_t incarnation = 0; ///< Of this process; earlier ones have rows of their own.
        double writesPerSecond = 0; ///< \sa EntrySettings::storeWritesPerSecond
        std::function<int()> routers = [] { return 1; }; ///< Number of routers.
        /// Whether this router reads the store on behalf of the fleet.
        std::function<bool()> isReader = [] { return false; };
        /// Called with the origins that are found in the store.
        std::function<void(std::span<const StreamOrigin>)> onRead;
    };

    /// Share of the store's write rate that all routers together may use. The rest is for what the
    /// fleet can't do without.
    static constexpr double WriteShare = 0.2;

    /// Longest interval between two rows of one router. Most streams last for a few seconds.
    static constexpr Duration MaxInterval = std::chrono::seconds(5);

    /// Origins in one row, of about 40 bytes each; a row has at most 64 KB.
    static constexpr std::size_t MaxOriginsPerRow = 1000;

    explicit StreamOriginStore(Options options) : m_options(std::move(options)) { }

    /// \brief Collects \a origins for the next row.
    void add(std::span<const StreamOrigin> origins);

    /// \brief Writes and removes what is due.
    void poll();

    /// \returns when poll() has something to do; TimePoint::max() if there is nothing to wait for.
    TimePoint nextDeadline() const;

    /// \brief Reads the origins of all routers, unless that has been done lately, and passes them
    /// to Options::onRead.
    /// \param done is called once, possibly from within this function, also after a failure.
    void read(std::function<void()> done);

private:
    struct Pending
    {
        StreamOrigin origin;
        TimePoint expiresAt;
    };

    Duration interval() const;
    bool isEnabled() const;
    void collectPending(TableTransaction &transaction);
    void collectExpired(TableTransaction &transaction);
    void written(const Result<TableCommit> &commit, std::span<const Pending> batch);
    void rowsRead(const Result<std::vector<TableRow>> &rows);
    void takeRow(const TableRow &row, std::vector<StreamOrigin> &origins);
    std::string ownPrefix() const;

    Options m_options;
    std::deque<Pending> m_pending; ///< Collected for the next row, oldest first.
    std::vector<Pending> m_batch; ///< Of the row that is being written.
    /// Rows that this router has to remove, by key, with the time when their last stream expires.
    std::map<std::string, TimePoint> m_rows;
    std::uint64_t m_rowNumber = 0; ///< Of the next row.
    TimePoint m_nextWriteAt = TimePoint::min();
    TimePoint m_nextReadAt = TimePoint::min();
    TimePoint m_nextCleanupAt = TimePoint::min(); ///< Next read for rows of routers that were lost.
    bool m_isWriting = false;
    bool m_isReading = false;
    bool m_isFailing = false; ///< The last write failed.
    std::vector<std::function<void()>> m_waiting; ///< For the read in progress.
};

} // namespace catkinloft
