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

/// All that runs on a replica breaks within milliseconds of its end; routers tell each other ages,
/// which are off by the time on the way.
constexpr Duration CrashDetectionSpread = 250ms;

/// How long a request that is not held back stays suspect after its last end.
constexpr Duration SuspicionLifetime = 10min;

/// How long a router remembers that a request was cleared, for those that lack the news.
constexpr Duration ClearedLifetime = 30s;

/// A record that was cleared so lately is not brought up to date: a request that many send
/// completes many times a second.
constexpr Duration ClearedResolution = 500ms;

/// Time for the news of other routers to come: a request that shares the ends may have more of
/// them.
constexpr Duration SettleTime = 200ms;

/// Between the trials of two routers: the second hears how that of the first went.
constexpr Duration TrialSpacing = 2s;

/// Longest trial that keeps others of the same router waiting.
constexpr Duration TrialTimeout = 5s;

/// Messages that carry a piece of news: the first to the routers that come next, the others for
/// datagrams that are lost. Each router that learns it passes it on.
constexpr int SendsToAll = 3;

/// The same to the keepers of a request's evidence.
constexpr int SendsToHolders = 2;

/// How often one of the requests that are held back is told again, for routers that started or were
/// cut off. They hear it from all others in turn.
constexpr Duration ReannounceInterval = 2s;

/// Of one message, which has to fit a datagram beside what else it carries: some 500 bytes.
constexpr std::size_t MaxRecordsPerMessage = 8;
constexpr std::size_t MaxCrashesPerMessage = 8;

/// Requests whose first end is told at once; more only run on a replica with as many places.
constexpr std::size_t MaxFirstCrashes = 64;

/// Nothing is remembered for so long; what is told as older is a mistake.
constexpr Duration MaxReceivedAge = 24h;

/// Part of the records that is dropped at once when there are too many.
constexpr std::size_t EvictionDivisor = 4;

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
    const bool runsSuspectSoftware =
            std::any_of(software.begin(), software.end(),
                        [&](const std::string &it) { return entry.record.hasSoftware(it); });
    if (runsSuspectSoftware || software.empty())
        entry.softwareGoneAt.reset();
    else if (!entry.softwareGoneAt)
        entry.softwareGoneAt = now;
    if (now < settledAt(entry))
        return std::nullopt;
    if (now < trialAllowedAt(entry) || now < entry.trialEndsAt)
        return describe(fingerprint, entry);
    entry.trialEndsAt = now + TrialTimeout;
    Log::info("quarantine_trial", {{"fingerprint", fingerprint}});
    return std::nullopt;
}

TimePoint RequestQuarantine::settledAt(const Entry &entry) const
{
    const bool hasPeers = m_options.routers() > 1;
    return std::min(entry.heldAt, entry.record.lastEventAt())
            + (hasPeers ? SettleTime : Duration::zero());
}

TimePoint RequestQuarantine::trialAllowedAt(const Entry &entry) const
{
    const TimePoint byTime = entry.record.lastEventAt() + holdTime(entry) + trialDelay(entry);
    if (!entry.softwareGoneAt)
        return byTime;
    return std::min(byTime, *entry.softwareGoneAt + trialDelay(entry));
}

Duration RequestQuarantine::trialDelay(const Entry &entry) const
{
    const Duration all = std::min<Duration>(MinHoldTime, TrialSpacing * m_options.routers());
    return scaled(all, entry.trialPosition);
}

Duration RequestQuarantine::holdTime(const Entry &entry)
{
    Duration out = MinHoldTime;
    for (int n = entry.incidents; n > MinIncidents && out < MaxHoldTime; --n)
        out *= 2;
    return std::min(out, MaxHoldTime);
}

Duration RequestQuarantine::lifetime(const Entry &entry)
{
    if (entry.record.replicaCrashes().empty())
        return ClearedLifetime;
    return entry.isHeld ? 2 * holdTime(entry) : SuspicionLifetime;
}

void RequestQuarantine::replicaCrashed(const std::string &fingerprint, const std::string &replica,
                                       const std::string &software)
{
    Entry &entry = findOrInsert(fingerprint);
    if (!entry.record.add({.replica = replica, .software = software, .at = m_options.clock.now()}))
        return;
    entry.trialEndsAt = TimePoint::min();
    update(entry);
    scheduleAnnouncement(entry, true);
    if (m_options.announceNow)
        m_options.announceNow();
}

void RequestQuarantine::completed(const std::string &fingerprint)
{
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end())
        return;
    Entry &entry = found->second;
    const TimePoint now = m_options.clock.now();
    const bool wasSuspect = !entry.record.replicaCrashes().empty();
    if (!wasSuspect && now - entry.record.clearedAt() < ClearedResolution)
        return;
    if (!entry.record.clear(now))
        return;
    entry.trialEndsAt = TimePoint::min();
    update(entry);
    scheduleAnnouncement(entry, true);
    if (wasSuspect && m_options.announceNow)
        m_options.announceNow();
}

