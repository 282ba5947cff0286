#include "Control/LeaseKeeper.h"

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
constexpr std::uint64_t MaxRaise = 1'000'000;

using Milliseconds = std::chrono::milliseconds;

} // namespace

std::string Lease::encode() const
{
    return fmt::format(R"({{"holder":{},"fence":{},"attempt":{},"duration_ms":{}}})",
                       jsonQuoted(holder), fence, attempt,
                       std::chrono::duration_cast<Milliseconds>(duration).count());
}

std::optional<Lease> Lease::decode(std::string_view text)
{
    Json::Value root;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    if (!reader->parse(text.data(), text.data() + text.size(), &root, nullptr) || !root.isObject()
        || !root["holder"].isString() || !root["fence"].isUInt64() || !root["attempt"].isUInt64()
        || !root["duration_ms"].isInt64())
        return std::nullopt;
    return Lease{.holder = root["holder"].asString(),
                 .fence = root["fence"].asUInt64(),
                 .attempt = root["attempt"].asUInt64(),
                 .duration = Milliseconds(root["duration_ms"].asInt64())};
}

LeaseKeeper::LeaseKeeper(Options options)
    : m_options(std::move(options)),
      m_holder(fmt::format("{}/{:016x}", m_options.self, m_options.random()))
{
    m_next = m_options.clock.now() + jittered(m_options.takeInterval);
}

Duration LeaseKeeper::jittered(Duration d) const
{
    return scaled(d, 0.5 + uniform(m_options.random));
}

void LeaseKeeper::scheduleAfter(Duration delay)
{
    m_next = m_options.clock.now() + delay;
}

TimePoint LeaseKeeper::nextDeadline() const
{
    if (m_busy || (!m_wanted && !m_held && m_attempts.empty()))
        return TimePoint::max();
    return m_next;
}

std::optional<std::uint64_t> LeaseKeeper::fence() const
{
    if (!m_held || !m_wanted || m_options.clock.now() >= m_until)
        return std::nullopt;
    return m_row.fence;
}

void LeaseKeeper::setWanted(bool wanted)
{
    if (wanted == m_wanted)
        return;
    m_wanted = wanted;
    if (!wanted || !m_held)
        scheduleAfter(wanted ? jittered(m_options.takeInterval) : Duration::zero());
}

bool LeaseKeeper::raiseFence(std::uint64_t floor)
{
    if (floor > m_row.fence && floor - m_row.fence > MaxRaise)
        return false;
    m_fenceFloor = std::max(m_fenceFloor, floor + 1);
    if (m_held && m_row.fence < m_fenceFloor)
        scheduleAfter(Duration::zero());
    return true;
}

void LeaseKeeper::poll()
{
    const TimePoint now = m_options.clock.now();
    if (m_held && now >= m_until)
        lose("lease_lapsed");
    if (m_busy || now < nextDeadline())
        return;
    if (!m_held || !m_attempts.empty())
        look(); // Free, held by another router, or the answer to our write was lost.
    else if (m_wanted)
        write(m_holder, std::max(m_row.fence, m_fenceFloor));
    else
        give();
}

void LeaseKeeper::give()
{
    // From now on the row may become free at any time, even if the lease is wanted again. Only a
    // later write of this router that is found in the row rules that out.
    m_held = false;
    m_giving = true;
    write({}, m_row.fence);
}

void LeaseKeeper::lose(std::string_view event)
{
    m_held = false;
    Log::warning(event, {{"lease", m_options.key}, {"fence", m_row.fence}});
}

void LeaseKeeper::look()
{
    m_busy = true;
    m_options.table.read(
            {m_options.key},
            [this, alive = std::weak_ptr(m_alive)](const Result<std::vector<TableRow>> &rows) {
                if (alive.expired())
                    return;
                m_busy = false;
                scheduleAfter(jittered(m_options.takeInterval));
                if (rows)
                    saw(rows.value().empty()
                                ? TableRow{.key = m_options.key, .value = {}, .version = 0}
                                : rows.value().front());
            });
}

void LeaseKeeper::saw(const TableRow &row)
{
    if (!m_seen || row.version != m_version) {
        m_seenSince = m_options.clock.now();
        m_version = row.version;
        m_row = Lease::decode(row.value).value_or(Lease{});
        m_seen = true;
    }
    const auto own = m_row.holder == m_holder ? attemptById(m_row.attempt) : std::nullopt;
    if (own) {
        adopt(*own);
        return;
    }
    if (m_held && m_wanted)
        lose("lease_lost");
    m_held = false;
    if (m_wanted && isFree())
        write(m_holder, std::max(m_row.fence + 1, m_fenceFloor));
    else
        m_attempts.clear(); // One that takes effect later only blocks the row for one duration.
}

bool LeaseKeeper::isFree() const
{
    return m_version == 0 || m_row.holder.empty()
            || m_options.clock.now() - m_seenSince >= m_row.duration;
}

std::optional<LeaseKeeper::Attempt> LeaseKeeper::attemptById(std::uint64_t id) const
{
    if (m_current.id == id)
        return m_current;
    const auto it = std::find_if(m_attempts.begin(), m_attempts.end(),
                                 [&](const Attempt &a) { return a.id == id; });
    return it == m_attempts.end() ? std::nullopt : std::optional(*it);
}

void LeaseKeeper::write(std::string holder, std::uint64_t fence)
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
                                   wrote(answer, id);
                           });
}

void LeaseKeeper::wrote(const Result<TableCommit> &answer, std::uint64_t id)
{
    m_busy = false;
    const bool isDecided = answer || answer.error().verdict == Verdict::NotRun;
    if (!answer && isDecided)
        std::erase_if(m_attempts, [&](const Attempt &it) { return it.id == id; });
    scheduleAfter(jittered(m_options.takeInterval));
    // Whether a write succeeded is only determined from the content of the row: an answer to a
    // commit, a conflict and a read after a lost answer are handled the same way.
    if (answer && !answer.value().current.empty())
        saw(answer.value().current.front());
}

void LeaseKeeper::adopt(const Attempt &attempt)
{
    const bool isNew = attempt.id != m_current.id;
    m_current = attempt;
    if (isNew) {
        // The other writes expect an older version, so none of them can take effect any more.
        m_attempts.clear();
        m_giving = false;
    }
    m_until = attempt.sentAt + m_options.duration - m_options.margin;
    const bool taken = !m_held;
    m_held = !m_giving && m_options.clock.now() < m_until;
    if (m_held && taken)
        Log::info("lease_taken", {{"lease", m_options.key}, {"fence", m_row.fence}});
    if (!m_wanted)
        give();
    else if (!m_held) // Expired or being released, but not acquired by others: acquire it anew.
        write(m_holder, std::max(m_row.fence + 1, m_fenceFloor));
    else if (isNew && m_row.fence >= m_fenceFloor)
        scheduleAfter(m_options.renewInterval);
    else
        write(m_holder, std::max(m_row.fence, m_fenceFloor));
}

void LeaseKeeper::confirm(std::function<void(bool)> done)
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
