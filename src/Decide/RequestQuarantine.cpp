#include "Decide/RequestQuarantine.h"

#include "Base/Log.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

constexpr Duration MaxHoldTime = 2h;

/// Connections to a replica break within milliseconds of its crash. The rest allows for the network
/// delay, which makes the ages in updates inaccurate.
constexpr Duration EndSpread = 250ms;

/// How long a request that is not held back stays suspected after its last crash.
constexpr Duration SuspicionLife = 10min;

/// How long a router remembers that a request was cleared, to inform routers that missed the
/// update.
constexpr Duration ClearedLife = 30s;

/// A record that was cleared less than this time ago is not updated, because a request that many
/// callers send completes many times per second.
constexpr Duration ClearedStep = 500ms;

/// Time for the updates of other routers to arrive. They may show that another request which shares
/// the crashes has more incidents.
constexpr Duration SettleTime = 200ms;

/// Average time between the trials of two routers, so that the second router receives the outcome
/// of the first trial.
constexpr Duration TrialSpacing = 2s;

/// Time after which a router may start another trial although the previous one has no outcome.
constexpr Duration TrialTime = 5s;

/// Number of messages that carry an update for all routers: the first one delivers it to the next
/// routers, the others compensate for lost datagrams. Each router that learns it forwards it.
constexpr int Tellings = 3;

/// Number of messages that carry an update to the routers that hold the evidence of a request.
constexpr int KeeperTellings = 2;

/// How often one of the held requests is announced again, for routers that started or were cut off.
/// All other routers do so, one request at a time.
constexpr Duration RepeatInterval = 2s;

/// Limits of one message. About 500 bytes, so that it fits into one datagram with its other
/// content.
constexpr std::size_t MaxToldRecords = 8;
constexpr std::size_t MaxToldEnds = 8;

/// Maximum number of first incidents that takeFirstEnds() returns in one call. One crash only
/// causes more when the replica ran more requests than this at the same time.
constexpr std::size_t MaxToldFirstEnds = 64;

/// No router remembers a crash for this long, so an update with a higher age is invalid.
constexpr Duration MaxToldAge = 24h;

/// When there are too many records, one in this many is dropped.
constexpr std::size_t DroppedPart = 4;

void logRelease(std::string_view fingerprint, std::string_view cause)
{
    Log::info("request_released", {{"fingerprint", fingerprint}, {"cause", cause}});
}

constexpr Duration ageAt(TimePoint now, TimePoint at)
{
    return std::max(Duration::zero(), now - at);
}

} // namespace

bool RequestQuarantine::isHeld(const std::string &fingerprint) const
{
    const auto found = m_records.find(fingerprint);
    return found != m_records.end() && found->second.isHeld;
}

std::optional<RequestQuarantine::Hold>
RequestQuarantine::admit(const std::string &fingerprint, std::span<const std::string> software)
{
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end() || !found->second.isHeld)
        return std::nullopt;
    Entry &entry = found->second;
    const TimePoint now = m_options.clock.now();
    const bool runsSame = std::any_of(software.begin(), software.end(), [&](const std::string &it) {
        return entry.record.hasSoftware(it);
    });
    if (runsSame || software.empty())
        entry.softwareGoneAt.reset();
    else if (!entry.softwareGoneAt)
        entry.softwareGoneAt = now;
    if (now < settledAt(entry))
        return std::nullopt;
    if (now < triableAt(entry) || now < entry.triedUntil)
        return describe(fingerprint, entry);
    entry.triedUntil = now + TrialTime;
    Log::info("quarantine_trial", {{"fingerprint", fingerprint}});
    return std::nullopt;
}

TimePoint RequestQuarantine::settledAt(const Entry &entry) const
{
    const bool hasOthers = m_options.routers() > 1;
    return std::min(entry.heldAt, entry.record.newest())
            + (hasOthers ? SettleTime : Duration::zero());
}

TimePoint RequestQuarantine::triableAt(const Entry &entry) const
{
    const TimePoint byTime = entry.record.newest() + holdTime(entry) + turnDelay(entry);
    if (!entry.softwareGoneAt)
        return byTime;
    return std::min(byTime, *entry.softwareGoneAt + turnDelay(entry));
}

