#include "Decide/StreamOrigins.h"

#include "Base/Hash.h"
#include "Base/Log.h"

#include <algorithm>

#include <fmt/format.h>

namespace catkinloft {

namespace {

/// Digits of a key: 96 bits, too many to search for another stream with the same key.
constexpr std::size_t KeyDigits = 24;

} // namespace

std::string StreamOrigins::keyOf(std::string_view workspace, std::string_view id)
{
    // The length makes the concatenation unambiguous.
    return sha256Hex(fmt::format("{}:{}{}", workspace.size(), workspace, id)).substr(0, KeyDigits);
}

StreamOrigins::Record &StreamOrigins::store(const StreamOrigin &origin)
{
    removeExpired();
    const auto [it, isNew] = m_records.try_emplace(origin.stream);
    Record &record = it->second;
    if (isNew)
        record.software = origin.software;
    else if (record.software != origin.software)
        return record;
    const TimePoint expiresAt = m_options.clock.now() + origin.lifetime;
    if (expiresAt > record.expiresAt) {
        m_expiry.erase({record.expiresAt, origin.stream});
        record.expiresAt = expiresAt;
        m_expiry.emplace(expiresAt, origin.stream);
    }
    return record;
}

void StreamOrigins::begin(const StreamOrigin &origin, bool isAmbiguous)
{
    Record &record = store(origin);
    if (record.software != origin.software) {
        Log::warning("stream_id_reused",
                     {{"stream", origin.stream},
                      {"software", record.software},
                      {"other_software", origin.software}});
        return;
    }
    record.isOwn = true;
    if (isAmbiguous)
        announce(origin.stream, record);
}

void StreamOrigins::merge(std::span<const StreamOrigin> origins)
{
    for (const StreamOrigin &it : origins)
        store(it);
}

void StreamOrigins::announceAll()
{
    removeExpired();
    for (auto &[stream, record] : m_records) {
        if (record.isOwn && !record.isAnnounced)
            announce(stream, record);
    }
}

void StreamOrigins::announce(const std::string &stream, Record &record)
{
    record.isAnnounced = true;
    m_pending.push_back(stream);
    if (m_options.announceNow)
        m_options.announceNow();
}

std::optional<std::string> StreamOrigins::find(const std::string &stream) const
{
    const auto it = m_records.find(stream);
    if (it == m_records.end() || it->second.expiresAt <= m_options.clock.now())
        return std::nullopt;
    return it->second.software;
}

std::vector<StreamOrigin> StreamOrigins::takeAnnouncements()
{
    const TimePoint now = m_options.clock.now();
    std::vector<StreamOrigin> out;
    for (const std::string &it : std::exchange(m_pending, {})) {
        const auto record = m_records.find(it);
        if (record != m_records.end() && record->second.expiresAt > now)
            out.push_back({.stream = it,
                           .software = record->second.software,
                           .lifetime = record->second.expiresAt - now});
    }
    return out;
}

void StreamOrigins::removeExpired()
{
    const TimePoint now = m_options.clock.now();
    while (!m_expiry.empty()
           && (m_expiry.begin()->first <= now || m_records.size() >= m_options.maxRecords)) {
        if (m_expiry.begin()->first > now)
            m_completeSince = now;
        m_records.erase(m_expiry.begin()->second);
        m_expiry.erase(m_expiry.begin());
    }
}

bool wouldKnowOrigin(const StreamOriginReport &report, Duration window)
{
    return report.rememberedFor >= window && report.listAge <= StreamOrigins::MaxListAge;
}

std::optional<std::string> proveOrigin(const StreamOriginEvidence &evidence)
{
    std::set<std::string> known;
    std::set<std::string> candidates;
    bool isWatched = false;
    for (const StreamOriginReport &it : evidence.reports) {
        if (it.software)
            known.insert(*it.software);
        candidates.insert(it.candidates.begin(), it.candidates.end());
        isWatched = isWatched
                || (it.observedFor >= evidence.window && it.listAge <= StreamOrigins::MaxListAge);
    }
    // The routers contradict each other only if callers use the same id for two streams.
    if (!known.empty())
        return known.size() == 1 ? std::optional(*known.begin()) : std::nullopt;
    const bool isConfirmed = evidence.isListRead
            || (evidence.keepers > 0 && evidence.answeredKeepers >= evidence.keepers);
    if (isConfirmed && isWatched && candidates.size() == 1)
        return *candidates.begin();
    return std::nullopt;
}

} // namespace catkinloft
