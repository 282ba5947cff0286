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
constexpr Duration DrainMemory = std::chrono::minutes(2);

/// Number of former lists stored. A router requests changes within one or two heartbeats; during a
/// release the list changes a few times in that period.
constexpr std::size_t MaxEarlier = 8;

const ReplicaRecord *findRecord(const std::vector<ReplicaRecord> &list, const std::string &id)
{
    const auto it = std::find_if(list.begin(), list.end(),
                                 [&](const ReplicaRecord &record) { return record.id == id; });
    return it == list.end() ? nullptr : &*it;
}

/// Deadlines computed from different reads differ by the latency of the store.
bool isColdAlike(TimePoint a, TimePoint b)
{
    constexpr Duration Slack = std::chrono::milliseconds(200);
    return a - b <= Slack && b - a <= Slack;
}

std::vector<ReplicaRecord> dated(std::vector<ReplicaRecord> list, TimePoint readBegan)
{
    for (ReplicaRecord &it : list)
        it.coldUntil = it.coldFor > Duration::zero() ? readBegan + it.coldFor : TimePoint();
    return list;
}

std::uint64_t hashOf(const std::vector<ReplicaRecord> &list)
{
    std::uint64_t out = 1;
    for (const ReplicaRecord &it : list) {
        out = hashCombine(out, hash64(it.incarnation()));
        out = hashCombine(out, hash64(it.address));
        out = hashCombine(out, (it.draining ? 1U : 0U) + (it.coldFor > Duration::zero() ? 2U : 0U));
    }
    return out;
}

} // namespace

void ReplicaRegistry::apply(const ReplicaSnapshot &snapshot, TimePoint readBegan)
{
    take(dated(snapshot.replicas, readBegan), snapshot.storeVersion, readBegan);
}

void ReplicaRegistry::take(std::vector<ReplicaRecord> list, std::uint64_t storeVersion,
                           TimePoint readBegan)
{
    // Lists are received from the store and from other routers and can overtake each other.
    if (storeVersion < m_storeVersion)
        return;
    noteOutage(readBegan);
    m_storeVersion = storeVersion;
    const std::uint64_t hash = hashOf(list);
    if (hash != m_hash)
        remember(hash);
    m_registered = std::move(list);
    m_readAt = std::max(m_readAt, readBegan);
    update();
}

void ReplicaRegistry::remember(std::uint64_t hash)
{
    if (m_hash != 0)
        m_earlier.push_back({.hash = m_hash, .replicas = std::move(m_registered)});
    if (m_earlier.size() > MaxEarlier)
        m_earlier.pop_front();
    m_hash = hash;
}

bool ReplicaRegistry::applyUpdate(const ReplicaUpdate &update, TimePoint readBegan)
{
    if (update.base != 0 && update.base != m_hash)
        return false;
    std::vector<ReplicaRecord> next = dated(update.replicas, readBegan);
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
    take(std::move(next), update.storeVersion, readBegan);
    return true;
}