Duration RequestQuarantine::turnDelay(const Entry &entry) const
{
    const Duration all = std::min<Duration>(HoldTime, TrialSpacing * m_options.routers());
    return scaled(all, entry.turn);
}

Duration RequestQuarantine::holdTime(const Entry &entry)
{
    Duration out = HoldTime;
    for (int n = entry.moments; n > MinMoments && out < MaxHoldTime; --n)
        out *= 2;
    return std::min(out, MaxHoldTime);
}

Duration RequestQuarantine::lifetime(const Entry &entry)
{
    if (entry.record.ends().empty())
        return ClearedLife;
    return entry.isHeld ? 2 * holdTime(entry) : SuspicionLife;
}

void RequestQuarantine::replicaEnded(const std::string &fingerprint, const std::string &replica,
                                     const std::string &software)
{
    Entry &entry = entryOf(fingerprint);
    if (!entry.record.add({.replica = replica, .software = software, .at = m_options.clock.now()}))
        return;
    entry.triedUntil = TimePoint::min();
    update(entry);
    spread(entry, true);
    if (m_options.hasNews)
        m_options.hasNews();
}

void RequestQuarantine::completed(const std::string &fingerprint)
{
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end())
        return;
    Entry &entry = found->second;
    const TimePoint now = m_options.clock.now();
    const bool wasSuspect = !entry.record.ends().empty();
    if (!wasSuspect && now - entry.record.clearedAt() < ClearedStep)
        return;
    if (!entry.record.clear(now))
        return;
    entry.triedUntil = TimePoint::min();
    update(entry);
    spread(entry, true);
    if (wasSuspect && m_options.hasNews)
        m_options.hasNews();
}

void RequestQuarantine::spread(Entry &entry, bool isOwn)
{
    entry.concernsAll = entry.concernsAll || entry.moments > 1;
    if (entry.concernsAll)
        entry.toTell = Tellings;
    else if (isOwn)
        entry.toTell = KeeperTellings;
}

int RequestQuarantine::suspicion(const std::string &fingerprint) const
{
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end())
        return 0;
    const Entry &entry = found->second;
    return entry.isHeld ? entry.moments : entry.unexplained;
}

void RequestQuarantine::noteFirstEnds(const CrashRecord &record)
{
    for (const ReplicaEnd &it : record.ends()) {
        const auto known = m_firstEnds.emplace(it.replica, it.at).first;
        known->second = std::min(known->second, it.at);
    }
}

/// \returns whether the replica was still running when the request was sent. One that is recorded
/// more than EndSpread after the first crash of this incarnation comes from a request that was sent
/// to the crashed replica, behind a proxy that still accepted connections.
bool RequestQuarantine::wasRunning(const ReplicaEnd &end) const
{
    const auto first = m_firstEnds.find(end.replica);
    return first == m_firstEnds.end() || end.at - first->second <= EndSpread;
}

void RequestQuarantine::count(Entry &entry) const
{
    entry.moments = entry.record.moments([this](const ReplicaEnd &end) { return wasRunning(end); });
    entry.unexplained = entry.record.moments([this](const ReplicaEnd &end) {
        return wasRunning(end) && !m_explained.contains(end.replica);
    });
}

void RequestQuarantine::update(Entry &entry)
{
    noteFirstEnds(entry.record);
    count(entry);
    // Only a request that is held back, or could be, affects the state of others.
    if (entry.isHeld || entry.moments >= MinMoments)
        decide();
}

void RequestQuarantine::decide()
{
    std::vector<Records::value_type *> suspects;
    for (Records::value_type &it : m_records) {
        if (it.second.isHeld || it.second.moments >= MinMoments)
            suspects.push_back(&it);
    }
    std::sort(suspects.begin(), suspects.end(), [](const auto *a, const auto *b) {
        return std::tuple(-a->second.moments, a->first) < std::tuple(-b->second.moments, b->first);
    });
    m_explained.clear();
    for (Records::value_type *it : suspects) {
        Entry &entry = it->second;
        count(entry);
        const bool held = entry.unexplained >= MinMoments && !isUndecided(entry, suspects);
        if (held != entry.isHeld)
            setHeld(it->first, entry, held);
        for (const ReplicaEnd &end : entry.record.ends()) {
            if (held)
                m_explained.insert(end.replica);
        }
    }
    for (auto &[fingerprint, entry] : m_records)
        count(entry);
}

