#pragma once

#include "Control/Member.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief Queue of membership updates to disseminate, each a bounded number of times.
///
/// Handles 2,600 joins, leaves and deaths a day among 890 routers, and hundreds at once when a
/// failure domain fails. Prevents messages from growing with the number of updates, which would
/// exceed the byte limit in exactly that situation: the updates wait instead. Those sent least
/// often go first, so that a burst does not starve any of them.
class MemberUpdateQueue
{
public:
    /// \brief Queues \a update in place of an older update about the same member.
    void add(const Member &update);

    /// \returns at most \a maxItems updates. Each is removed after it was returned \a maxSends
    /// times.
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
