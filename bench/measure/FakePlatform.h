#pragma once

#include "Base/ObjectStore.h"
#include "Base/TableService.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace catkinloft::fakes {

/// \brief How a fake platform service handles a call.
enum class StoreMode {
    Up,
    Down, ///< Calls fail and have no effect.
    LoseAnswers, ///< Commits take effect, but their answers are lost.
};

using Later = std::function<void(std::function<void()>)>;

/// \brief A table service in memory.
class FakeTable final : public TableService
{
public:
    explicit FakeTable(Later later) : m_later(std::move(later)) { }

    void setMode(StoreMode mode) { m_mode = mode; }

    /// \brief Runs \a it once, before the next commit is decided, to create races.
    void beforeNextCommit(std::function<void()> it) { m_beforeCommit = std::move(it); }

    std::size_t reads() const { return m_reads; }

    void read(std::vector<std::string> keys, Callback<std::vector<TableRow>> done) override
    {
        ++m_reads;
        m_later([this, keys = std::move(keys), done = std::move(done)] {
            if (m_mode == StoreMode::Down)
                done(down(Verdict::NotRun));
            else
                done(rowsOf(keys));
        });
    }

    void scan(std::string prefix, std::size_t limit, Callback<std::vector<TableRow>> done) override
    {
        std::vector<TableRow> out;
        for (const auto &[key, row] : m_rows) {
            if (key.starts_with(prefix) && out.size() < limit)
                out.push_back(row);
        }
        m_later([out, done = std::move(done)] { done(out); });
    }

    void commit(TableTransaction transaction, Callback<TableCommit> done) override
    {
        m_later([this, transaction = std::move(transaction), done = std::move(done)] {
            if (const auto before = std::exchange(m_beforeCommit, {}))
                before();
            if (m_mode == StoreMode::Down) {
                done(down(Verdict::NotRun));
                return;
            }
            TableCommit answer = decide(transaction);
            if (m_mode == StoreMode::LoseAnswers)
                done(down(Verdict::MayHaveRun));
            else
                done(std::move(answer));
        });
    }

    TableCommit decide(const TableTransaction &transaction)
    {
        TableCommit out{.committed = true};
        for (const auto &it : transaction.expects)
            out.committed = out.committed && m_rows[it.key].version == it.version;
        for (const auto &it :
             out.committed ? transaction.writes : std::vector<TableTransaction::Write>()) {
            if (it.value)
                m_rows[it.key] = {.key = it.key, .value = *it.value, .version = m_next++};
            else
                m_rows.erase(it.key);
        }
        for (const auto &it : transaction.expects)
            out.current.push_back(rowsOf({it.key}).front());
        return out;
    }

private:
    static Error down(Verdict verdict)
    {
        return {.reason = Reason::StoreUnavailable, .verdict = verdict, .detail = "down"};
    }

    std::vector<TableRow> rowsOf(const std::vector<std::string> &keys) const
    {
        std::vector<TableRow> out;
        for (const std::string &it : keys) {
            const auto row = m_rows.find(it);
            out.push_back(row == m_rows.end() ? TableRow{.key = it, .value = {}} : row->second);
        }
        return out;
    }

    Later m_later;
    StoreMode m_mode = StoreMode::Up;
    std::function<void()> m_beforeCommit;
    std::map<std::string, TableRow> m_rows;
    std::uint64_t m_next = 1;
    std::size_t m_reads = 0;
};

/// \brief An object store in memory.
class FakeObjects final : public ObjectStore
{
public:
    explicit FakeObjects(Later later) : m_later(std::move(later)) { }

    void setMode(StoreMode mode) { m_mode = mode; }
    std::size_t gets() const { return m_gets; }

    void put(std::string name, std::string body, Callback<void> done) override
    {
        m_later([this, name = std::move(name), body = std::move(body), done = std::move(done)] {
            if (m_mode == StoreMode::Down) {
                done(Error{.reason = Reason::StoreUnavailable});
                return;
            }
            m_bodies[name] = body;
            done(outcome::success());
        });
    }

    void get(std::string name, Callback<std::optional<std::string>> done) override
    {
        ++m_gets;
        m_later([this, name = std::move(name), done = std::move(done)] {
            const auto it = m_bodies.find(name);
            if (m_mode == StoreMode::Down)
                done(Error{.reason = Reason::StoreUnavailable});
            else
                done(it == m_bodies.end() ? std::optional<std::string>() : it->second);
        });
    }

private:
    Later m_later;
    StoreMode m_mode = StoreMode::Up;
    std::map<std::string, std::string> m_bodies;
    std::size_t m_gets = 0;
};

} // namespace catkinloft::fakes
