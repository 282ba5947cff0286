#include "Control/ReplicaRegistry.h"

#include "Base/Hash.h"
#include "Base/Log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace catkinloft {

namespace {

/// How long a leaving replica without an entry is stored. Entries expire while the store is
/// unavailable, and those that are restored may be older than the replica's answer.
constexpr Duration LeavingRetention = std::chrono::minutes(2);

/// How long a removed replica is remembered. The copy from which a store is restored is seconds
/// old.
constexpr Duration RemovedRetention = std::chrono::minutes(1);

/// Number of former lists stored. A router requests changes within one or two heartbeats; during a
/// release the list changes a few times in that period.
constexpr std::size_t MaxPreviousLists = 8;

const ReplicaRecord *findRecord(const std::vector<ReplicaRecord> &list, const std::string &id)
{
    const auto it = std::find_if(list.begin(), list.end(),
                                 [&](const ReplicaRecord &record) { return record.id == id; });
    return it == list.end() ? nullptr : &*it;
}

/// Deadlines computed from different reads differ by the latency of the store.
bool sameColdDeadline(TimePoint a, TimePoint b)
{
    constexpr Duration Slack = std::chrono::milliseconds(200);
    return a - b <= Slack && b - a <= Slack;
}

std::vector<ReplicaRecord> withColdDeadlines(std::vector<ReplicaRecord> list,
                                             TimePoint readStartedAt)
{
    for (ReplicaRecord &it : list)
        it.coldUntil =
                it.coldDuration > Duration::zero() ? readStartedAt + it.coldDuration : TimePoint();
    return list;
}

std::uint64_t hashOf(const std::vector<ReplicaRecord> &list)
{
    std::uint64_t out = 1;
    for (const ReplicaRecord &it : list) {
        out = hashCombine(out, hash64(it.incarnation()));
        out = hashCombine(out, hash64(it.address));
        out = hashCombine(out,
                          (it.draining ? 1U : 0U) + (it.coldDuration > Duration::zero() ? 2U : 0U));
    }
    return out;
}

} // namespace

void ReplicaRegistry::apply(const ReplicaSnapshot &snapshot, TimePoint readStartedAt)
{
    replaceList(withColdDeadlines(snapshot.replicas, readStartedAt), snapshot.position,
                readStartedAt);
}

void ReplicaRegistry::replaceList(std::vector<ReplicaRecord> list, const StorePosition &position,
                                  TimePoint readStartedAt)
{
    // Lists are received from the store and from other routers and can overtake each other.
    if (position < m_position)
        return logOlderList(position);
    m_isIgnoringLists = false;
    detectOutage(readStartedAt);
    advanceTo(position);
    const std::uint64_t hash = hashOf(list);
    if (hash != m_hash)
        storePreviousList(hash);
    m_registered = std::move(list);
    noteRead(readStartedAt);
}

void ReplicaRegistry::logOlderList(const StorePosition &position)
{
    ++m_ignoredLists;
    // One list that was overtaken is ordinary; a series is logged once.
    if (!std::exchange(m_isIgnoringLists, true))
        Log::warning("replica_list_ignored",
                     {{"era", position.era},
                      {"store_version", position.version},
                      {"newer_era", m_position.era},
                      {"newer_version", m_position.version},
                      {"age_ms", age() / std::chrono::milliseconds(1)}});
}

void ReplicaRegistry::advanceTo(const StorePosition &position)
{
    if (position.isRestoredSince(m_position))
        storeRestored(position);
    m_position = std::max(m_position, position);
}

/// The copy lacks replicas that registered after it was taken, and still has those that left since.
void ReplicaRegistry::storeRestored(const StorePosition &position)
{
    const TimePoint now = m_options.clock.now();
    m_keepMissingUntil = now + m_options.reregistrationTime;
    m_restoredAt = now;
    for (auto &[incarnation, it] : m_leaving) {
        it.mayBeCopied = true;
        // A router that has just started knows only the entry in the copy.
        if (!it.hasSuccessor)
            it.reportedAt = now;
    }
    Log::warning("store_restored",
                 {{"era", position.era},
                  {"store_version", position.version},
                  {"era_before", m_position.era},
                  {"version_before", m_position.version},
                  {"removed_replicas", m_removed.size()}});
    m_restored.emit();
}

void ReplicaRegistry::storePreviousList(std::uint64_t hash)
{
    if (m_hash != 0)
        m_previousLists.push_back({.hash = m_hash, .replicas = std::move(m_registered)});
    if (m_previousLists.size() > MaxPreviousLists)
        m_previousLists.pop_front();
    m_hash = hash;
}

