#include "../bench/measure/PeerGroup.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using fakes::PeerGroup;

namespace {

struct NineRoutersFixture
{
    PeerGroup group{{.size = 9, .seed = 7}};

    bool everyoneKnows(std::size_t n)
    {
        for (std::size_t i = 0; i < group.size(); ++i) {
            if (group.node(i).up && group.node(i).membership->liveCount() + 1 != n)
                return false;
        }
        return true;
    }
};

struct IntroducedRoutersFixture : NineRoutersFixture
{
    IntroducedRoutersFixture()
    {
        group.introduceAll();
        group.run(5s);
    }
};

Member update(MemberState state, std::uint64_t incarnation)
{
    return {.name = "a", .state = state, .incarnation = incarnation};
}

} // namespace

TEST_CASE_FIXTURE(NineRoutersFixture, "membership_oneSeed_connectsAllRouters")
{
    for (std::size_t i = 1; i < group.size(); ++i)
        group.node(i).membership->addSeed(group.node(0).address);
    CHECK(group.runUntil([&] { return everyoneKnows(9); }, 20s));
}

TEST_CASE_FIXTURE(NineRoutersFixture, "membership_vmListOnOneRouterOnly_connectsAllRouters")
{
    group.node(3).membership->setVms(group.vms());
    CHECK(group.runUntil([&] { return everyoneKnows(9); }, 20s));
}

TEST_CASE_FIXTURE(IntroducedRoutersFixture,
                  "membership_vmListNamesDeadAndLacksLiveRouters_doesNotChangeTheView")
{
    group.stop(4);
    REQUIRE(group.runUntil([&] { return group.allHaveState("router-4", MemberState::Dead); }, 20s));
    std::vector<VmEntry> wrong = {{.name = "router-4", .peerAddress = group.node(4).address},
                                  {.name = "never-was", .peerAddress = "10.9.9.9:1"}};
    for (std::size_t i = 0; i < group.size(); ++i)
        group.node(i).membership->setVms(wrong);
    group.run(30s);
    CHECK(everyoneKnows(8));
}

TEST_CASE_FIXTURE(IntroducedRoutersFixture,
                  "membership_killedRouter_isDeadEverywhereWithinEightSeconds")
{
    group.stop(2);
    CHECK(group.runUntil([&] { return group.allHaveState("router-2", MemberState::Dead); }, 8s));
}

TEST_CASE_FIXTURE(IntroducedRoutersFixture,
                  "membership_leavingRouter_isKnownEverywhereWithinASecond")
{
    group.node(5).membership->leave();
    group.schedule(5);
    CHECK(group.runUntil([&] { return group.allHaveState("router-5", MemberState::Leaving); }, 1s));
}

// Guards against a router that never learns that another one leaves. The update is disseminated
// only a bounded number of times to random members, and the fleet has just disseminated a death and
// a return.
TEST_CASE("membership_leavingAfterADeathAndAReturn_isKnownEverywhereInEveryFleet")
{
    constexpr std::uint64_t Fleets = 1000;
    std::vector<std::uint64_t> late;
    for (std::uint64_t seed = 1; seed <= Fleets; ++seed) {
        PeerGroup group({.size = 9, .seed = seed, .encodeEvery = 10});
        group.introduceAll();
        group.run(5s);
        group.stop(3);
        group.stop(4);
        const auto bothDead = [&] {
            return group.allHaveState("router-3", MemberState::Dead)
                    && group.allHaveState("router-4", MemberState::Dead);
        };
        REQUIRE(group.runUntil(bothDead, 30s));
        group.node(4).up = true;
        group.schedule(4);
        REQUIRE(group.runUntil([&] { return group.allHaveState("router-4", MemberState::Alive); },
                               30s));
        group.node(5).membership->leave();
        group.schedule(5);
        const auto known = [&] { return group.allHaveState("router-5", MemberState::Leaving); };
        if (!group.runUntil(known, 4s))
            late.push_back(seed);
    }
    CAPTURE(late.size());
    CHECK(late.empty());
}

TEST_CASE_FIXTURE(IntroducedRoutersFixture, "membership_pausedRouter_isAliveAgainAfterItResumes")
{
    group.stop(2);
    group.run(15s);
    REQUIRE(group.allHaveState("router-2", MemberState::Dead));
    group.node(2).up = true;
    group.schedule(2);
    CHECK(group.runUntil([&] { return group.allHaveState("router-2", MemberState::Alive); }, 10s));
    CHECK(everyoneKnows(9));
}

