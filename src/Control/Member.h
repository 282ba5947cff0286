#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace catkinloft {

/// \brief What is believed about a router; each state overrides those before it at the same
/// incarnation.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect, ///< Did not answer; may still refute it by a higher incarnation.
    Leaving, ///< Said itself that it goes: no new callers, but it still answers.
    Dead, ///< Did not refute the suspicion in time, or said that it is gone.
};

/// \brief A router as membership knows it, and one item of news about it.
struct Member
{
    std::string name = {};
    std::string callerAddress = {}; ///< `ip:port`.
    std::string peerAddress = {}; ///< `ip:port`.
    std::string failureDomain = {};
    MemberState state = MemberState::Alive;
    std::uint64_t incarnation = 0; ///< Raised only by the member itself.
    std::uint32_t load = 0; ///< Requests in progress, as last heard.
    TimePoint loadReceivedAt = TimePoint::min(); ///< When `load` was heard here; not sent.

    /// \returns whether `load` was heard less than \a life before \a now.
    bool loadReceivedWithin(Duration life, TimePoint now) const
    {
        // Compared this way round because "never" is the least TimePoint: its age would overflow
        // and make a load that was never heard a fresh one.
        return loadReceivedAt > now - life;
    }
};

/// \returns whether news \a a replaces belief \a b about the same member.
///
/// Load: 890 routers that hear news in any order, twice or never. The order of (incarnation, state)
/// is total, so that all of them end at the same belief whatever the order was.
constexpr bool overrides(const Member &a, const Member &b)
{
    return a.incarnation != b.incarnation ? a.incarnation > b.incarnation : a.state > b.state;
}

} // namespace catkinloft
