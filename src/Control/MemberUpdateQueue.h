#pragma once

#include "Control/Member.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief News that is still to be passed on, each item a bounded number of times.
///
/// Load: 2,600 joins, leaves and deaths a day among 890 routers, and hundreds at once when a
/// failure domain fails. Harm prevented: a message that grows with the amount of news would break
/// the byte limit at just that time; here the news waits instead. What was sent least goes first,
/// so that a flood doesn't starve the last item.
class MemberUpdateQueue
{
public:
    /// \brief Queues \a update in place of older news about the same member.
    void add(const Member &update);

    /// \returns at most \a maxItems items; each is dropped after \a maxSends of them.
    std::vector<Member> take(std::size_t maxItems, int maxSends);

    std::size_t size() const { return m_items.size(); }

private:
    struct Item
    {
        Member update;
        int sends = 0;
    };
    std::map<std::string, Item> m_items;
};

} // namespace catkinloft
