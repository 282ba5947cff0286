#pragma once

#include "Base/TableService.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace catkinloft {

/// \brief In-memory table service for tests, in which the test decides when each request takes
/// effect and is answered, and whether the request or the answer is lost.
class StepTable final : public TableService
{
public:
    enum class Fate {
        Answered,
        LostAnswer, ///< Takes effect; the caller gets the verdict MayHaveRun.
        LostRequest, ///< Takes no effect; the caller gets the verdict MayHaveRun.
        Refused, ///< Takes no effect; the caller gets the verdict NotRun.
        Late, ///< The caller gets the verdict MayHaveRun; takes effect in a later applyLate().
    };

    void read(std::vector<std::string> keys, Callback<std::vector<TableRow>> done) override
    {
        m_queue.push_back({.keys = std::move(keys), .transaction = {}, .read = std::move(done)});
    }

    void scan(std::string, std::size_t, Callback<std::vector<TableRow>> done) override
    {
        done(std::vector<TableRow>());
    }

    void commit(TableTransaction transaction, Callback<TableCommit> done) override
    {
        m_queue.push_back(
                {.keys = {}, .transaction = std::move(transaction), .commit = std::move(done)});
    }

    std::size_t waiting() const { return m_queue.size(); }
    std::size_t writes() const { return m_writes; }

    /// \brief Completes waiting request \a i with \a fate.
    void step(std::size_t i, Fate fate)
    {
        Request it = std::move(m_queue.at(i));
        m_queue.erase(m_queue.begin() + static_cast<std::ptrdiff_t>(i));
        if (it.read)
            answerRead(it, fate);
        else
            answerCommit(it, fate);
    }

    /// \brief Completes all waiting requests, also those that the answers cause.
    void run(Fate fate = Fate::Answered)
    {
        while (!m_queue.empty())
            step(0, fate);
    }

    /// \brief Applies the commits that were completed with Fate::Late.
    void applyLate()
    {
        for (const TableTransaction &it : std::exchange(m_late, {}))
            apply(it);
    }

    TableRow row(const std::string &key) const
    {
        const auto it = m_rows.find(key);
        return it == m_rows.end() ? TableRow{.key = key, .value = {}, .version = 0} : it->second;
    }

    bool ignoresVersions = false; ///< Breaks compare-and-set, to prove that a test detects it.

private:
    struct Request
    {
        std::vector<std::string> keys;
        TableTransaction transaction;
        Callback<std::vector<TableRow>> read = {};
        Callback<TableCommit> commit = {};
    };

    static Error errorOf(Fate fate)
    {
        return {.reason = Reason::StoreUnavailable,
                .verdict = fate == Fate::Refused ? Verdict::NotRun : Verdict::MayHaveRun};
    }

    void answerRead(const Request &it, Fate fate)
    {
        if (fate != Fate::Answered) {
            it.read(errorOf(fate));
            return;
        }
        std::vector<TableRow> rows;
        for (const std::string &key : it.keys)
            rows.push_back(row(key));
        it.read(std::move(rows));
    }

    void answerCommit(const Request &it, Fate fate)
    {
        TableCommit answer;
        if (fate == Fate::Answered || fate == Fate::LostAnswer)
            answer.committed = apply(it.transaction);
        if (fate == Fate::Late)
            m_late.push_back(it.transaction);
        if (fate != Fate::Answered) {
            it.commit(errorOf(fate));
            return;
        }
        for (const TableTransaction::Expect &expect : it.transaction.expects)
            answer.current.push_back(row(expect.key));
        it.commit(std::move(answer));
    }

    bool apply(const TableTransaction &transaction)
    {
        for (const TableTransaction::Expect &it : transaction.expects) {
            if (!ignoresVersions && row(it.key).version != it.version)
                return false;
        }
        for (const TableTransaction::Write &it : transaction.writes) {
            ++m_writes;
            if (it.value)
                m_rows[it.key] = {.key = it.key, .value = *it.value, .version = ++m_version};
            else
                m_rows.erase(it.key);
        }
        return true;
    }

    std::deque<Request> m_queue;
    std::vector<TableTransaction> m_late;
    std::map<std::string, TableRow> m_rows;
    std::uint64_t m_version = 0;
    std::size_t m_writes = 0;
};

} // namespace catkinloft
