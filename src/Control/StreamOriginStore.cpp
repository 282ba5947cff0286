#include "Control/StreamOriginStore.h"

#include "Base/Log.h"
#include "Control/StreamOriginCodec.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view Rows = "stream-origins/";

/// Shortest interval between two rows of one router in a small fleet.
constexpr Duration MinInterval = 100ms;

/// Interval between transactions that only remove rows.
constexpr Duration RemovalInterval = 5s;

/// Rows removed in one transaction; the store allows 100 entries.
constexpr std::size_t MaxRemovals = 90;

/// Origins that wait for a store that is unavailable. The oldest ones are dropped.
constexpr std::size_t MaxPending = 4 * StreamOriginStore::MaxOriginsPerRow;

/// Maximum number of rows read. The share of the write rate bounds how many exist.
constexpr std::size_t MaxRows = 2000;

/// Shortest time between a write that failed and the next one. Refused calls load the store too.
constexpr Duration FailurePause = 1s;

/// What a router reads once holds for all streams that began before. Routers that run tell each
/// other the later ones.
constexpr Duration ReadInterval = 2s;

/// Interval between reads that fail, while callers resume many streams.
constexpr Duration RetryInterval = 200ms;

/// Interval between reads that only look for rows of lost routers.
constexpr Duration CleanupInterval = 10min;

} // namespace

Duration StreamOriginStore::interval() const
{
    const double rate = m_options.writesPerSecond * WriteShare;
    return std::max(MinInterval, fromSeconds(m_options.routers() / rate));
}

bool StreamOriginStore::isEnabled() const
{
    return m_options.writesPerSecond > 0 && interval() <= MaxInterval;
}

std::string StreamOriginStore::ownPrefix() const
{
    return fmt::format("{}{}/", Rows, m_options.router);
}

void StreamOriginStore::add(std::span<const StreamOrigin> origins)
{
    if (!isEnabled())
        return;
    const TimePoint now = m_options.clock.now();
    for (const StreamOrigin &it : origins)
        m_pending.push_back({.origin = it, .expiresAt = now + it.lifetime});
    while (m_pending.size() > MaxPending)
        m_pending.pop_front();
}

TimePoint StreamOriginStore::nextDeadline() const
{
    if (!m_pending.empty())
        return m_nextWriteAt;
    TimePoint out = TimePoint::max();
    for (const auto &[key, expiresAt] : m_rows)
        out = std::min(out, expiresAt);
    return out == TimePoint::max() ? out : std::max(m_nextWriteAt, out + RemovalInterval);
}

void StreamOriginStore::poll()
{
    const TimePoint now = m_options.clock.now();
    if (now < nextDeadline())
        return;
    m_nextWriteAt = now + interval();
    if (m_isWriting)
        return;
    if (now >= m_nextCleanupAt) {
        m_nextCleanupAt = now + CleanupInterval;
        read([] {});
    }
    TableTransaction transaction;
    collectPending(transaction);
    collectExpired(transaction);
    if (transaction.writes.empty())
        return;
    m_isWriting = true;
    m_options.table.commit(std::move(transaction), [this](const Result<TableCommit> &commit) {
        m_isWriting = false;
        written(commit, std::exchange(m_batch, {}));
    });
}

void StreamOriginStore::collectPending(TableTransaction &transaction)
{
    const TimePoint now = m_options.clock.now();
    std::vector<StreamOrigin> origins;
    TimePoint expiresAt = now;
    while (!m_pending.empty() && origins.size() < MaxOriginsPerRow) {
        Pending it = std::move(m_pending.front());
        m_pending.pop_front();
        if (it.expiresAt <= now)
            continue;
        it.origin.lifetime = it.expiresAt - now;
        expiresAt = std::max(expiresAt, it.expiresAt);
        origins.push_back(it.origin);
        m_batch.push_back(std::move(it));
    }
    if (origins.empty())
        return;
    const std::string key =
            fmt::format("{}{:x}-{}", ownPrefix(), m_options.incarnation, m_rowNumber++);
    m_rows[key] = expiresAt;
    transaction.writes.push_back({.key = key, .value = StreamOriginCodec::encodeOrigins(origins)});
}

void StreamOriginStore::collectExpired(TableTransaction &transaction)
{
    const TimePoint now = m_options.clock.now();
    std::size_t n = 0;
    for (auto it = m_rows.begin(); it != m_rows.end() && n < MaxRemovals;) {
        if (it->second > now) {
            ++it;
            continue;
        }
        transaction.writes.push_back({.key = it->first, .value = std::nullopt});
        it = m_rows.erase(it);
        ++n;
    }
}

void StreamOriginStore::written(const Result<TableCommit> &commit, std::span<const Pending> batch)
{
    const bool wasFailing = std::exchange(m_isFailing, !commit);
    if (commit)
        return;
    m_nextWriteAt = m_options.clock.now() + std::max(interval(), FailurePause);
    if (!wasFailing)
        Log::warning("stream_origins_not_stored",
                     {{"origins", batch.size()}, {"detail", commit.error().detail}});
    // They may have been stored all the same; a second row with them does no harm.
    m_pending.insert(m_pending.begin(), batch.begin(), batch.end());
    while (m_pending.size() > MaxPending)
        m_pending.pop_front();
}

void StreamOriginStore::read(std::function<void()> done)
{
    if (!isEnabled() || (!m_isReading && m_options.clock.now() < m_nextReadAt))
        return done();
    m_waiting.push_back(std::move(done));
    if (std::exchange(m_isReading, true))
        return;
    m_options.table.scan(std::string(Rows), MaxRows,
                         [this](const Result<std::vector<TableRow>> &rows) { rowsRead(rows); });
}

void StreamOriginStore::rowsRead(const Result<std::vector<TableRow>> &rows)
{
    m_isReading = false;
    m_nextReadAt = m_options.clock.now() + (rows ? ReadInterval : RetryInterval);
    if (!rows) {
        Log::warning("stream_origins_not_read", {{"detail", rows.error().detail}});
    } else if (!rows.value().empty()) {
        std::vector<StreamOrigin> origins;
        for (const TableRow &it : rows.value())
            takeRow(it, origins);
        Log::info("stream_origins_read",
                  {{"rows", rows.value().size()}, {"origins", origins.size()}});
        m_options.onRead(origins);
    }
    for (const auto &it : std::exchange(m_waiting, {}))
        it();
}

void StreamOriginStore::takeRow(const TableRow &row, std::vector<StreamOrigin> &origins)
{
    const Result<std::vector<StreamOrigin>> found = StreamOriginCodec::decodeOrigins(row.value);
    if (!found)
        return Log::warning("stream_origin_row_malformed", {{"row", row.key}});
    Duration lifetime = Duration::zero();
    for (const StreamOrigin &it : found.value()) {
        // When the row was written is not known, so its streams count as if that had been now.
        lifetime = std::max(lifetime, it.lifetime);
        origins.push_back(it);
    }
    if (row.key.starts_with(ownPrefix()) || m_options.isReader())
        m_rows.try_emplace(row.key, m_options.clock.now() + lifetime);
}

} // namespace catkinloft
