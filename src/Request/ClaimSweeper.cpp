#include "Request/ClaimSweeper.h"

#include "Request/ClaimRow.h"

namespace catkinloft {

namespace {

/// One part a second over the whole fleet visits all parts in 18 hours, less than claims are kept,
/// and costs one scan and, at 100 calls a second, two transactions a second.
constexpr Duration FleetInterval = std::chrono::seconds(1);

constexpr std::size_t MaxScan = 512; ///< Rows of one part; 100 calls a second leave 132 a day.
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
    // Spread from half to one and a half times the mean, so that routers do not march in step.
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
    // A conflict or a lost answer is left to the next visit.
    m_options.table.commit(std::move(transaction),
                           [this, alive = m_alive, n](const Result<TableCommit> &result) {
                               if (*alive && result && result.value().committed)
                                   m_removed += n;
                           });
}

} // namespace catkinloft
