#include "Request/GroupCommitter.h"

#include <algorithm>
#include <set>

namespace catkinloft {

namespace {

/// Maximum number of transactions that a write is part of. Each round either resolves a row or
/// follows a lost answer, so more than a few rounds mean that the store is unavailable.
constexpr int MaxRounds = 4;

const TableRow *findRow(const std::vector<TableRow> &rows, const std::string &key)
{
    const auto it = std::find_if(rows.begin(), rows.end(),
                                 [&](const TableRow &row) { return row.key == key; });
    return it == rows.end() ? nullptr : &*it;
}

/// \returns whether \a row shows that an earlier transaction, whose answer was lost, applied
/// \a write.
bool tookEffect(const GroupCommitter::Write &write, const TableRow &row)
{
    if (row.version == write.expected)
        return false;
    return write.value ? row.version != 0 && row.value == *write.value : row.version == 0;
}

} // namespace

GroupCommitter::GroupCommitter(Options options) : m_options(std::move(options)) { }

GroupCommitter::~GroupCommitter()
{
    *m_alive = false;
}

void GroupCommitter::submit(Write write, Done done)
{
    m_waiting.push_back({.write = std::move(write), .done = std::move(done)});
    if (m_waiting.size() >= m_options.maxRows || m_options.window == Duration::zero()) {
        flush();
    } else if (m_flushAt == TimePoint::max()) {
        m_flushAt = m_options.clock.now() + m_options.window;
        if (m_options.wake)
            m_options.wake();
    }
}

void GroupCommitter::poll()
{
    if (m_options.clock.now() >= m_flushAt)
        flush();
}

TimePoint GroupCommitter::nextDeadline() const
{
    return m_flushAt;
}

/// Removes the next batch from the queue, with at most one write per row: the store would check the
/// expectations of two writes first and then apply both.
GroupCommitter::Batch GroupCommitter::takeBatch()
{
    Batch out;
    Batch rest;
    std::set<std::string> keys;
    for (Entry &it : m_waiting) {
        const bool fits = out.size() < m_options.maxRows && !keys.contains(it.write.key);
        Batch &into = fits ? out : rest;
        into.push_back(std::move(it));
        if (fits)
            keys.insert(out.back().write.key);
    }
    m_waiting = std::move(rest);
    return out;
}

void GroupCommitter::flush()
{
    m_flushAt = TimePoint::max();
    while (!m_waiting.empty())
        commit(std::make_shared<Batch>(takeBatch()), 1);
}

void GroupCommitter::commit(const BatchPtr &batch, int round)
{
    TableTransaction transaction;
    for (const Entry &it : *batch) {
        transaction.expects.push_back({.key = it.write.key, .version = it.write.expected});
        transaction.writes.push_back({.key = it.write.key, .value = it.write.value});
    }
    ++m_transactions;
    m_options.table.commit(
            std::move(transaction),
            [this, alive = m_alive, batch, round](const Result<TableCommit> &result) {
                if (*alive)
                    committed(batch, round, result);
            });
}

void GroupCommitter::committed(const BatchPtr &batch, int round, const Result<TableCommit> &result)
{
    if (result && !result.value().committed) {
        resolveBatch(batch, result.value().current, round);
    } else if (result) {
        for (Entry &it : *batch) {
            const TableRow *row = findRow(result.value().current, it.write.key);
            it.done(WriteResult{.committed = true, .current = row ? *row : TableRow()});
        }
    } else if (result.error().verdict == Verdict::NotRun) {
        fail(*batch, result.error());
    } else {
        for (Entry &it : *batch)
            it.uncertain = true;
        readBack(batch, round);
    }
}

void GroupCommitter::readBack(const BatchPtr &batch, int round)
{
    std::vector<std::string> keys;
    for (const Entry &it : *batch)
        keys.push_back(it.write.key);
    m_options.table.read(
            std::move(keys),
            [this, alive = m_alive, batch, round](const Result<std::vector<TableRow>> &rows) {
                if (!*alive)
                    return;
                if (rows)
                    resolveBatch(batch, rows.value(), round);
                else
                    fail(*batch, rows.error());
            });
}

/// Completes the writes whose result follows from \a rows and retries the others without them.
void GroupCommitter::resolveBatch(const BatchPtr &batch, const std::vector<TableRow> &rows,
                                  int round)
{
    auto rest = std::make_shared<Batch>();
    for (Entry &it : *batch) {
        const TableRow *row = findRow(rows, it.write.key);
        if (!row || row->version == it.write.expected)
            rest->push_back(std::move(it));
        else
            it.done(WriteResult{.committed = tookEffect(it.write, *row), .current = *row});
    }
    if (rest->empty())
        return;
    if (round < MaxRounds)
        commit(rest, round + 1);
    else
        fail(*rest,
             {.reason = Reason::StoreUnavailable,
              .detail = "the write is unresolved after the last retry"});
}

void GroupCommitter::fail(Batch &batch, const Error &error)
{
    for (Entry &it : batch) {
        Error own = error;
        own.verdict = it.uncertain ? Verdict::MayHaveRun : Verdict::NotRun;
        it.done(own);
    }
}

} // namespace catkinloft
