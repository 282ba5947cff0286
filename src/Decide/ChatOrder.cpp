#include "Decide/ChatOrder.h"

#include "Base/Hash.h"

#include <algorithm>
#include <cmath>

namespace catkinloft {

namespace {

// With 32 x 32 groups, a placement computes fewer than 100 scores for up to about 30,000 nodes.
constexpr unsigned GroupBits = 5;

constexpr std::uint64_t TopSalt = 0x746f70;
constexpr std::uint64_t MiddleSalt = 0x6d6964;

constexpr double RoundingMargin = 1e-12;

/// Mixes a chat's key with a group's id. Two rounds are sufficient because both are hashes already.
/// Inlined, this takes a third of the time of hashCombine().
inline std::uint64_t mix(std::uint64_t key, std::uint64_t id)
{
    std::uint64_t x = (key ^ id) * 0x9E3779B97F4A7C15ULL;
    x = (x ^ (x >> 32)) * 0xD6E8FEB86659FD93ULL;
    return x ^ (x >> 32);
}

/// The weighted rendezvous score of a hash value. \sa rendezvousScore()
double score(double weight, std::uint64_t draw)
{
    const double u = (static_cast<double>(draw >> 11) + 0.5) * 0x1.0p-53;
    return -weight / std::log(u);
}

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
        m_leaves.push_back({.id = nodes[i].id, .weight = nodes[i].weight, .first = i});
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
        m_middle.back().maxWeight = std::max(m_middle.back().maxWeight, it.weight);
        m_top.back().weight += it.weight;
    }
    m_maxTop = 0;
    for (Group &top : m_top) {
        for (std::size_t i = 0; i < top.count; ++i)
            top.maxWeight = std::max(top.maxWeight, m_middle[top.first + i].weight);
        m_maxTop = std::max(m_maxTop, top.weight);
    }
}

std::size_t ChatOrder::best(std::span<const Group> groups, double maxWeight, std::uint64_t key)
{
    if (groups.size() < 2)
        return 0;
    // The group with the highest draw is the best unless another one has a higher weight. Then its
    // score is a lower bound of the best score.
    std::size_t out = 0;
    std::uint64_t highest = 0;
    for (std::size_t i = 0; i < groups.size(); ++i) {
        const std::uint64_t draw = mix(key, groups[i].id);
        out = draw > highest ? i : out;
        highest = std::max(highest, draw);
    }
    if (groups[out].weight >= maxWeight)
        return out;
    double bestScore = score(groups[out].weight, highest);
    // Since -ln(u) >= 1 - u, a draw below this value can't have the best score with any weight in
    // this level. This avoids nearly all logarithms. The margin covers rounding errors.
    const double limit = 1 - maxWeight / bestScore - RoundingMargin;
    const std::uint64_t floor = limit <= 0 ? 0 : static_cast<std::uint64_t>(limit * 0x1.0p64);
    for (std::size_t i = 0; i < groups.size(); ++i) {
        const std::uint64_t draw = mix(key, groups[i].id);
        if (draw < floor)
            continue;
        const double it = score(groups[i].weight, draw);
        out = it > bestScore ? i : out;
        bestScore = std::max(bestScore, it);
    }
    return out;
}

std::size_t ChatOrder::at(std::uint64_t key, unsigned probe) const
{
    if (m_top.empty())
        return None;
    const std::uint64_t place = hashCombine(key, probe);
    const Group &top = m_top[best(m_top, m_maxTop, place)];
    const std::span<const Group> middles(m_middle.data() + top.first, top.count);
    const Group &middle = middles[best(middles, top.maxWeight, place)];
    const std::span<const Group> leaves(m_leaves.data() + middle.first, middle.count);
    return leaves[best(leaves, middle.maxWeight, place)].first;
}

} // namespace catkinloft
