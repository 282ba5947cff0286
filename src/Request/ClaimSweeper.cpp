#include "Request/ClaimSweeper.h"

#include "Request/ClaimRow.h"

namespace catkinloft {

namespace {

/// Mean time between two scans over the whole fleet. One shard per second covers all shards in 18
/// hours, which is less than the retention of claims. It costs one scan per second and, at 100
/// calls per second, two transactions per second.
constexpr Duration FleetInterval = std::chrono::seconds(1);

constexpr std::size_t MaxScan = 512; ///< Rows of a shard; 100 calls per second leave 132 a day.
constexpr std::size_t MaxRemoved = 64; ///< Rows in one transaction.

} // namespace

ClaimSweeper::ClaimSweeper(Options options) : m_options(std::move(options))
{
    schedule();
}

ClaimSweeper::~ClaimSweeper()
{
    *m_alive = false;
}

void ClaimSweeper::schedule()
{
    // Jitter between 0.5 and 1.5 times the mean keeps the routers from synchronising.
    const auto n = static_cast<double>(std::max<std::size_t>(m_options.routers(), 1));
    const double jitter = 0.5 + uniform(m_options.random);
    m_next = m_options.clock.now() + scaled(FleetInterval, n * jitter);
}

void ClaimSweeper::poll()
{
    if (m_options.clock.now() < m_next)
        return;
    schedule();
    sweep();
}

void ClaimSweeper::sweep()
{
    const auto shard = static_cast<unsigned>(below(m_options.random, ClaimRow::Shards));
    m_options.table.scan(ClaimRow::shardPrefix(shard), MaxScan,
                         [this, alive = m_alive](const Result<std::vector<TableRow>> &rows) {
                             if (*alive && rows)
                                 remove(rows.value());
                         });
}

void ClaimSweeper::remove(const std::vector<TableRow> &rows)
{
    const WallTime now = m_options.clock.wallNow();
    TableTransaction transaction;
    for (const TableRow &it : rows) {
        const Result<ClaimRow> row = ClaimRow::decode(it.value);
        if (!row || row.value().expires > now || transaction.writes.size() == MaxRemoved)
            continue;
        transaction.expects.push_back({.key = it.key, .version = it.version});
        transaction.writes.push_back({.key = it.key, .value = {}});
    }
    if (transaction.writes.empty())
        return;
    const std::size_t n = transaction.writes.size();
    // After a conflict or a lost answer the rows are removed by a later scan.
    m_options.table.commit(std::move(transaction),
                           [this, alive = m_alive, n](const Result<TableCommit> &result) {
                               if (*alive && result && result.value().committed)
                                   m_removed += n;
                           });
}

} // namespace catkinloft
