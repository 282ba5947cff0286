#pragma once

#include "Base/TableService.h"

#include <deque>
#include <map>

namespace catkinloft {

/// \brief Table service whose calls stay pending until a test determines their outcome.
class FakeTable final : public TableService
{
public:
    enum class Fate {
        Answered, ///< Takes effect and is answered.
        AnswerLost, ///< Takes effect; the caller gets an error.
        Late, ///< The caller gets an error; takes effect with applyLate().
        Refused, ///< The caller gets an error with Verdict::NotRun; takes no effect.
    };

    void read(std::vector<std::string> keys, Callback<std::vector<TableRow>> done) override
    {
        pending.push_back({.keys = std::move(keys), .rows = std::move(done)});
    }

    void scan(std::string prefix, std::size_t, Callback<std::vector<TableRow>> done) override
    {
        std::vector<std::string> keys;
        for (const auto &it : rows) {
            if (it.first.starts_with(prefix))
                keys.push_back(it.first);
        }
        read(std::move(keys), std::move(done));
    }

    void commit(TableTransaction transaction, Callback<TableCommit> done) override
    {
        ++commits;
        pending.push_back({.transaction = std::move(transaction), .done = std::move(done)});
    }

    /// \brief Ends call \a i of \a pending with \a fate.
    void end(std::size_t i, Fate fate)
    {
        const Call call = std::move(pending[i]);
        pending.erase(pending.begin() + static_cast<std::ptrdiff_t>(i));
        if (fate == Fate::Late && call.done)
            late.push_back(call.transaction);
        if (call.rows)
            endRead(call, fate);
        else
            endCommit(call, fate);
    }

    /// \brief Answers all pending calls, including those made meanwhile.
    void endAll()
    {
        while (!pending.empty())
            end(0, Fate::Answered);
    }

    void applyLate(std::size_t i)
    {
        const TableTransaction it = late[i];
        late.erase(late.begin() + static_cast<std::ptrdiff_t>(i));
        apply(it);
    }

    TableRow row(const std::string &key) const
    {
        const auto it = rows.find(key);
        return it == rows.end() ? TableRow{.key = key, .value = {}} : it->second;
    }

    struct Call
    {
        std::vector<std::string> keys = {};
        Callback<std::vector<TableRow>> rows = {};
        TableTransaction transaction = {};
        Callback<TableCommit> done = {};
    };

    std::deque<Call> pending;
    std::vector<TableTransaction> late;
    std::map<std::string, TableRow> rows;
    std::uint64_t commits = 0;
    bool checksVersions = true; ///< false: the store has no working compare-and-set.

private:
    bool apply(const TableTransaction &transaction)
    {
        for (const TableTransaction::Expect &it : transaction.expects) {
            if (checksVersions && row(it.key).version != it.version)
                return false;
        }
        for (const TableTransaction::Write &it : transaction.writes) {
            if (it.value)
                rows[it.key] = {.key = it.key, .value = *it.value, .version = ++m_version};
            else
                rows.erase(it.key);
        }
        return true;
    }

    void endRead(const Call &call, Fate fate) const
    {
        if (fate != Fate::Answered) {
            call.rows(Error{.reason = Reason::StoreUnavailable});
            return;
        }
        std::vector<TableRow> found;
        for (const std::string &it : call.keys)
            found.push_back(row(it));
        call.rows(std::move(found));
    }

    void endCommit(const Call &call, Fate fate)
    {
        TableCommit commit;
        if (fate == Fate::Answered || fate == Fate::AnswerLost)
            commit.committed = apply(call.transaction);
        if (fate != Fate::Answered) {
            call.done(Error{.reason = Reason::StoreUnavailable,
                            .verdict =
                                    fate == Fate::Refused ? Verdict::NotRun : Verdict::MayHaveRun});
            return;
        }
        for (const TableTransaction::Expect &it : call.transaction.expects)
            commit.current.push_back(row(it.key));
        call.done(std::move(commit));
    }

    std::uint64_t m_version = 0;
};

} // namespace catkinloft
