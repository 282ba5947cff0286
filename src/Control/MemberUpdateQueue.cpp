#include "Control/MemberUpdateQueue.h"

#include <algorithm>

namespace catkinloft {

void MemberUpdateQueue::add(const Member &update)
{
    m_items[update.name] = {.update = update, .sends = 0};
}

std::vector<Member> MemberUpdateQueue::take(std::size_t maxItems, int maxSends)
{
    std::vector<Item *> order;
    for (auto &[name, item] : m_items)
        order.push_back(&item);
    const std::size_t n = std::min(maxItems, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n), order.end(),
                      [](const Item *a, const Item *b) { return a->sends < b->sends; });
    std::vector<Member> out;
    for (std::size_t i = 0; i < n; ++i) {
        out.push_back(order[i]->update);
        ++order[i]->sends;
    }
    std::erase_if(m_items, [&](const auto &it) { return it.second.sends >= maxSends; });
    return out;
}

} // namespace catkinloft
