#pragma once

#include "Base/Error.h"
#include "Control/PeerState.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace catkinloft {

/// \brief The newest texts of the configuration, packed for routers that ask: whole, or as a change
/// of one that the asker has.
///
/// Load: an operator that changes one route of a thousand again and again, before hundreds of
/// routers that all ask the same one. Harm prevented: the whole text, packed, is 125 KB for each of
/// them and each change, more than what their callers send.
class ConfigTextCache
{
public:
    /// \brief Notes that \a text is that of \a revision, which is the newest.
    void add(std::uint64_t revision, const std::string &text);

    /// \brief Fills in PeerState::config and configBase for a router that has revision \a known.
    void describe(std::uint64_t known, PeerState &out);

    /// \returns the text that \a state brings to a router whose own is \a known.
    static Result<std::string> unpackText(const PeerState &state, std::string_view known);

private:
    struct Entry
    {
        std::uint64_t revision = 0;
        std::string text;
    };

    void removeOld();

    std::deque<Entry> m_entries; ///< The newest last.
    std::map<std::uint64_t, PeerState::Packed> m_packed; ///< By the revision that the asker has.
};

} // namespace catkinloft
