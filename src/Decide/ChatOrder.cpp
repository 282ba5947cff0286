#include "Decide/ChatOrder.h"

#include "Base/Hash.h"

#include <algorithm>
#include <cmath>

namespace catkinloft {

namespace {

// 32 x 32 groups keep the scores of a placement under 100 up to some 30,000 nodes.
constexpr unsigned GroupBits = 5;

constexpr std::uint64_t TopSalt = 0x746f70;
constexpr std::uint64_t MiddleSalt = 0x6d6964;

std::uint64_t topOf(std::uint64_t id)
{
    return id >> (64 - GroupBits);
}

std::uint64_t middleOf(std::uint64_t id)
{
    return id >> (64 - 2 * GroupBits);
}

} // namespace

void ChatOrder::assign(std::span<const Node> nodes)
{
    m_top.clear();
    m_middle.clear();
    m_leaves.clear();
    for (std::size_t i = 0; i < nodes.size(); ++i)
        m_leaves.push_back({.id = nodes[i].id, .weight = nodes[i].weight, .first = i, .count = 1});
    std::sort(m_leaves.begin(), m_leaves.end(),
              [](const Group &a, const Group &b) { return a.id < b.id; });
    for (std::size_t i = 0; i < m_leaves.size(); ++i) {
        const Group &it = m_leaves[i];
        const bool newTop = i == 0 || topOf(it.id) != topOf(m_leaves[i - 1].id);
        if (i == 0 || middleOf(it.id) != middleOf(m_leaves[i - 1].id)) {
            if (newTop)
                m_top.push_back(
                        {.id = hashCombine(TopSalt, topOf(it.id)), .first = m_middle.size()});
            m_middle.push_back({.id = hashCombine(MiddleSalt, middleOf(it.id)), .first = i});
            ++m_top.back().count;
        }
        ++m_middle.back().count;
        m_middle.back().weight += it.weight;
        m_top.back().weight += it.weight;
    }
}

std::size_t ChatOrder::best(std::span<const Group> groups, std::uint64_t key)
{
    std::size_t out = 0;
    double bestScore = 0;
    for (std::size_t i = 0; groups.size() > 1 && i < groups.size(); ++i) {
        const Group &it = groups[i];
        const double u = (static_cast<double>(hashCombine(key, it.id) >> 11) + 0.5) * 0x1.0p-53;
        // -ln(u) >= 1 - u, so most scores are known to lose without a logarithm.
        if (bestScore * (1 - u) >= it.weight)
            continue;
        const double score = -it.weight / std::log(u);
        if (score > bestScore) {
            bestScore = score;
            out = i;
        }
    }
    return out;
}

std::size_t ChatOrder::at(std::uint64_t key, unsigned probe) const
{
    if (m_top.empty())
        return None;
    const std::uint64_t place = hashCombine(key, probe);
    const Group &top = m_top[best(m_top, place)];
    const std::span<const Group> middles(m_middle.data() + top.first, top.count);
    const Group &middle = middles[best(middles, place)];
    const std::span<const Group> leaves(m_leaves.data() + middle.first, middle.count);
    return leaves[best(leaves, place)].first;
}

} // namespace catkinloft