bool ReplicaRegistry::applyUpdate(const ReplicaUpdate &update, TimePoint readStartedAt)
{
    if (update.base != 0 && update.base != m_hash)
        return false;
    std::vector<ReplicaRecord> next = withColdDeadlines(update.replicas, readStartedAt);
    if (update.base != 0) {
        const std::set<std::string> removed(update.removed.begin(), update.removed.end());
        for (const ReplicaRecord &it : m_registered) {
            if (!removed.contains(it.id) && !findRecord(update.replicas, it.id))
                next.push_back(it);
        }
        // The order of the store, in which all routers hash the list.
        std::sort(next.begin(), next.end(),
                  [](const ReplicaRecord &a, const ReplicaRecord &b) { return a.id < b.id; });
    }
    replaceList(std::move(next), update.position, readStartedAt);
    return true;
}

ReplicaUpdate ReplicaRegistry::updateSince(std::uint64_t hash) const
{
    ReplicaUpdate out{.position = m_position};
    const auto base = std::find_if(m_previousLists.rbegin(), m_previousLists.rend(),
                                   [hash](const PreviousList &it) { return it.hash == hash; });
    const bool isKnown = base != m_previousLists.rend();
    out.base = isKnown ? hash : 0;
    for (const ReplicaRecord &it : m_registered) {
        const ReplicaRecord *before = isKnown ? findRecord(base->replicas, it.id) : nullptr;
        if (!before || hashOf({*before}) != hashOf({it}))
            out.replicas.push_back(it);
    }
    for (ReplicaRecord &it : out.replicas) {
        if (it.coldDuration > Duration::zero())
            it.coldDuration =
                    std::max<Duration>(std::chrono::milliseconds(1), it.coldUntil - m_readAt);
    }
    for (std::size_t i = 0; isKnown && i < base->replicas.size(); ++i) {
        if (!findRecord(m_registered, base->replicas[i].id))
            out.removed.push_back(base->replicas[i].id);
    }
    return out;
}

void ReplicaRegistry::update()
{
    std::vector<ReplicaRecord> next = m_registered;
    std::erase_if(next, [&](const ReplicaRecord &it) { return isRestoredEntry(it); });
    for (ReplicaRecord &it : next) {
        applyLeaving(it);
        if (m_restoredAt && m_options.clock.now() - *m_restoredAt < m_options.reregistrationTime)
            keepCold(it);
    }
    if (m_options.clock.now() >= m_keepMissingUntil) {
        m_retained.clear();
    } else {
        for (const ReplicaRecord &it : m_replicas) {
            if (!findRecord(next, it.id))
                retain(it, next);
        }
    }
    removeOldLeaving();
    if (!hasChanges(m_replicas, next))
        return;
    logChanges(next);
    noteRemoved(next);
    m_replicas = std::move(next);
    m_changed.emit();
}

/// \returns whether entries of the copy may be in the list. While the store is unavailable, a list
/// that was read before stays in use.
bool ReplicaRegistry::mayHaveCopiedEntries() const
{
    return m_restoredAt && m_readAt - *m_restoredAt < m_options.restoredEntryTimeout;
}

bool ReplicaRegistry::isRestoredEntry(const ReplicaRecord &record) const
{
    if (!mayHaveCopiedEntries())
        return false;
    const auto removed = m_removed.find(record.incarnation());
    return removed != m_removed.end() && removed->second <= *m_restoredAt;
}

void ReplicaRegistry::keepCold(ReplicaRecord &record) const
{
    const ReplicaRecord *before = findRecord(m_replicas, record.id);
    if (before && before->incarnation() == record.incarnation())
        record.coldUntil = std::max(record.coldUntil, before->coldUntil);
}

void ReplicaRegistry::noteRemoved(const std::vector<ReplicaRecord> &next)
{
    const TimePoint now = m_options.clock.now();
    std::erase_if(m_removed, [&](const auto &it) { return now - it.second > RemovedRetention; });
    for (const ReplicaRecord &it : m_replicas) {
        const ReplicaRecord *successor = findRecord(next, it.id);
        if (!successor || successor->incarnation() != it.incarnation())
            m_removed[it.incarnation()] = now;
    }
    for (const ReplicaRecord &it : next)
        m_removed.erase(it.incarnation());
}

void ReplicaRegistry::retain(const ReplicaRecord &record, std::vector<ReplicaRecord> &list)
{
    list.push_back(record);
    if (!m_retained.insert(record.incarnation()).second)
        return;
    Log::info("replica_retained", {{"replica", record.id}, {"service", record.service}});
}

void ReplicaRegistry::applyLeaving(ReplicaRecord &record)
{
    const auto known = m_leaving.find(record.incarnation());
    if (known == m_leaving.end() && !record.draining)
        return;
    LeavingReplica &it = known == m_leaving.end() ? m_leaving[record.incarnation()] : known->second;
    it.seenAt = m_options.clock.now();
    // Older values in the copy must not pass for another process under the same id.
    const bool isWrittenAgain = record.sequence > 0 && record.sequence >= it.sequence;
    it.mayBeCopied = it.mayBeCopied && mayHaveCopiedEntries() && !isWrittenAgain;
    if (it.mayBeCopied) {
        it.hasSuccessor = it.hasSuccessor && !record.draining;
        record.draining = !it.hasSuccessor;
        return;
    }
    const bool moved = !it.address.empty() && it.address != record.address;
    const bool startedAnew = record.sequence > 0 && record.sequence < it.sequence;
    it.hasSuccessor = !record.draining && (it.hasSuccessor || moved || startedAnew);
    it.address = record.address;
    it.sequence = record.sequence;
    record.draining = !it.hasSuccessor;
}

