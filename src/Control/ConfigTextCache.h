#pragma once

#include "Base/Error.h"
#include "Control/PeerState.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace catkinloft {

/// \brief Caches the newest configuration texts, compressed for routers that request them: whole,
/// or as a delta of a text that the requesting router has.
///
/// Handles an operator who repeatedly changes one route of a thousand while hundreds of routers
/// request the text from the same router. Prevents sending the whole text, which is 125 KB
/// compressed, to each of them for each change; that is more than what their callers send.
class ConfigTextCache
{
public:
    /// \brief Adds \a text of \a revision; ignored unless it is the newest revision.
    void add(std::uint64_t revision, const std::string &text);

    /// \brief Sets PeerState::config and PeerState::configBase for a router that has revision
    /// \a known.
    void describe(std::uint64_t known, PeerState &out);

    /// \returns the text that \a state contains, as whole or as a delta of \a known.
    static Result<std::string> unpackText(const PeerState &state, std::string_view known);

private:
    struct Entry
    {
        std::uint64_t revision = 0;
        std::string text;
    };

    void removeOld();

    std::deque<Entry> m_entries; ///< The newest last.
    std::map<std::uint64_t, PeerState::Packed> m_packed; ///< By base revision; 0: the whole text.
};

} // namespace catkinloft