void RequestQuarantine::scheduleAnnouncement(Entry &entry, bool isOwn)
{
    entry.announceToAll = entry.announceToAll || entry.incidents > 1;
    if (entry.announceToAll)
        entry.remainingSends = SendsToAll;
    else if (isOwn)
        entry.remainingSends = SendsToHolders;
}

int RequestQuarantine::suspicion(const std::string &fingerprint) const
{
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end())
        return 0;
    const Entry &entry = found->second;
    return entry.isHeld ? entry.incidents : entry.unexplainedIncidents;
}

void RequestQuarantine::updateCrashTimes(const CrashRecord &record)
{
    for (const ReplicaCrash &it : record.replicaCrashes()) {
        const auto known = m_crashTimes.emplace(it.replica, it.at).first;
        known->second = std::min(known->second, it.at);
    }
}

/// What broke later was sent to a replica that had ended, behind a proxy that still listens.
bool RequestQuarantine::wasRunning(const ReplicaCrash &end) const
{
    const auto first = m_crashTimes.find(end.replica);
    return first == m_crashTimes.end() || end.at - first->second <= CrashDetectionSpread;
}

void RequestQuarantine::countIncidents(Entry &entry) const
{
    entry.incidents =
            entry.record.incidents([this](const ReplicaCrash &end) { return wasRunning(end); });
    entry.unexplainedIncidents = entry.record.incidents([this](const ReplicaCrash &end) {
        return wasRunning(end) && !m_explained.contains(end.replica);
    });
}

void RequestQuarantine::update(Entry &entry)
{
    updateCrashTimes(entry.record);
    countIncidents(entry);
    // Others are only concerned by a request that is, or was, held back.
    if (entry.isHeld || entry.incidents >= MinIncidents)
        decide();
}

void RequestQuarantine::decide()
{
    std::vector<Records::value_type *> suspects;
    for (Records::value_type &it : m_records) {
        if (it.second.isHeld || it.second.incidents >= MinIncidents)
            suspects.push_back(&it);
    }
    std::sort(suspects.begin(), suspects.end(), [](const auto *a, const auto *b) {
        return std::tuple(-a->second.incidents, a->first)
                < std::tuple(-b->second.incidents, b->first);
    });
    m_explained.clear();
    for (Records::value_type *it : suspects) {
        Entry &entry = it->second;
        countIncidents(entry);
        const bool held = entry.unexplainedIncidents >= MinIncidents && !isTied(entry, suspects);
        if (held != entry.isHeld)
            setHeld(it->first, entry, held);
        for (const ReplicaCrash &end : entry.record.replicaCrashes()) {
            if (held)
                m_explained.insert(end.replica);
        }
    }
    for (auto &[fingerprint, entry] : m_records)
        countIncidents(entry);
}

/// \returns whether another request has as many of the same ends, so that the next one has to tell.
/// If both go on to share them, the order of decide() does.
bool RequestQuarantine::isTied(const Entry &entry,
                               std::span<Records::value_type *const> suspects) const
{
    if (entry.incidents > MinIncidents)
        return false;
    const auto shares = [&](const ReplicaCrash &end) { return entry.record.has(end.replica); };
    return std::any_of(suspects.begin(), suspects.end(), [&](const Records::value_type *it) {
        const Entry &other = it->second;
        const std::span<const ReplicaCrash> replicaCrashes = other.record.replicaCrashes();
        return &other != &entry && other.incidents >= entry.incidents
                && std::any_of(replicaCrashes.begin(), replicaCrashes.end(), shares);
    });
}

void RequestQuarantine::setHeld(const std::string &fingerprint, Entry &entry, bool held)
{
    entry.isHeld = held;
    entry.softwareGoneAt.reset();
    if (held) {
        entry.trialPosition = uniform(m_options.random);
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
                   entry.record.replicaCrashes().empty() ? "a run completed"
                                                         : "another request explains the ends");
}

RequestQuarantine::Entry &RequestQuarantine::findOrInsert(const std::string &fingerprint)
{
    const auto found = m_records.find(fingerprint);
    if (found != m_records.end())
        return found->second;
    if (m_records.size() >= m_options.maxRecords)
        evictRecords();
    return m_records[fingerprint];
}

void RequestQuarantine::evictRecords()
{
    std::vector<Records::iterator> all;
    all.reserve(m_records.size());
    for (auto it = m_records.begin(); it != m_records.end(); ++it)
        all.push_back(it);
    const std::size_t n = std::max<std::size_t>(1, all.size() / EvictionDivisor);
    const auto isWeaker = [](const Records::iterator &a, const Records::iterator &b) {
        const Entry &x = a->second;
        const Entry &y = b->second;
        return std::pair(x.incidents, x.record.lastEventAt())
                < std::pair(y.incidents, y.record.lastEventAt());
    };
    std::nth_element(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(n - 1), all.end(),
                     isWeaker);
    for (std::size_t i = 0; i < n; ++i)
        m_records.erase(all[i]);
    Log::warning("quarantine_records_dropped", {{"records", n}});
}

