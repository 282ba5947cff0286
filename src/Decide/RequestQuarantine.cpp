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

/// How long a request that is not held back stays suspected after its last crash.
constexpr Duration SuspicionLifetime = 10min;

/// How long a router remembers that a request was cleared, to inform routers that missed the
/// update.
constexpr Duration ClearedLifetime = 30s;

/// A record that was cleared less than this time ago is not updated, because a request that many
/// callers send completes many times per second.
constexpr Duration ClearedResolution = 500ms;

/// Time for the updates of other routers to arrive. They may show that another request which shares
/// the crashes has more incidents.
constexpr Duration SettleTime = 200ms;

/// Average time between the trials of two routers, so that the second router receives the outcome
/// of the first trial.
constexpr Duration TrialSpacing = 2s;

/// Time after which a router may start another trial although the previous one has no outcome.
constexpr Duration TrialTimeout = 5s;

/// Number of messages that carry an update for all routers: the first one delivers it to the next
/// routers, the others compensate for lost datagrams. Each router that learns it forwards it.
constexpr int SendsToAll = 3;

/// Number of messages that carry an update to the routers that hold the evidence of a request.
constexpr int SendsToHolders = 2;

/// How often one of the held requests is announced again, for routers that started or were cut off.
/// All other routers do so, one request at a time.
constexpr Duration ReannounceInterval = 2s;

/// Limits of one message. About 500 bytes, so that it fits into one datagram with its other
/// content.
constexpr std::size_t MaxRecordsPerMessage = 8;
constexpr std::size_t MaxCrashesPerMessage = 8;

/// Maximum number of first incidents that takeFirstCrashes() returns in one call. One crash only
/// causes more when the replica ran more requests than this at the same time.
constexpr std::size_t MaxFirstCrashes = 64;

/// No router remembers a crash for this long, so an update with a higher age is invalid.
constexpr Duration MaxReceivedAge = 24h;

/// When there are too many records, one in this many is dropped.
constexpr std::size_t EvictionDivisor = 4;

/// Incidents without another explanation after which a request with MinIncidents in all is held in
/// doubt. Popular harmless requests share most of their crashes with other suspects.
constexpr int MinOwnIncidents = 2;

/// Shortest time between two log lines about the same suspect that is not held.
constexpr Duration NotHeldLogInterval = 1s;

/// Distinguishes the key of a prompt part from the fingerprint of a request.
constexpr std::string_view PartPrefix = "part:";

/// Separates the incarnation of a replica from the number of its restarts in the name of a crash.
constexpr char RestartSeparator = '+';

bool isPart(std::string_view suspect)
{
    return suspect.starts_with(PartPrefix);
}

void logRelease(std::string_view fingerprint, std::string_view cause)
{
    Log::info("request_released", {{"fingerprint", fingerprint}, {"cause", cause}});
}

constexpr Duration ageAt(TimePoint now, TimePoint at)
{
    return std::max(Duration::zero(), now - at);
}

} // namespace

std::string RequestQuarantine::partKey(std::string_view service, std::uint64_t id)
{
    return fmt::format("{}{}:{:x}", PartPrefix, service, id);
}

bool RequestQuarantine::applies(const Entry &entry, Suspects suspects) const
{
    return entry.isHeld
            && std::all_of(
                    entry.tiedParts.begin(), entry.tiedParts.end(), [&](const std::string &it) {
                        return std::find(suspects.begin(), suspects.end(), it) != suspects.end();
                    });
}

bool RequestQuarantine::isHeld(Suspects suspects) const
{
    return std::any_of(suspects.begin(), suspects.end(), [&](const std::string &it) {
        const auto found = m_records.find(it);
        return found != m_records.end() && applies(found->second, suspects);
    });
}

std::optional<RequestQuarantine::Hold>
RequestQuarantine::admit(Suspects suspects, std::span<const std::string> software)
{
    for (const std::string &it : suspects) {
        const auto found = m_records.find(it);
        if (found == m_records.end() || !applies(found->second, suspects))
            continue;
        if (std::optional<Hold> hold = admitOne(it, found->second, software))
            return hold;
    }
    return std::nullopt;
}

