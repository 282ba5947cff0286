#pragma once

#include "Base/Clock.h"
#include "Base/TableService.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief Combines compare-and-set writes of independent rows into common transactions.
///
/// The table service handles several hundred transactions per second for the whole fleet. With one
/// row per transaction, a few hundred calls per second would use them up. Each write still gets its
/// own result: a row whose version does not match does not affect the others, and a lost answer is
/// resolved by reading the rows back.
///
/// Written values have to be unique, for example by an attempt id, because a write is recognised by
/// its value when it is read back.
class GroupCommitter
{
public:
    struct Write
    {
        std::string key;
        std::uint64_t expected = 0; ///< Expected version; 0 if the row must not exist.
        std::optional<std::string> value; ///< std::nullopt removes the row.
    };

    struct WriteResult
    {
        bool committed = false;
        TableRow current; ///< The row after the transaction.
    };

    /// Receives the result of a write. After an error with Verdict::MayHaveRun the write may still
    /// take effect, even later.
    using Done = std::function<void(Result<WriteResult>)>;

    struct Options
    {
        TableService &table;
        const Clock &clock;
        /// How long the first write of a batch waits for more writes. 5 ms is a fifth of a call's
        /// duration, and at 100 claims per second on one router it halves the transactions.
        Duration window = std::chrono::milliseconds(5);
        /// Maximum rows of a transaction. At 16 KB per row the largest one is 1 MB.
        std::size_t maxRows = 64;
        /// Called when nextDeadline() has become earlier.
        std::function<void()> wake = {};
    };

    explicit GroupCommitter(Options options);
    ~GroupCommitter();

    void submit(Write write, Done done);

    /// \brief Commits the queued writes if the window has passed.
    void poll();
    TimePoint nextDeadline() const;

    /// \returns the number of transactions sent so far, including retries.
    std::uint64_t transactions() const { return m_transactions; }

private:
    struct Entry
    {
        Write write;
        Done done;
        bool uncertain = false; ///< An earlier transaction with this write may still take effect.
    };
    using Batch = std::vector<Entry>;
    using BatchPtr = std::shared_ptr<Batch>;

    void flush();
    Batch takeBatch();
    void commit(const BatchPtr &batch, int round);
    void committed(const BatchPtr &batch, int round, const Result<TableCommit> &result);
    void readBack(const BatchPtr &batch, int round);
    void resolveBatch(const BatchPtr &batch, const std::vector<TableRow> &rows, int round);
    static void fail(Batch &batch, const Error &error);

    Options m_options;
    Batch m_waiting;
    TimePoint m_flushAt = TimePoint::max();
    std::uint64_t m_transactions = 0;
    /// False after destruction, checked by callbacks that may outlive this object.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace catkinloft