/// \returns whether another request shares crashes with \a entry and has at least as many
/// incidents, so that only the next crash can show which one is the cause. With more than
/// MinMoments incidents the request that comes first in the order of decide() is held back.
bool RequestQuarantine::isUndecided(const Entry &entry,
                                    std::span<Records::value_type *const> suspects) const
{
    if (entry.moments > MinMoments)
        return false;
    const auto shares = [&](const ReplicaEnd &end) { return entry.record.has(end.replica); };
    return std::any_of(suspects.begin(), suspects.end(), [&](const Records::value_type *it) {
        const Entry &other = it->second;
        const std::span<const ReplicaEnd> ends = other.record.ends();
        return &other != &entry && other.moments >= entry.moments
                && std::any_of(ends.begin(), ends.end(), shares);
    });
}

void RequestQuarantine::setHeld(const std::string &fingerprint, Entry &entry, bool held)
{
    entry.isHeld = held;
    entry.softwareGoneAt.reset();
    if (held) {
        entry.turn = uniform(m_options.random);
        entry.heldAt = m_options.clock.now();
    }
    const Hold hold = describe(fingerprint, entry);
    if (held)
        Log::warning("request_quarantined",
                     {{"fingerprint", fingerprint},
                      {"replicas", fmt::format("{}", fmt::join(hold.replicas, " "))},
                      {"software", fmt::format("{}", fmt::join(hold.software, " "))},
                      {"for_ms", hold.remaining / 1ms}});
    else
        logRelease(fingerprint,
                   entry.record.ends().empty() ? "a run completed"
                                               : "another held request explains the crashes");
}

RequestQuarantine::Entry &RequestQuarantine::entryOf(const std::string &fingerprint)
{
    const auto found = m_records.find(fingerprint);
    if (found != m_records.end())
        return found->second;
    if (m_records.size() >= m_options.maxRecords)
        makeRoom();
    return m_records[fingerprint];
}

void RequestQuarantine::makeRoom()
{
    std::vector<Records::iterator> all;
    all.reserve(m_records.size());
    for (auto it = m_records.begin(); it != m_records.end(); ++it)
        all.push_back(it);
    const std::size_t n = std::max<std::size_t>(1, all.size() / DroppedPart);
    const auto isWeaker = [](const Records::iterator &a, const Records::iterator &b) {
        const Entry &x = a->second;
        const Entry &y = b->second;
        return std::pair(x.moments, x.record.newest()) < std::pair(y.moments, y.record.newest());
    };
    std::nth_element(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(n - 1), all.end(),
                     isWeaker);
    for (std::size_t i = 0; i < n; ++i)
        m_records.erase(all[i]);
    Log::warning("quarantine_records_dropped", {{"records", n}});
}

void RequestQuarantine::forgetOld()
{
    const TimePoint now = m_options.clock.now();
    const std::size_t forgotten = std::erase_if(m_records, [&](const auto &it) {
        const bool isOld = now - it.second.record.newest() > lifetime(it.second);
        if (isOld && it.second.isHeld)
            logRelease(it.first, "no crash within twice the hold time");
        return isOld;
    });
    if (forgotten == 0)
        return;
    m_firstEnds.clear();
    for (const auto &[fingerprint, entry] : m_records)
        noteFirstEnds(entry.record);
    decide();
}

void RequestQuarantine::merge(std::span<const CrashNews> news)
{
    for (const CrashNews &it : news) {
        const CrashRecord told = recordOf(it, m_options.clock.now());
        if (told.newest() == TimePoint::min())
            continue;
        Entry &entry = entryOf(it.fingerprint);
        if (entry.record.merge(told)) {
            update(entry);
            spread(entry, false);
        } else if (!told.ends().empty() && told.clearedAt() < entry.record.clearedAt()) {
            // The sender does not know yet that the request was cleared.
            entry.toTell = std::max(entry.toTell, 1);
        }
    }
}