std::optional<RequestQuarantine::Hold>
RequestQuarantine::admitOne(const std::string &fingerprint, Entry &entry,
                            std::span<const std::string> software)
{
    const TimePoint now = m_options.clock.now();
    const bool runsSuspectSoftware =
            std::any_of(software.begin(), software.end(),
                        [&](const std::string &it) { return entry.record.hasSoftware(it); });
    if (runsSuspectSoftware || software.empty())
        entry.softwareGoneAt.reset();
    else if (!entry.softwareGoneAt)
        entry.softwareGoneAt = now;
    // A further incident while the updates arrive settles it as well.
    if (entry.incidents <= MinIncidents && now < settledAt(entry))
        return std::nullopt;
    if (now < nextTrialAt(entry))
        return describe(fingerprint, entry);
    beginTrial(fingerprint, entry);
    return std::nullopt;
}

void RequestQuarantine::beginTrial(const std::string &fingerprint, Entry &entry)
{
    entry.ownTrialAt = m_options.clock.now();
    entry.trialEndsAt = entry.ownTrialAt + TrialTimeout;
    entry.isOwnTrialSent = false;
    Log::info("quarantine_trial",
              {{"fingerprint", fingerprint},
               {"is_doubtful", entry.doubtfulSince.has_value()},
               {"crashes", entry.record.replicaCrashes().size()},
               {"incidents", entry.incidents},
               {"confirmed", entry.confirmedIncidents},
               {"unexplained", entry.unexplainedIncidents}});
}

bool RequestQuarantine::isOwnTrialRunning(const Entry &entry) const
{
    const TimePoint now = m_options.clock.now();
    return entry.ownTrialAt != TimePoint::min() && now - entry.ownTrialAt < TrialTimeout
            && now < entry.trialEndsAt;
}

/// Notes that another router runs a trial that times out at \a endsAt.
void RequestQuarantine::noteTrial(Entry &entry, TimePoint endsAt)
{
    // Routers announce a trial several times, and the delays of their messages differ.
    if (endsAt > entry.trialEndsAt + TrialTimeout / 2)
        ++entry.unresolvedTrials;
    entry.trialEndsAt = std::max(entry.trialEndsAt, endsAt);
}

void RequestQuarantine::forgetTrials(Entry &entry)
{
    entry.trialEndsAt = TimePoint::min();
    entry.unresolvedTrials = 0;
}

void RequestQuarantine::sent(Suspects suspects)
{
    bool isTrial = false;
    for (const std::string &it : suspects) {
        const auto found = m_records.find(it);
        if (found == m_records.end() || !isOwnTrialRunning(found->second)
            || std::exchange(found->second.isOwnTrialSent, true))
            continue;
        ++found->second.unresolvedTrials;
        scheduleAnnouncement(found->second, true);
        isTrial = true;
    }
    if (isTrial && m_options.announceNow)
        m_options.announceNow();
}

TimePoint RequestQuarantine::settledAt(const Entry &entry) const
{
    const bool hasPeers = m_options.routers() > 1;
    return std::min(entry.heldAt, entry.record.lastEventAt())
            + (hasPeers ? SettleTime : Duration::zero());
}

TimePoint RequestQuarantine::trialAllowedAt(const Entry &entry) const
{
    TimePoint out = entry.record.lastEventAt() + holdTime(entry);
    if (entry.softwareGoneAt)
        out = std::min(out, *entry.softwareGoneAt);
    if (entry.doubtfulSince)
        out = std::min(out, std::max(*entry.doubtfulSince, entry.record.lastEventAt()));
    return out + trialDelay(entry);
}

/// \returns when this router may begin a trial. After a trial without an outcome the routers wait
/// for different times again, because its time-out ends for all of them at the same moment.
TimePoint RequestQuarantine::nextTrialAt(const Entry &entry) const
{
    TimePoint out = std::max(trialAllowedAt(entry), entry.trialEndsAt);
    if (entry.unresolvedTrials == 0)
        return out;
    Duration backoff = Duration::zero();
    for (int n = 1; n < entry.unresolvedTrials && backoff < MinHoldTime; ++n)
        backoff = 2 * backoff + TrialTimeout;
    return std::max(out, entry.trialEndsAt + std::min(backoff, MinHoldTime) + trialDelay(entry));
}