void RequestQuarantine::removeExpired()
{
    const TimePoint now = m_options.clock.now();
    const std::size_t removed = std::erase_if(m_records, [&](const auto &it) {
        const bool isExpired = now - it.second.record.lastEventAt() > lifetime(it.second);
        if (isExpired && it.second.isHeld)
            logRelease(it.first, "nobody has sent it for long");
        return isExpired;
    });
    if (removed == 0)
        return;
    m_crashTimes.clear();
    for (const auto &[fingerprint, entry] : m_records)
        updateCrashTimes(entry.record);
    decide();
}

void RequestQuarantine::merge(std::span<const CrashUpdate> updates)
{
    for (const CrashUpdate &it : updates) {
        const CrashRecord received = toRecord(it, m_options.clock.now());
        if (received.lastEventAt() == TimePoint::min())
            continue;
        Entry &entry = findOrInsert(it.fingerprint);
        if (entry.record.merge(received)) {
            update(entry);
            scheduleAnnouncement(entry, false);
        } else if (!received.replicaCrashes().empty()
                   && received.clearedAt() < entry.record.clearedAt()) {
            entry.remainingSends =
                    std::max(entry.remainingSends, 1); // The sender lacks that it was cleared.
        }
    }
}

CrashRecord RequestQuarantine::toRecord(const CrashUpdate &updates, TimePoint now)
{
    CrashRecord out;
    if (updates.clearedAge && *updates.clearedAge <= MaxReceivedAge)
        out.clear(now - *updates.clearedAge);
    for (const CrashUpdate::Crash &it : updates.replicaCrashes) {
        if (it.age <= MaxReceivedAge)
            out.add({.replica = it.replica, .software = it.software, .at = now - it.age});
    }
    return out;
}

void RequestQuarantine::reannounceOne(TimePoint now)
{
    if (m_reannouncedAt != TimePoint::min() && now - m_reannouncedAt < ReannounceInterval)
        return;
    Entry *next = nullptr;
    for (auto &[fingerprint, entry] : m_records) {
        if (entry.isHeld && entry.remainingSends == 0
            && (!next || entry.lastSentAt < next->lastSentAt))
            next = &entry;
    }
    if (!next)
        return;
    next->remainingSends = 1;
    m_reannouncedAt = now;
}

std::vector<CrashUpdate> RequestQuarantine::takeUpdates()
{
    removeExpired();
    const TimePoint now = m_options.clock.now();
    reannounceOne(now);
    std::vector<Records::value_type *> due;
    for (Records::value_type &it : m_records) {
        if (it.second.announceToAll && it.second.remainingSends > 0)
            due.push_back(&it);
    }
    std::sort(due.begin(), due.end(), [](const auto *a, const auto *b) {
        const Entry &x = a->second;
        const Entry &y = b->second;
        return std::tuple(-x.incidents, -x.remainingSends, x.lastSentAt)
                < std::tuple(-y.incidents, -y.remainingSends, y.lastSentAt);
    });
    std::vector<CrashUpdate> out;
    std::size_t replicaCrashes = 0;
    for (Records::value_type *it : due) {
        replicaCrashes += it->second.record.replicaCrashes().size();
        if (out.size() == MaxRecordsPerMessage
            || (!out.empty() && replicaCrashes > MaxCrashesPerMessage))
            break;
        out.push_back(makeUpdate(it->first, it->second));
        --it->second.remainingSends;
        it->second.lastSentAt = now;
    }
    return out;
}

std::vector<CrashUpdate> RequestQuarantine::takeFirstCrashes()
{
    std::vector<CrashUpdate> out;
    for (auto &[fingerprint, entry] : m_records) {
        if (out.size() == MaxFirstCrashes)
            break;
        if (entry.announceToAll || entry.remainingSends == 0)
            continue;
        --entry.remainingSends;
        out.push_back(makeUpdate(fingerprint, entry));
    }
    return out;
}

CrashUpdate RequestQuarantine::makeUpdate(const std::string &fingerprint, const Entry &entry) const
{
    const TimePoint now = m_options.clock.now();
    CrashUpdate out{.fingerprint = fingerprint};
    if (entry.record.clearedAt() != TimePoint::min())
        out.clearedAge = ageAt(now, entry.record.clearedAt());
    for (const ReplicaCrash &it : entry.record.replicaCrashes())
        out.replicaCrashes.push_back(
                {.replica = it.replica, .software = it.software, .age = ageAt(now, it.at)});
    return out;
}

RequestQuarantine::Hold RequestQuarantine::describe(const std::string &fingerprint,
                                                    const Entry &entry) const
{
    Hold out{.fingerprint = fingerprint};
    std::set<std::string> software;
    for (const ReplicaCrash &it : entry.record.replicaCrashes()) {
        out.replicas.push_back(it.replica);
        software.insert(it.software);
    }
    out.software.assign(software.begin(), software.end());
    const TimePoint until = std::max(trialAllowedAt(entry), entry.trialEndsAt);
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