void ReplicaRegistry::markLeaving(const std::string &incarnation, LeavingSource source)
{
    LeavingReplica &it = m_leaving[incarnation];
    // The update of another router may refer to the former process.
    const bool isOld = it.hasSuccessor && source == LeavingSource::Router;
    if (isOld || (it.reportedAt && !it.hasSuccessor))
        return;
    it.hasSuccessor = false;
    it.reportedAt = it.seenAt = m_options.clock.now();
    for (const ReplicaRecord &record : m_replicas) {
        if (record.incarnation() != incarnation)
            continue;
        it.address = record.address;
        it.sequence = record.sequence;
    }
    Log::info("replica_leaving_told",
              {{"replica", incarnation},
               {"by", source == LeavingSource::Answer ? "its answer" : "a router"}});
    update();
}

void ReplicaRegistry::markLeavingAt(const std::string &address, const std::string &id)
{
    std::vector<std::string> there;
    for (const ReplicaRecord &it : m_replicas) {
        if (it.address == address && it.id != id)
            there.push_back(it.incarnation());
    }
    for (const std::string &it : there)
        markLeaving(it, LeavingSource::Answer);
}

std::vector<std::string> ReplicaRegistry::recentlyLeaving(Duration time, std::size_t most) const
{
    const TimePoint now = m_options.clock.now();
    std::vector<std::string> out;
    for (const auto &[incarnation, it] : m_leaving) {
        if (it.reportedAt && !it.hasSuccessor && now - *it.reportedAt <= time && out.size() < most)
            out.push_back(incarnation);
    }
    return out;
}

void ReplicaRegistry::removeOldLeaving()
{
    const TimePoint now = m_options.clock.now();
    std::erase_if(m_leaving,
                  [&](const auto &it) { return now - it.second.seenAt > LeavingRetention; });
}

bool ReplicaRegistry::confirm(std::uint64_t hash, const StorePosition &position,
                              TimePoint readStartedAt)
{
    if (hash != m_hash || hash == 0)
        return false;
    detectOutage(readStartedAt);
    advanceTo(position);
    noteRead(readStartedAt);
    return true;
}

void ReplicaRegistry::noteRead(TimePoint startedAt)
{
    const bool isNewer = startedAt > m_readAt;
    m_readAt = std::max(m_readAt, startedAt);
    update(); // The time for which missing replicas are retained may be over.
    if (isNewer)
        m_confirmed.emit();
}

void ReplicaRegistry::detectOutage(TimePoint readStartedAt)
{
    if (m_readAt == TimePoint::min() || readStartedAt - m_readAt <= m_options.outageThreshold)
        return;
    m_keepMissingUntil = m_options.clock.now() + m_options.reregistrationTime;
    Log::warning("replica_list_regained",
                 {{"missed_ms", (readStartedAt - m_readAt) / std::chrono::milliseconds(1)}});
}

bool ReplicaRegistry::hasChanges(const std::vector<ReplicaRecord> &a,
                                 const std::vector<ReplicaRecord> &b)
{
    return !std::equal(a.begin(), a.end(), b.begin(), b.end(),
                       [](const ReplicaRecord &x, const ReplicaRecord &y) {
                           return x.id == y.id && x.address == y.address && x.service == y.service
                                   && x.draining == y.draining && x.slots == y.slots
                                   && x.startedAt == y.startedAt
                                   && sameColdDeadline(x.coldUntil, y.coldUntil);
                       });
}

void ReplicaRegistry::logChanges(const std::vector<ReplicaRecord> &next) const
{
    for (const ReplicaRecord &it : next) {
        const ReplicaRecord *before = findRecord(m_replicas, it.id);
        if (!before)
            Log::info("replica_joined",
                      {{"replica", it.id},
                       {"service", it.service},
                       {"address", it.address},
                       {"draining", it.draining}});
        else if (it.startedAt != before->startedAt)
            Log::info("replica_restarted",
                      {{"replica", it.id},
                       {"service", it.service},
                       {"address", it.address},
                       {"started_ms", it.startedAt},
                       {"started_before_ms", before->startedAt}});
        else if (it.draining && !before->draining)
            Log::info("replica_draining", {{"replica", it.id}, {"service", it.service}});
    }
    for (const ReplicaRecord &it : m_replicas) {
        if (!findRecord(next, it.id))
            Log::info("replica_gone", {{"replica", it.id}, {"service", it.service}});
    }
}

Duration ReplicaRegistry::age() const
{
    return m_readAt == TimePoint::min() ? Duration::max() : m_options.clock.now() - m_readAt;
}

} // namespace catkinloft
