#include "Control/EngineDigest.h"

#include "Base/Hash.h"

#include <algorithm>
#include <cmath>

namespace catkinloft {

namespace {

constexpr std::uint8_t Version = 1;
constexpr std::size_t HeadBytes = 4;
constexpr std::size_t EntryBytes = 6;

/// Loads are encoded logarithmically with 16 steps per doubling, from 1/16 request up to about
/// 4,000.
constexpr double StepsPerDoubling = 16;
constexpr double SmallestLoad = 1.0 / 16;

std::uint8_t packLoad(double load)
{
    if (load < SmallestLoad)
        return 0;
    const double steps = std::round(std::log2(load / SmallestLoad) * StepsPerDoubling);
    return static_cast<std::uint8_t>(std::clamp(steps + 1, 1.0, 255.0));
}

double unpackLoad(std::uint8_t packed)
{
    return packed == 0 ? 0 : SmallestLoad * std::exp2((packed - 1) / StepsPerDoubling);
}

std::uint32_t shortId(std::string_view engine)
{
    return static_cast<std::uint32_t>(hash64(engine));
}

bool precedes(const EngineDigest::Entry &a, const EngineDigest::Entry &b)
{
    return a.reachable != b.reachable ? !a.reachable : a.load > b.load;
}

} // namespace

EngineDigest EngineDigest::of(const EngineTracker &tracker, std::span<const std::string> engines,
                              double factor)
{
    EngineDigest out;
    std::size_t n = 0;
    for (const std::string &it : engines) {
        const auto hint = tracker.hint(it);
        if (!hint)
            continue;
        out.entries.push_back(
                {.engine = shortId(it), .load = hint->load, .reachable = hint->reachable});
        n += hint->reachable ? 1 : 0;
        out.meanLoad += hint->reachable ? hint->load : 0;
    }
    out.meanLoad = n == 0 ? 0 : out.meanLoad / static_cast<double>(n);
    std::erase_if(out.entries, [&](const Entry &it) {
        return it.reachable && it.load <= factor * out.meanLoad;
    });
    std::sort(out.entries.begin(), out.entries.end(), &precedes);
    if (out.entries.size() > MaxEntries)
        out.entries.resize(MaxEntries);
    return out;
}

std::string EngineDigest::encode() const
{
    const std::size_t n = std::min(entries.size(), MaxEntries);
    std::string out;
    out.push_back(static_cast<char>(Version));
    out.push_back(static_cast<char>(packLoad(meanLoad)));
    out.push_back(static_cast<char>(n));
    out.push_back(0); // Reserved.
    for (std::size_t i = 0; i < n; ++i) {
        for (int shift = 0; shift < 32; shift += 8)
            out.push_back(static_cast<char>((entries[i].engine >> shift) & 0xff));
        out.push_back(static_cast<char>(packLoad(entries[i].load)));
        out.push_back(entries[i].reachable ? 1 : 0);
    }
    return base64UrlEncode(out);
}

std::optional<EngineDigest> EngineDigest::decode(std::string_view text)
{
    const std::string bytes = base64UrlDecode(text);
    const auto at = [&](std::size_t i) { return static_cast<std::uint8_t>(bytes[i]); };
    if (bytes.size() < HeadBytes || at(0) != Version || at(2) > MaxEntries
        || bytes.size() != HeadBytes + at(2) * EntryBytes)
        return std::nullopt;
    EngineDigest out;
    out.meanLoad = unpackLoad(at(1));
    for (std::size_t i = HeadBytes; i < bytes.size(); i += EntryBytes) {
        Entry entry{.load = unpackLoad(at(i + 4)), .reachable = at(i + 5) != 0};
        for (std::size_t k = 0; k < 4; ++k)
            entry.engine |= static_cast<std::uint32_t>(at(i + k)) << (8 * k);
        out.entries.push_back(entry);
    }
    return out;
}

PeerEngineDigests::PeerEngineDigests(const Clock &clock, Duration maxAge)
    : m_clock(clock), m_maxAge(maxAge)
{ }

void PeerEngineDigests::update(std::string_view from, const EngineDigest &digest)
{
    removeOld();
    m_byRouter[std::string(from)] = {.digest = digest, .at = m_clock.now()};
}

void PeerEngineDigests::removeOld()
{
    std::erase_if(m_byRouter,
                  [this](const auto &it) { return m_clock.now() - it.second.at > m_maxAge; });
}

std::optional<EngineHint> PeerEngineDigests::hint(std::string_view engine) const
{
    const std::uint32_t id = shortId(engine);
    std::optional<EngineHint> out;
    for (const auto &it : m_byRouter) {
        const Duration age = m_clock.now() - it.second.at;
        // While membership lists differ, two routers may own an engine; the newer digest wins.
        if (age > m_maxAge || (out && out->age <= age))
            continue;
        for (const EngineDigest::Entry &entry : it.second.digest.entries) {
            if (entry.engine == id)
                out = EngineHint{.load = entry.load, .age = age, .reachable = entry.reachable};
        }
    }
    return out;
}

} // namespace catkinloft
