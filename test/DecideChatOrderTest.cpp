#include "Base/Hash.h"
#include "Base/Random.h"
#include "Decide/ChatOrder.h"

#include <doctest/doctest.h>

#include <map>
#include <vector>

using namespace catkinloft;

namespace {

constexpr int Keys = 100'000;

struct ChatOrderFixture
{
    static std::vector<ChatOrder::Node> nodes(std::size_t n)
    {
        std::vector<ChatOrder::Node> out;
        for (std::size_t i = 0; i < n; ++i)
            out.push_back({.id = hashCombine(7, i), .weight = 1});
        return out;
    }
};

} // namespace

TEST_CASE_FIXTURE(ChatOrderFixture, "chatOrder_unequalWeights_sharesKeysByWeight")
{
    std::vector<ChatOrder::Node> all = nodes(9);
    all[4].weight = 3;
    ChatOrder order;
    order.assign(all);
    std::vector<int> hits(9);
    for (int i = 0; i < Keys; ++i)
        ++hits[order.at(hash64("chat", static_cast<std::uint64_t>(i)))];
    for (std::size_t i = 0; i < hits.size(); ++i) {
        const double expected = Keys / 11.0 * all[i].weight;
        CHECK(hits[i] == doctest::Approx(expected).epsilon(0.05));
    }
}

TEST_CASE_FIXTURE(ChatOrderFixture, "chatOrder_oneNodeLeaves_movesAtMostThreeTimesItsShare")
{
    for (const std::size_t n : {9U, 100U, 1000U}) {
        std::vector<ChatOrder::Node> all = nodes(n);
        ChatOrder before;
        before.assign(all);
        const std::uint64_t gone = all.back().id;
        all.pop_back();
        ChatOrder after;
        after.assign(all);
        int moved = 0;
        for (int i = 0; i < Keys; ++i) {
            const std::uint64_t key = hash64("chat", static_cast<std::uint64_t>(i));
            const std::size_t old = before.at(key);
            moved += old != after.at(key) ? 1 : 0;
            if (old == n - 1)
                CHECK(all[after.at(key)].id != gone);
        }
        CHECK(moved < 3.2 * Keys / static_cast<double>(n));
        CHECK(moved > 0.5 * Keys / static_cast<double>(n));
    }
}

TEST_CASE_FIXTURE(ChatOrderFixture, "chatOrder_noNodes_yieldsNone")
{
    CHECK(ChatOrder().at(1) == ChatOrder::None);
}