Duration RequestQuarantine::trialDelay(const Entry &entry) const
{
    const Duration maxDelay = std::min<Duration>(MinHoldTime, TrialSpacing * m_options.routers());
    return scaled(maxDelay, entry.trialPosition);
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

void RequestQuarantine::replicaCrashed(Suspects suspects, const CrashReport &report)
{
    ReplicaCrash crash{.replica = crashName(report.replica, report.provenAt),
                       .software = report.software,
                       .at = report.at,
                       .isConfirmed = report.isConfirmed};
    // Routers exchange whole milliseconds, and the longest run time must not grow by rounding.
    if (report.sentAt != TimePoint::min())
        crash.runTime =
                std::chrono::floor<std::chrono::milliseconds>(ageAt(report.at, report.sentAt));
    for (const std::string &it : suspects)
        recordCrash(it, crash, report.sentAt);
}

/// \returns the name of the crash of \a replica that follows \a provenAt, when it was known to run:
/// that of a known crash, or a new one if the replica has restarted since the last known crash.
std::string RequestQuarantine::crashName(const std::string &replica, TimePoint provenAt) const
{
    for (int restarts = 0;; ++restarts) {
        std::string out = crashName(replica, restarts);
        const auto known = m_crashTimes.find(out);
        // A connection may be read for a moment after another one to the same replica broke.
        if (known == m_crashTimes.end() || provenAt <= known->second + CrashDetectionSpread)
            return out;
    }
}

std::string RequestQuarantine::crashName(const std::string &replica, int restarts)
{
    return restarts == 0 ? replica : fmt::format("{}{}{}", replica, RestartSeparator, restarts);
}

std::string_view RequestQuarantine::incarnationOf(std::string_view crashName)
{
    return crashName.substr(0, crashName.find(RestartSeparator));
}

void RequestQuarantine::recordCrash(const std::string &fingerprint, ReplicaCrash crash,
                                    TimePoint sentAt)
{
    Entry &entry = findOrInsert(fingerprint);
    crash.isTrial = entry.ownTrialAt != TimePoint::min() && sentAt >= entry.ownTrialAt;
    if (!entry.record.add(crash))
        return;
    if (crash.isTrial)
        Log::info("quarantine_trial_failed",
                  {{"fingerprint", fingerprint}, {"replica", crash.replica}});
    forgetTrials(entry);
    update(entry);
    logNotHeld(fingerprint, entry);
    scheduleAnnouncement(entry, true);
    if (m_options.announceNow)
        m_options.announceNow();
}

/// Logs what is missing to hold back a suspect with many crashes.
void RequestQuarantine::logNotHeld(const std::string &fingerprint, Entry &entry) const
{
    const TimePoint now = m_options.clock.now();
    const std::size_t n = entry.record.replicaCrashes().size();
    const bool isRecent = entry.notHeldLoggedAt != TimePoint::min()
            && now - entry.notHeldLoggedAt < NotHeldLogInterval;
    if (entry.isHeld || n < MinIncidents || isRecent)
        return;
    entry.notHeldLoggedAt = now;
    const bool isSuspectPart = isPart(fingerprint);
    Log::info("suspect_not_quarantined",
              {{"fingerprint", fingerprint},
               {"crashes", n},
               {"is_full", n == CrashRecord::MaxCrashes},
               {"incidents", entry.incidents},
               {"confirmed", entry.confirmedIncidents},
               {"unexplained", entry.unexplainedIncidents},
               {"tied_parts", entry.tiedParts.size()},
               {"is_part", isSuspectPart},
               {"other_completed", isSuspectPart && hasClearedOther(fingerprint, entry)}});
}

void RequestQuarantine::completed(Suspects suspects)
{
    for (const std::string &it : suspects)
        recordCompletion(it);
}

void RequestQuarantine::recordCompletion(const std::string &fingerprint)
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
    entry.isHeldElsewhere = false;
    forgetTrials(entry);
    entry.ownTrialAt = TimePoint::min();
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

int RequestQuarantine::suspicion(Suspects suspects) const
{
    int out = 0;
    for (const std::string &it : suspects) {
        const auto found = m_records.find(it);
        if (found == m_records.end())
            continue;
        const Entry &entry = found->second;
        out = std::max(out,
                       applies(entry, suspects) ? entry.incidents : entry.unexplainedIncidents);
    }
    return out;
}

void RequestQuarantine::updateCrashTimes(const CrashRecord &record)
{
    for (const ReplicaCrash &it : record.replicaCrashes()) {
        const auto known = m_crashTimes.emplace(it.replica, it.at).first;
        known->second = std::min(known->second, it.at);
    }
}

/// \returns whether the replica was still running when the request was sent. One that is recorded
/// more than CrashDetectionSpread after the first crash of this incarnation comes from a request
/// that was sent to the crashed replica, behind a proxy that still accepted connections.
bool RequestQuarantine::wasRunning(const ReplicaCrash &crash) const
{
    const auto first = m_crashTimes.find(crash.replica);
    return first == m_crashTimes.end() || crash.at - first->second <= CrashDetectionSpread;
}

std::optional<TimePoint> RequestQuarantine::crashedAt(const std::string &replica) const
{
    std::optional<TimePoint> out;
    for (int restarts = 0;; ++restarts) {
        const auto known = m_crashTimes.find(crashName(replica, restarts));
        if (known == m_crashTimes.end())
            return out;
        out = known->second;
    }
}

void RequestQuarantine::countIncidents(Entry &entry) const
{
    entry.incidents =
            entry.record.incidents([this](const ReplicaCrash &crash) { return wasRunning(crash); });
    entry.confirmedIncidents = entry.record.incidents(
            [this](const ReplicaCrash &crash) { return crash.isConfirmed && wasRunning(crash); });
    entry.unexplainedIncidents = entry.record.incidents([this](const ReplicaCrash &crash) {
        return wasRunning(crash) && !m_explained.contains(crash.replica);
    });
    entry.hasFailedTrial = hasFailedTrial(entry);
}

bool RequestQuarantine::hasFailedTrial(const Entry &entry) const
{
    const std::span<const ReplicaCrash> crashes = entry.record.replicaCrashes();
    return std::any_of(crashes.begin(), crashes.end(), [this](const ReplicaCrash &it) {
        return it.isTrial && it.isConfirmed && wasRunning(it) && !m_explained.contains(it.replica);
    });
}

void RequestQuarantine::update(Entry &entry)
{
    updateCrashTimes(entry.record);
    countIncidents(entry);
    // Only a request that is held back, or could be, affects the state of others.
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
    decideRequests(suspects);
    decideParts(suspects);
    for (auto &[fingerprint, entry] : m_records)
        countIncidents(entry);
}

void RequestQuarantine::decideRequests(std::span<Records::value_type *const> suspects)
{
    for (Records::value_type *it : suspects) {
        if (isPart(it->first))
            continue;
        Entry &entry = it->second;
        countIncidents(entry);
        if (entry.hasFailedTrial
            || (entry.unexplainedIncidents >= MinIncidents && !isTied(entry, suspects)))
            setState(*it, Finding::Proven);
        else
            setState(*it,
                     ownIncidents(entry, suspects) >= MinOwnIncidents ? Finding::Plausible
                                                                      : Finding::Unproven);
    }
}

/// Combinations of several parts come first: what they explain says nothing about a single part
/// that they have in common.
void RequestQuarantine::decideParts(std::span<Records::value_type *const> suspects)
{
    std::vector<Records::value_type *> parts;
    for (Records::value_type *it : suspects) {
        if (!isPart(it->first))
            continue;
        it->second.tiedParts = partsTiedWith(*it, suspects);
        parts.push_back(it);
    }
    std::stable_sort(parts.begin(), parts.end(), [](const auto *a, const auto *b) {
        return a->second.tiedParts.size() > b->second.tiedParts.size();
    });
    for (Records::value_type *it : parts) {
        Entry &entry = it->second;
        countIncidents(entry);
        const bool isDistinct = entry.isHeld || entry.isHeldElsewhere || !entry.tiedParts.empty()
                || hasClearedOther(it->first, entry);
        const bool isProven =
                entry.hasFailedTrial || (entry.unexplainedIncidents >= MinIncidents && isDistinct);
        setState(*it, isProven ? Finding::Proven : Finding::Unproven);
    }
}

void RequestQuarantine::setState(Records::value_type &suspect, Finding finding)
{
    Entry &entry = suspect.second;
    const bool isProven = finding == Finding::Proven;
    // Two requests that were running on the same replicas are equally suspected until the updates
    // of a crash have arrived; the one that was recorded first must not stay held.
    const bool wasSettled = entry.isHeld && m_options.clock.now() - entry.heldAt >= SettleTime;
    const bool isExplainedInPart =
            entry.unexplainedIncidents > 0 && entry.unexplainedIncidents < MinIncidents;
    const bool isDoubtful = finding == Finding::Plausible
            || (!isProven && entry.isHeld
                && (isExplainedInPart || (wasSettled && entry.unexplainedIncidents > 0)));
    const bool isUnconfirmed =
            isProven && entry.confirmedIncidents < MinIncidents && !entry.hasFailedTrial;
    if (!isDoubtful && !isUnconfirmed)
        entry.doubtfulSince.reset();
    else if (!entry.doubtfulSince)
        entry.doubtfulSince = m_options.clock.now();
    if (const bool held = isProven || isDoubtful; held != entry.isHeld)
        setHeld(suspect.first, entry, held);
    if (!isProven)
        return;
    for (const ReplicaCrash &it : suspect.second.record.replicaCrashes())
        m_explained.insert(it.replica);
}

/// \returns the other parts whose records have all crashes of \a suspect.
std::vector<std::string>
RequestQuarantine::partsTiedWith(const Records::value_type &suspect,
                                 std::span<Records::value_type *const> suspects) const
{
    std::vector<std::string> out;
    const std::span<const ReplicaCrash> crashes = suspect.second.record.replicaCrashes();
    for (const Records::value_type *it : suspects) {
        const CrashRecord &other = it->second.record;
        if (it != &suspect && isPart(it->first)
            && std::all_of(crashes.begin(), crashes.end(), [&](const ReplicaCrash &crash) {
                   return !wasRunning(crash) || other.mayHave(crash);
               }))
            out.push_back(it->first);
    }
    return out;
}

/// \returns whether another part in requests to the same service was cleared after the first crash
/// of \a part.
bool RequestQuarantine::hasClearedOther(std::string_view part, const Entry &entry) const
{
    const std::span<const ReplicaCrash> crashes = entry.record.replicaCrashes();
    const std::string_view service = part.substr(0, part.rfind(':') + 1);
    return !crashes.empty() && std::any_of(m_records.begin(), m_records.end(), [&](const auto &it) {
        return &it.second != &entry && it.first.starts_with(service)
                && it.second.record.clearedAt() > crashes.front().at;
    });
}

/// \returns whether another request shares crashes with \a entry and has at least as many
/// incidents, so that only the next crash can show which one is the cause. With more than
/// MinIncidents incidents the request that comes first in the order of decide() is held back.
bool RequestQuarantine::isTied(const Entry &entry,
                               std::span<Records::value_type *const> suspects) const
{
    if (entry.incidents > MinIncidents)
        return false;
    const auto shares = [&](const ReplicaCrash &crash) { return entry.record.has(crash.replica); };
    return std::any_of(suspects.begin(), suspects.end(), [&](const Records::value_type *it) {
        const Entry &other = it->second;
        const std::span<const ReplicaCrash> otherCrashes = other.record.replicaCrashes();
        return &other != &entry && !isPart(it->first) && other.incidents >= entry.incidents
                && std::any_of(otherCrashes.begin(), otherCrashes.end(), shares);
    });
}

/// \returns the number of incidents of \a entry without another explanation: no held request, and
/// no request with as many incidents, was running on the crashed replicas.
int RequestQuarantine::ownIncidents(const Entry &entry,
                                    std::span<Records::value_type *const> suspects) const
{
    const auto isShared = [&](const ReplicaCrash &crash) {
        return std::any_of(suspects.begin(), suspects.end(), [&](const Records::value_type *it) {
            const Entry &other = it->second;
            return &other != &entry && !isPart(it->first) && other.incidents >= entry.incidents
                    && other.record.has(crash.replica);
        });
    };
    return entry.record.incidents([&](const ReplicaCrash &crash) {
        return wasRunning(crash) && !m_explained.contains(crash.replica) && !isShared(crash);
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
                      {"with", fmt::format("{}", fmt::join(hold.tiedParts, " "))},
                      {"replicas", fmt::format("{}", fmt::join(hold.replicas, " "))},
                      {"software", fmt::format("{}", fmt::join(hold.software, " "))},
                      {"for_ms", hold.remaining / 1ms}});
    else
        logRelease(fingerprint,
                   entry.record.replicaCrashes().empty()
                           ? "a run completed"
                           : "other held requests explain the crashes");
    m_options.heldChanged();
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
            logRelease(it.first, "no crash within twice the hold time");
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
        const bool isNewlyHeld = it.isHeld && !std::exchange(entry.isHeldElsewhere, true);
        const bool isChanged = entry.record.merge(received);
        if (isChanged)
            entry.unresolvedTrials = 0;
        if (it.trialAge)
            noteTrial(entry, m_options.clock.now() - *it.trialAge + TrialTimeout);
        if (isChanged || isNewlyHeld) {
            update(entry);
            scheduleAnnouncement(entry, false);
        } else if (!received.replicaCrashes().empty()
                   && received.clearedAt() < entry.record.clearedAt()) {
            // The sender does not know yet that the request was cleared.
            entry.remainingSends = std::max(entry.remainingSends, 1);
        }
    }
}