CrashRecord RequestQuarantine::recordOf(const CrashNews &news, TimePoint now)
{
    CrashRecord out;
    if (news.clearedAge && *news.clearedAge <= MaxToldAge)
        out.clear(now - *news.clearedAge);
    for (const CrashNews::End &it : news.ends) {
        if (it.age <= MaxToldAge)
            out.add({.replica = it.replica, .software = it.software, .at = now - it.age});
    }
    return out;
}

void RequestQuarantine::repeatOne(TimePoint now)
{
    if (m_repeatedAt != TimePoint::min() && now - m_repeatedAt < RepeatInterval)
        return;
    Entry *next = nullptr;
    for (auto &[fingerprint, entry] : m_records) {
        if (entry.isHeld && entry.toTell == 0 && (!next || entry.toldAt < next->toldAt))
            next = &entry;
    }
    if (!next)
        return;
    next->toTell = 1;
    m_repeatedAt = now;
}

std::vector<CrashNews> RequestQuarantine::takeNews()
{
    forgetOld();
    const TimePoint now = m_options.clock.now();
    repeatOne(now);
    std::vector<Records::value_type *> due;
    for (Records::value_type &it : m_records) {
        if (it.second.concernsAll && it.second.toTell > 0)
            due.push_back(&it);
    }
    std::sort(due.begin(), due.end(), [](const auto *a, const auto *b) {
        const Entry &x = a->second;
        const Entry &y = b->second;
        return std::tuple(-x.moments, -x.toTell, x.toldAt)
                < std::tuple(-y.moments, -y.toTell, y.toldAt);
    });
    std::vector<CrashNews> out;
    std::size_t ends = 0;
    for (Records::value_type *it : due) {
        ends += it->second.record.ends().size();
        if (out.size() == MaxToldRecords || (!out.empty() && ends > MaxToldEnds))
            break;
        out.push_back(newsOf(it->first, it->second));
        --it->second.toTell;
        it->second.toldAt = now;
    }
    return out;
}

std::vector<CrashNews> RequestQuarantine::takeFirstEnds()
{
    std::vector<CrashNews> out;
    for (auto &[fingerprint, entry] : m_records) {
        if (out.size() == MaxToldFirstEnds)
            break;
        if (entry.concernsAll || entry.toTell == 0)
            continue;
        --entry.toTell;
        out.push_back(newsOf(fingerprint, entry));
    }
    return out;
}

CrashNews RequestQuarantine::newsOf(const std::string &fingerprint, const Entry &entry) const
{
    const TimePoint now = m_options.clock.now();
    CrashNews out{.fingerprint = fingerprint};
    if (entry.record.clearedAt() != TimePoint::min())
        out.clearedAge = ageAt(now, entry.record.clearedAt());
    for (const ReplicaEnd &it : entry.record.ends())
        out.ends.push_back(
                {.replica = it.replica, .software = it.software, .age = ageAt(now, it.at)});
    return out;
}

RequestQuarantine::Hold RequestQuarantine::describe(const std::string &fingerprint,
                                                    const Entry &entry) const
{
    Hold out{.fingerprint = fingerprint};
    std::set<std::string> software;
    for (const ReplicaEnd &it : entry.record.ends()) {
        out.replicas.push_back(it.replica);
        software.insert(it.software);
    }
    out.software.assign(software.begin(), software.end());
    const TimePoint until = std::max(triableAt(entry), entry.triedUntil);
    out.remaining = ageAt(until, m_options.clock.now());
    return out;
}

std::vector<RequestQuarantine::Hold> RequestQuarantine::held() const
{
    std::vector<Hold> out;
    for (const auto &[fingerprint, entry] : m_records) {
        if (entry.isHeld)
            out.push_back(describe(fingerprint, entry));
    }
    return out;
}

} // namespace catkinloft