TEST_CASE_FIXTURE(IntroducedRoutersFixture,
                  "membership_replacedRouterUnderTheSameName_isAliveWithItsNewIncarnation")
{
    const std::uint64_t before = group.node(2).membership->self().incarnation;
    group.stop(2);
    group.run(3s);
    group.start(2);
    group.node(2).membership->setVms(group.vms());
    const auto everyoneKnowsTheNewOne = [&] {
        for (std::size_t i = 0; i < group.size(); ++i) {
            const auto &members = group.node(i).membership->members();
            if (i != 2 && members.at("router-2").incarnation <= before)
                return false;
        }
        return group.allHaveState("router-2", MemberState::Alive);
    };
    CHECK(group.runUntil(everyoneKnowsTheNewOne, 10s));
}

TEST_CASE_FIXTURE(IntroducedRoutersFixture, "membership_partitionHealed_reconnectsBothSides")
{
    group.block([](std::size_t a, std::size_t b) { return (a < 4) != (b < 4); });
    group.run(20s);
    CHECK(group.node(0).membership->liveCount() == 3);
    CHECK(group.node(8).membership->liveCount() == 4);
    group.block({});
    for (std::size_t i = 0; i < group.size(); ++i)
        group.node(i).membership->setVms(group.vms());
    CHECK(group.runUntil([&] { return everyoneKnows(9); }, 30s));
}

TEST_CASE("membership_anHourAtOnePercentLoss_declaresNoMemberDead")
{
    PeerGroup group({.size = 9, .seed = 11, .loss = 0.01});
    group.introduceAll();
    int deaths = 0;
    for (std::size_t i = 0; i < group.size(); ++i) {
        group.node(i).membership->changed().connect(
                [&](const Member &it) { deaths += it.state == MemberState::Dead ? 1 : 0; });
    }
    group.run(1h);
    CHECK(deaths == 0);
}

TEST_CASE("overrides_anyTwoUpdates_isATotalOrder")
{
    CHECK(overrides(update(MemberState::Suspect, 1), update(MemberState::Alive, 1)));
    CHECK(overrides(update(MemberState::Dead, 1), update(MemberState::Leaving, 1)));
    CHECK(overrides(update(MemberState::Alive, 2), update(MemberState::Dead, 1)));
    CHECK_FALSE(overrides(update(MemberState::Alive, 1), update(MemberState::Alive, 1)));
    CHECK_FALSE(overrides(update(MemberState::Dead, 1), update(MemberState::Alive, 2)));
}

TEST_CASE("memberUpdateQueue_moreUpdatesThanFit_sendsEachABoundedNumberOfTimes")
{
    MemberUpdateQueue queue;
    for (int i = 0; i < 10; ++i)
        queue.add({.name = std::to_string(i), .incarnation = 1});
    std::map<std::string, int> sent;
    for (int round = 0; round < 100; ++round) {
        for (const Member &it : queue.take(3, 4))
            ++sent[it.name];
    }
    CHECK(sent.size() == 10);
    for (const auto &[name, n] : sent)
        CHECK(n == 4);
    CHECK(queue.size() == 0);
}

TEST_CASE("trafficGovernor_burst_keepsTheMeanBelowTheLimit")
{
    ManualClock clock;
    TrafficGovernor governor({.clock = clock, .bytesPerSecond = 1000, .burst = 10s});
    for (int i = 0; i < 100'000; ++i) {
        if (governor.allowsDeferrable())
            governor.countDatagram(172);
        clock.advance(10ms);
    }
    CHECK(governor.total() <= 1000 * 1000 + 10'000);
    CHECK(governor.total() >= 990 * 1000);
}

TEST_CASE("member_loadNeverReceived_isNotFresh")
{
    const ManualClock clock;
    Member it;
    CHECK_FALSE(it.loadReceivedWithin(std::chrono::seconds(5), clock.now()));
    it.loadReceivedAt = clock.now() - std::chrono::seconds(4);
    CHECK(it.loadReceivedWithin(std::chrono::seconds(5), clock.now()));
    it.loadReceivedAt = clock.now() - std::chrono::seconds(5);
    CHECK_FALSE(it.loadReceivedWithin(std::chrono::seconds(5), clock.now()));
}