CrashRecord RequestQuarantine::toRecord(const CrashUpdate &crashUpdate, TimePoint now)
{
    CrashRecord out;
    if (crashUpdate.clearedAge && *crashUpdate.clearedAge <= MaxReceivedAge)
        out.clear(now - *crashUpdate.clearedAge);
    for (const CrashUpdate::Crash &it : crashUpdate.replicaCrashes) {
        if (it.age <= MaxReceivedAge)
            out.add({.replica = it.replica,
                     .software = it.software,
                     .at = now - it.age,
                     .runTime = it.runTime,
                     .isConfirmed = it.isConfirmed,
                     .isTrial = it.isTrial});
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
    // A part that many requests share has the most incidents and fills a message alone, so the
    // other records take turns with it.
    std::sort(due.begin(), due.end(), [](const auto *a, const auto *b) {
        const Entry &x = a->second;
        const Entry &y = b->second;
        return std::tuple(-x.remainingSends, -x.incidents, x.lastSentAt)
                < std::tuple(-y.remainingSends, -y.incidents, y.lastSentAt);
    });
    std::vector<CrashUpdate> out;
    std::size_t crashCount = 0;
    for (Records::value_type *it : due) {
        crashCount += it->second.record.replicaCrashes().size();
        if (out.size() == MaxRecordsPerMessage
            || (!out.empty() && crashCount > MaxCrashesPerMessage))
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
    CrashUpdate out{.fingerprint = fingerprint, .isHeld = entry.isHeld && entry.tiedParts.empty()};
    if (entry.record.clearedAt() != TimePoint::min())
        out.clearedAge = ageAt(now, entry.record.clearedAt());
    if (entry.isOwnTrialSent && isOwnTrialRunning(entry))
        out.trialAge = ageAt(now, entry.ownTrialAt);
    for (const ReplicaCrash &it : entry.record.replicaCrashes())
        out.replicaCrashes.push_back({.replica = it.replica,
                                      .software = it.software,
                                      .age = ageAt(now, it.at),
                                      .runTime = it.runTime,
                                      .isConfirmed = it.isConfirmed,
                                      .isTrial = it.isTrial});
    return out;
}

RequestQuarantine::Hold RequestQuarantine::describe(const std::string &fingerprint,
                                                    const Entry &entry) const
{
    Hold out{.fingerprint = fingerprint, .tiedParts = entry.tiedParts};
    std::set<std::string> software;
    for (const ReplicaCrash &it : entry.record.replicaCrashes()) {
        out.replicas.push_back(it.replica);
        software.insert(it.software);
    }
    out.software.assign(software.begin(), software.end());
    out.remaining = ageAt(nextTrialAt(entry), m_options.clock.now());
    return out;
}

std::vector<CrashUpdate> RequestQuarantine::heldRecords(std::size_t n) const
{
    std::set<std::string_view> names;
    std::set<std::string_view> replicas;
    for (const auto &[fingerprint, entry] : m_records) {
        if (!entry.isHeld)
            continue;
        names.insert(fingerprint);
        names.insert(entry.tiedParts.begin(), entry.tiedParts.end());
        for (const ReplicaCrash &it : entry.record.replicaCrashes())
            replicas.insert(it.replica);
    }
    const auto isAlternative = [&](const Entry &entry) {
        const std::span<const ReplicaCrash> crashes = entry.record.replicaCrashes();
        return entry.incidents > 1
                && std::any_of(crashes.begin(), crashes.end(), [&](const ReplicaCrash &it) {
                       return replicas.contains(it.replica);
                   });
    };
    std::vector<const Records::value_type *> found;
    for (const Records::value_type &it : m_records) {
        if (names.contains(it.first) || isAlternative(it.second))
            found.push_back(&it);
    }
    std::sort(found.begin(), found.end(), [&](const auto *a, const auto *b) {
        return std::tuple(!names.contains(a->first), -a->second.incidents, a->first)
                < std::tuple(!names.contains(b->first), -b->second.incidents, b->first);
    });
    found.resize(std::min(n, found.size()));
    std::vector<CrashUpdate> out;
    out.reserve(found.size());
    for (const Records::value_type *it : found)
        out.push_back(makeUpdate(it->first, it->second));
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