ReplicaUpdate ReplicaRegistry::updateSince(std::uint64_t hash) const
{
    ReplicaUpdate out{.storeVersion = m_storeVersion};
    const auto base = std::find_if(m_earlier.rbegin(), m_earlier.rend(),
                                   [hash](const Earlier &it) { return it.hash == hash; });
    const bool isKnown = base != m_earlier.rend();
    out.base = isKnown ? hash : 0;
    for (const ReplicaRecord &it : m_registered) {
        const ReplicaRecord *before = isKnown ? findRecord(base->replicas, it.id) : nullptr;
        if (!before || hashOf({*before}) != hashOf({it}))
            out.replicas.push_back(it);
    }
    for (ReplicaRecord &it : out.replicas) {
        if (it.coldFor > Duration::zero())
            it.coldFor = std::max<Duration>(std::chrono::milliseconds(1), it.coldUntil - m_readAt);
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
    for (ReplicaRecord &it : next)
        applyDrained(it);
    if (m_options.clock.now() < m_keepMissingUntil) {
        for (const ReplicaRecord &it : m_replicas) {
            if (!findRecord(next, it.id))
                next.push_back(it);
        }
    }
    forgetDrained();
    if (!differ(m_replicas, next))
        return;
    logChanges(next);
    m_replicas = std::move(next);
    m_changed.emit();
}

void ReplicaRegistry::applyDrained(ReplicaRecord &record)
{
    const auto known = m_drained.find(record.incarnation());
    if (known == m_drained.end() && !record.draining)
        return;
    Drained &it = known == m_drained.end() ? m_drained[record.incarnation()] : known->second;
    const bool moved = !it.address.empty() && it.address != record.address;
    const bool startedAnew = record.sequence > 0 && record.sequence < it.sequence;
    it.isReplaced = !record.draining && (it.isReplaced || moved || startedAnew);
    it.address = record.address;
    it.sequence = record.sequence;
    it.seenAt = m_options.clock.now();
    record.draining = !it.isReplaced;
}

void ReplicaRegistry::noteLeaving(const std::string &incarnation, LeavingSource source)
{
    Drained &it = m_drained[incarnation];
    // The update of another router may refer to the former process.
    const bool isOld = it.isReplaced && source == LeavingSource::Router;
    if (isOld || (it.toldAt && !it.isReplaced))
        return;
    it.isReplaced = false;
    it.toldAt = it.seenAt = m_options.clock.now();
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

void ReplicaRegistry::noteLeavingAt(const std::string &address, const std::string &id)
{
    std::vector<std::string> there;
    for (const ReplicaRecord &it : m_replicas) {
        if (it.address == address && it.id != id)
            there.push_back(it.incarnation());
    }
    for (const std::string &it : there)
        noteLeaving(it, LeavingSource::Answer);
}

std::vector<std::string> ReplicaRegistry::toldLeaving(Duration time, std::size_t most) const
{
    const TimePoint now = m_options.clock.now();
    std::vector<std::string> out;
    for (const auto &[incarnation, it] : m_drained) {
        if (it.toldAt && !it.isReplaced && now - *it.toldAt <= time && out.size() < most)
            out.push_back(incarnation);
    }
    return out;
}

void ReplicaRegistry::forgetDrained()
{
    const TimePoint now = m_options.clock.now();
    std::erase_if(m_drained, [&](const auto &it) { return now - it.second.seenAt > DrainMemory; });
}

bool ReplicaRegistry::confirm(std::uint64_t hash, std::uint64_t storeVersion, TimePoint readBegan)
{
    if (hash != m_hash || hash == 0)
        return false;
    noteOutage(readBegan);
    m_storeVersion = std::max(m_storeVersion, storeVersion);
    m_readAt = std::max(m_readAt, readBegan);
    update(); // The time for which missing replicas are retained may be over.
    return true;
}

void ReplicaRegistry::noteOutage(TimePoint readBegan)
{
    if (m_readAt == TimePoint::min() || readBegan - m_readAt <= m_options.outageAfter)
        return;
    m_keepMissingUntil = m_options.clock.now() + m_options.returnTime;
    Log::warning("replica_list_regained",
                 {{"missed_ms", (readBegan - m_readAt) / std::chrono::milliseconds(1)}});
}

bool ReplicaRegistry::differ(const std::vector<ReplicaRecord> &a,
                             const std::vector<ReplicaRecord> &b)
{
    return !std::equal(a.begin(), a.end(), b.begin(), b.end(),
                       [](const ReplicaRecord &x, const ReplicaRecord &y) {
                           return x.id == y.id && x.address == y.address && x.service == y.service
                                   && x.draining == y.draining && x.slots == y.slots
                                   && x.startedAt == y.startedAt
                                   && isColdAlike(x.coldUntil, y.coldUntil);
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
