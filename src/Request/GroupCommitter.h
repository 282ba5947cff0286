#pragma once

#include "Base/Clock.h"
#include "Base/TableService.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief Puts compare-and-set writes of independent rows into common transactions.
///
/// The table service takes several hundred transactions a second for the whole fleet; a row each
/// would spend that on a few hundred calls. Each row keeps its own result: a row whose version does
/// not match leaves the others untouched, and a lost answer is settled by reading back.
///
/// Written values have to be unique (hold an attempt id), since that is how a write is recognised
/// when it is read back.
class GroupCommitter
{
public:
    struct Write
    {
        std::string key;
        std::uint64_t expected = 0; ///< Version; 0: the row must not exist.
        std::optional<std::string> value; ///< Nothing: the row is removed.
    };

    struct WriteResult
    {
        bool committed = false;
        TableRow current; ///< The row as it stands now.
    };

    /// An error with Verdict::MayHaveRun: the write may take effect, even later.
    using Done = std::function<void(Result<WriteResult>)>;

    struct Options
    {
        TableService &table;
        const Clock &clock;
        /// Longest wait for company. 5 ms is a fifth of what a call already takes, and at 100
        /// claims a second on one router it halves the transactions.
        Duration window = std::chrono::milliseconds(5);
        /// At 16 KB a row the largest transaction stays at 1 MB.
        std::size_t maxRows = 64;
        /// Called when nextDeadline() became earlier.
        std::function<void()> wake = {};
    };

    explicit GroupCommitter(Options options);
    ~GroupCommitter();

    void submit(Write write, Done done);

    /// \brief Sends what has waited for the window.
    void poll();
    TimePoint nextDeadline() const;

    /// \returns transactions sent so far, repeated ones included.
    std::uint64_t transactions() const { return m_transactions; }

private:
    struct Entry
    {
        Write write;
        Done done;
        bool uncertain = false; ///< An earlier transaction with it may still take effect.
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
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< Answers may come later.
};

} // namespace catkinloft
