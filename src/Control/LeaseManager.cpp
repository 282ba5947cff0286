#include "Control/LeaseManager.h"

#include "Base/Json.h"
#include "Base/Log.h"

#include <algorithm>

#include <fmt/format.h>
#include <json/json.h>

namespace catkinloft {

namespace {

/// Number of writes with an unknown outcome that are tracked. Each further one expects the same
/// version of the row, so at most one of them takes effect; the outcome of older ones is certain.
constexpr std::size_t MaxOpenAttempts = 16;

/// Largest increase that an engine may cause. A lease whose holder changes every minute needs two
/// years for that many numbers.
constexpr std::uint64_t MaxFenceRaise = 1'000'000;

using Milliseconds = std::chrono::milliseconds;

/// Longest lease that is read; a larger value would overflow a Duration.
constexpr Milliseconds MaxDuration = std::chrono::hours(24);

} // namespace

std::string Lease::encode() const
{
    return fmt::format(R"({{"holder":{},"fence":{},"attempt":{},"duration_ms":{}}})",
                       jsonQuoted(holder), fence, attempt,
                       std::chrono::duration_cast<Milliseconds>(duration).count());
}

std::optional<Lease> Lease::decode(std::string_view text)
{
    const Result<Json::Value> parsed = parseJsonObject(text);
    if (!parsed)
        return std::nullopt;
    const Json::Value &root = parsed.value();
    if (!root["holder"].isString() || !root["fence"].isUInt64() || !root["attempt"].isUInt64()
        || !root["duration_ms"].isInt64() || root["duration_ms"].asInt64() < 0
        || root["duration_ms"].asInt64() > MaxDuration.count())
        return std::nullopt;
    return Lease{.holder = root["holder"].asString(),
                 .fence = root["fence"].asUInt64(),
                 .attempt = root["attempt"].asUInt64(),
                 .duration = Milliseconds(root["duration_ms"].asInt64())};
}

LeaseManager::LeaseManager(Options options)
    : m_options(std::move(options)),
      m_holder(fmt::format("{}/{:016x}", m_options.self, m_options.random()))
{
    m_next = m_options.clock.now() + jittered(m_options.acquireInterval);
}

Duration LeaseManager::jittered(Duration d) const
{
    return scaled(d, 0.5 + uniform(m_options.random));
}

void LeaseManager::scheduleAfter(Duration delay)
{
    m_next = m_options.clock.now() + delay;
}

TimePoint LeaseManager::nextDeadline() const
{
    if (m_busy || (!m_wanted && !m_held && m_attempts.empty()))
        return TimePoint::max();
    return m_next;
}

std::optional<std::uint64_t> LeaseManager::fence() const
{
    if (!m_held || !m_wanted || m_options.clock.now() >= m_expiresAt)
        return std::nullopt;
    return m_lastRow.fence;
}

void LeaseManager::setWanted(bool wanted)
{
    if (wanted == m_wanted)
        return;
    m_wanted = wanted;
    if (!wanted || !m_held)
        scheduleAfter(wanted ? jittered(m_options.acquireInterval) : Duration::zero());
}

bool LeaseManager::raiseFence(std::uint64_t floor)
{
    if (floor > m_lastRow.fence && floor - m_lastRow.fence > MaxFenceRaise)
        return false;
    m_fenceFloor = std::max(m_fenceFloor, floor + 1);
    if (m_held && m_lastRow.fence < m_fenceFloor)
        scheduleAfter(Duration::zero());
    return true;
}

void LeaseManager::poll()
{
    const TimePoint now = m_options.clock.now();
    if (m_held && now >= m_expiresAt)
        markLost("lease_lapsed");
    if (m_busy || now < nextDeadline())
        return;
    if (!m_held || !m_attempts.empty())
        readRow(); // Free, held by another router, or the answer to our write was lost.
    else if (m_wanted)
        write(m_holder, std::max(m_lastRow.fence, m_fenceFloor));
    else
        release();
}

void LeaseManager::release()
{
    // From now on the row may become free at any time, even if the lease is wanted again. Only a
    // later write of this router that is found in the row rules that out.
    m_held = false;
    m_releasing = true;
    write({}, m_lastRow.fence);
}

void LeaseManager::markLost(std::string_view event)
{
    m_held = false;
    Log::warning(event, {{"lease", m_options.key}, {"fence", m_lastRow.fence}});
}

void LeaseManager::readRow()
{
    m_busy = true;
    m_options.table.read(
            {m_options.key},
            [this, alive = std::weak_ptr(m_alive)](const Result<std::vector<TableRow>> &rows) {
                if (alive.expired())
                    return;
                m_busy = false;
                scheduleAfter(jittered(m_options.acquireInterval));
                if (rows)
                    handleRow(rows.value().empty()
                                      ? TableRow{.key = m_options.key, .value = {}, .version = 0}
                                      : rows.value().front());
            });
}

void LeaseManager::handleRow(const TableRow &row)
{
    if (!m_hasRow || row.version != m_version) {
        m_firstSeenAt = m_options.clock.now();
        m_version = row.version;
        m_lastRow = Lease::decode(row.value).value_or(Lease{});
        m_hasRow = true;
    }
    const auto own = m_lastRow.holder == m_holder ? findAttempt(m_lastRow.attempt) : std::nullopt;
    if (own) {
        adoptWrite(*own);
        return;
    }
    if (m_held && m_wanted)
        markLost("lease_lost");
    m_held = false;
    if (m_wanted && isFree())
        write(m_holder, std::max(m_lastRow.fence + 1, m_fenceFloor));
    else
        m_attempts.clear(); // One that takes effect later only blocks the row for one duration.
}

bool LeaseManager::isFree() const
{
    return m_version == 0 || m_lastRow.holder.empty()
            || m_options.clock.now() - m_firstSeenAt >= m_lastRow.duration;
}

std::optional<LeaseManager::Attempt> LeaseManager::findAttempt(std::uint64_t id) const
{
    if (m_currentAttempt.id == id)
        return m_currentAttempt;
    const auto it = std::find_if(m_attempts.begin(), m_attempts.end(),
                                 [&](const Attempt &a) { return a.id == id; });
    return it == m_attempts.end() ? std::nullopt : std::optional(*it);
}

void LeaseManager::write(std::string holder, std::uint64_t fence)
{
    const Lease lease{.holder = std::move(holder),
                      .fence = fence,
                      .attempt = m_options.random(),
                      .duration = m_options.duration};
    m_attempts.push_back({.id = lease.attempt, .sentAt = m_options.clock.now()});
    if (m_attempts.size() > MaxOpenAttempts)
        m_attempts.erase(m_attempts.begin());
    TableTransaction transaction;
    transaction.expects.push_back({.key = m_options.key, .version = m_version});
    transaction.writes.push_back({.key = m_options.key, .value = lease.encode()});
    m_busy = true;
    m_options.table.commit(std::move(transaction),
                           [this, id = lease.attempt,
                            alive = std::weak_ptr(m_alive)](const Result<TableCommit> &answer) {
                               if (!alive.expired())
                                   handleCommit(answer, id);
                           });
}

void LeaseManager::handleCommit(const Result<TableCommit> &answer, std::uint64_t id)
{
    m_busy = false;
    const bool isDecided = answer || answer.error().verdict == Verdict::NotRun;
    if (!answer && isDecided)
        std::erase_if(m_attempts, [&](const Attempt &it) { return it.id == id; });
    scheduleAfter(jittered(m_options.acquireInterval));
    // Whether a write succeeded is only determined from the content of the row: an answer to a
    // commit, a conflict and a read after a lost answer are handled the same way.
    if (answer && !answer.value().current.empty())
        handleRow(answer.value().current.front());
}

void LeaseManager::adoptWrite(const Attempt &attempt)
{
    const bool isNew = attempt.id != m_currentAttempt.id;
    m_currentAttempt = attempt;
    if (isNew) {
        // The other writes expect an older version, so none of them can take effect any more.
        m_attempts.clear();
        m_releasing = false;
    }
    m_expiresAt = attempt.sentAt + m_options.duration - m_options.margin;
    const bool acquired = !m_held;
    m_held = !m_releasing && m_options.clock.now() < m_expiresAt;
    if (m_held && acquired)
        Log::info("lease_taken", {{"lease", m_options.key}, {"fence", m_lastRow.fence}});
    if (!m_wanted)
        release();
    else if (!m_held) // Expired or being released, but not acquired by others: acquire it anew.
        write(m_holder, std::max(m_lastRow.fence + 1, m_fenceFloor));
    else if (isNew && m_lastRow.fence >= m_fenceFloor)
        scheduleAfter(m_options.renewInterval);
    else
        write(m_holder, std::max(m_lastRow.fence, m_fenceFloor));
}

void LeaseManager::confirm(std::function<void(bool)> done)
{
    m_options.table.read({m_options.key},
                         [this, done = std::move(done), alive = std::weak_ptr(m_alive)](
                                 const Result<std::vector<TableRow>> &rows) {
                             if (alive.expired())
                                 return;
                             const auto lease = rows && !rows.value().empty()
                                     ? Lease::decode(rows.value().front().value)
                                     : std::nullopt;
                             done(lease && lease->holder == m_holder && lease->fence == fence());
                         });
}

} // namespace catkinloft
