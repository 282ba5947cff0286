#include "Control/NewsQueue.h"

#include <algorithm>

namespace catkinloft {

void NewsQueue::add(const Member &news)
{
    m_items[news.name] = {.news = news, .sends = 0};
}

std::vector<Member> NewsQueue::take(std::size_t maxItems, int maxSends)
{
    std::vector<Item *> order;
    for (auto &[name, item] : m_items)
        order.push_back(&item);
    const std::size_t n = std::min(maxItems, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n), order.end(),
                      [](const Item *a, const Item *b) { return a->sends < b->sends; });
    std::vector<Member> out;
    for (std::size_t i = 0; i < n; ++i) {
        out.push_back(order[i]->news);
        ++order[i]->sends;
    }
    std::erase_if(m_items, [&](const auto &it) { return it.second.sends >= maxSends; });
    return out;
}

} // namespace catkinloft
