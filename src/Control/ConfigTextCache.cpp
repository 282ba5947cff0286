#include "Control/ConfigTextCache.h"

#include "Base/Json.h"
#include "Control/TextDelta.h"

#include <algorithm>

namespace catkinloft {

namespace {

/// Number of texts cached: changes may arrive faster than routers request them.
constexpr std::size_t MaxTexts = 16;

/// Total bytes of the cached texts besides the newest. The smallest VMs have 160 MB of memory.
constexpr std::size_t MaxOldTextBytes = 2 * 1024 * 1024;

/// The text is JSON without line feeds, so it is split at the end of each object.
constexpr char Separator = '}';

std::string encodeDelta(const TextDelta &delta)
{
    Json::Value root(Json::objectValue);
    root["hunks"] = Json::Value(Json::arrayValue);
    for (const TextHunk &it : delta) {
        Json::Value hunk(Json::arrayValue);
        hunk.append(static_cast<Json::UInt64>(it.at));
        hunk.append(static_cast<Json::UInt64>(it.removed));
        hunk.append(it.inserted);
        root["hunks"].append(hunk);
    }
    return printJson(root);
}

Result<TextDelta> decodeDelta(std::string_view text)
{
    const Result<Json::Value> root = parseJsonObject(text);
    if (!root)
        return root.error();
    return readJson<TextDelta>(root.value(), Reason::MalformedRequest,
                               [](const Json::Value &delta) {
                                   TextDelta out;
                                   for (const Json::Value &it : delta["hunks"])
                                       out.push_back({.at = it[0U].asUInt64(),
                                                      .removed = it[1U].asUInt64(),
                                                      .inserted = it[2U].asString()});
                                   return out;
                               });
}

} // namespace

void ConfigTextCache::add(std::uint64_t revision, const std::string &text)
{
    if (!m_entries.empty() && m_entries.back().revision >= revision)
        return;
    m_entries.push_back({revision, text});
    m_packed.clear();
    removeOld();
}

void ConfigTextCache::removeOld()
{
    std::size_t bytes = 0;
    for (std::size_t i = 0; i + 1 < m_entries.size(); ++i)
        bytes += m_entries[i].text.size();
    while (m_entries.size() > 1 && (m_entries.size() > MaxTexts || bytes > MaxOldTextBytes)) {
        bytes -= m_entries.front().text.size();
        m_entries.pop_front();
    }
}

void ConfigTextCache::describe(std::uint64_t known, PeerState &out)
{
    if (m_entries.empty() || m_entries.back().revision <= known)
        return;
    const auto base = std::find_if(m_entries.begin(), m_entries.end(),
                                   [known](const Entry &it) { return it.revision == known; });
    out.configBase = base == m_entries.end() ? 0 : known;
    const auto packed = m_packed.find(out.configBase);
    if (packed != m_packed.end()) {
        out.config = packed->second;
        return;
    }
    const std::string &text = m_entries.back().text;
    out.config = PeerState::Packed::of(
            out.configBase == 0 ? text : encodeDelta(makeTextDelta(base->text, text, Separator)));
    m_packed.emplace(out.configBase, *out.config);
}

Result<std::string> ConfigTextCache::unpackText(const PeerState &state, std::string_view known)
{
    Result<std::string> text = state.config->text();
    if (!text || state.configBase == 0)
        return text;
    const Result<TextDelta> delta = decodeDelta(text.value());
    if (!delta)
        return delta.error();
    return applyTextDelta(known, delta.value(), Separator);
}

} // namespace catkinloft
