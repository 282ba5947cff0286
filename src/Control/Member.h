#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace catkinloft {

/// \brief State of a router. At the same incarnation, each state overrides those before it.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect, ///< Did not answer; may still refute this with a higher incarnation.
    Leaving, ///< Announced that it leaves: takes no new callers but still answers.
    Dead, ///< Did not refute the suspicion in time, or failed while leaving.
};

/// \brief A router in the member list; also one update about it.
struct Member
{
    std::string name = {};
    std::string callerAddress = {}; ///< `ip:port`.
    std::string peerAddress = {}; ///< `ip:port`.
    std::string failureDomain = {};
    MemberState state = MemberState::Alive;
    std::uint64_t incarnation = 0; ///< Raised only by the member itself.
    std::uint32_t load = 0; ///< Requests in progress, as last received.
    TimePoint loadReceivedAt = TimePoint::min(); ///< When `load` was received; not sent.

    /// \returns whether `load` was received less than \a life before \a now.
    bool loadReceivedWithin(Duration life, TimePoint now) const
    {
        // "Never" is the smallest TimePoint. Computing its age would overflow, and a load that was
        // never received would count as fresh.
        return loadReceivedAt > now - life;
    }
};

/// \returns whether update \a a replaces the known state \a b of the same member.
///
/// Handles 890 routers that receive updates in any order, twice or never. The order of
/// (incarnation, state) is total, so that all routers arrive at the same state whatever the order
/// of the updates.
constexpr bool overrides(const Member &a, const Member &b)
{
    return a.incarnation != b.incarnation ? a.incarnation > b.incarnation : a.state > b.state;
}

} // namespace catkinloft
