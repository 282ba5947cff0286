#include "Decide/WorkspaceShares.h"
#include "Base/ManualClock.h"
#include "Base/Random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numeric>
#include <string>
#include <vector>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// Requests per second of one of 76 routers that receive 700, and of one of a few routers.
constexpr double FewRequests = 9;
constexpr double ManyRequests = 300;

constexpr std::size_t Workspaces = 24;
constexpr std::size_t Largest = 0; ///< 34 in 100 requests.
constexpr std::size_t Large = 3; ///< 6 in 100 requests.
constexpr std::size_t Small = 12; ///< 1.6 in 100 requests.

/// Counts of one workspace.
struct Tally
{
    int requests = 0;
    int over = 0;
    Duration firstOver = Duration::max(); ///< Since the beginning of the phase.

    int within() const { return requests - over; }
    double overShare() const { return static_cast<double>(over) / std::max(1, requests); }
};

/// A few large and many small workspaces whose requests arrive at one router at random times.
struct WorkspaceSharesFixture
{
    explicit WorkspaceSharesFixture(double perSecond = FewRequests, std::uint64_t seed = 1)
        : random(seededRandom(seed)), rates(Workspaces)
    {
        // The rate of the workspace of rank i is proportional to i to the power of -1.2.
        for (std::size_t i = 0; i < rates.size(); ++i)
            rates[i] = std::pow(i + 1, -1.2);
        const double sum = std::accumulate(rates.begin(), rates.end(), 0.0);
        for (double &it : rates)
            it *= perSecond / sum;
        factors.assign(rates.size(), 1);
    }

    double rate(std::size_t i) const { return rates[i] * factors[i]; }

    double totalRate() const
    {
        double sum = 0;
        for (std::size_t i = 0; i < rates.size(); ++i)
            sum += rate(i);
        return sum;
    }

    std::size_t pick()
    {
        double left = uniform(random) * totalRate();
        std::size_t i = 0;
        for (; i + 1 < rates.size() && left >= rate(i); ++i)
            left -= rate(i);
        return i;
    }

    std::vector<Tally> play(Duration length, bool overloaded)
    {
        std::vector<Tally> result(rates.size());
        const TimePoint began = clock.now();
        while (true) {
            const Duration gap = fromSeconds(-std::log(1 - uniform(random)) / totalRate());
            if (clock.now() + gap >= began + length)
                break;
            clock.advance(gap);
            const std::size_t i = pick();
            Tally &it = result[i];
            ++it.requests;
            if (shares.count(fmt::format("workspace-{}", i), overloaded)) {
                ++it.over;
                it.firstOver = std::min(it.firstOver, clock.now() - began);
            }
        }
        clock.advance(began + length - clock.now());
        return result;
    }

    void surgeOfAll(double factor) { factors.assign(rates.size(), factor); }

    /// \returns the requests of a tally that exceed the share of their workspace.
    static int over(const std::vector<Tally> &tally)
    {
        return std::accumulate(tally.begin(), tally.end(), 0,
                               [](int sum, const Tally &it) { return sum + it.over; });
    }

    static int overOfOthers(const std::vector<Tally> &tally, std::size_t than)
    {
        return over(tally) - tally[than].over;
    }

    ManualClock clock;
    RandomSource random;
    std::vector<double> rates; ///< Usual requests per second by workspace.
    std::vector<double> factors; ///< Of the usual rate, by workspace.
    WorkspaceShares shares{{.clock = clock}};
};

/// Plays a surge of one workspace to \a factor times its usual rate, while all send \a factorOfAll
/// times their usual rate, and checks when it is recognised, how many of its requests are over its
/// share, and that no other workspace is limited.
void checkSurge(double perSecond, std::size_t surging, double factor, double factorOfAll,
                Duration recognisedWithin)
{
    constexpr int Seeds = 20;
    int recognised = 0;
    double overShare = 0;
    double within = 0;
    for (int seed = 1; seed <= Seeds; ++seed) {
        WorkspaceSharesFixture it(perSecond, seed);
        it.play(3min, false);
        it.surgeOfAll(factorOfAll);
        it.factors[surging] *= factor;
        const std::vector<Tally> begin = it.play(10s, true);
        recognised += begin[surging].firstOver <= recognisedWithin ? 1 : 0;
        const std::vector<Tally> then = it.play(30s, true);
        overShare += then[surging].overShare() / Seeds;
        within += then[surging].within() / 30.0 / Seeds;
        CHECK(it.overOfOthers(begin, surging) == 0);
        CHECK(it.overOfOthers(then, surging) == 0);
        CHECK(it.shares.overShare() == 1);
    }
    // A router gets a random sample, in which a surge may be recognised a little later.
    CHECK(recognised >= 0.9 * Seeds);
    WorkspaceSharesFixture usual(perSecond);
    usual.surgeOfAll(factorOfAll);
    const double equalPart = (usual.totalRate() + (factor - 1) * usual.rate(surging)) / Workspaces;
    const double share = std::max(usual.rate(surging), equalPart);
    const double expected = 1 - share / (factor * usual.rate(surging));
    INFO("over its share: ", overShare, " of ", expected, "; within: ", within, "/s of ", share);
    CHECK(overShare > expected - 0.15);
    CHECK(overShare < expected + 0.05);
    // Its requests within the share keep their rank.
    CHECK(within > 0.8 * share);
}

} // namespace

TEST_CASE("workspaceShares_usualLoad_nobodyIsOver")
{
    // Guards against limiting workspaces because of random fluctuation, while the service is
    // overloaded for another reason, such as the loss of replicas.
    int over = 0;
    for (int seed = 1; seed <= 100; ++seed) {
        WorkspaceSharesFixture it(FewRequests, seed);
        over += it.over(it.play(2min, false));
        over += it.over(it.play(1min, true));
    }
    for (int seed = 1; seed <= 5; ++seed) {
        WorkspaceSharesFixture it(ManyRequests, seed);
        over += it.over(it.play(2min, false));
        over += it.over(it.play(1min, true));
    }
    CHECK(over == 0);
}

TEST_CASE("workspaceShares_allSendMore_smallWorkspacesAreNeverOver")
{
    // Guards against comparing workspaces only with their usual rate. Rates that were learned from
    // few requests are inexact, so one in 10,000 requests of large workspaces may be over.
    const auto check = [](double perSecond, int seeds) {
        int requests = 0;
        int over = 0;
        int overOfSmall = 0;
        for (int seed = 1; seed <= seeds; ++seed) {
            WorkspaceSharesFixture it(perSecond, seed);
            it.play(2min, false);
            it.surgeOfAll(2.4);
            const std::vector<Tally> tally = it.play(1min, true);
            for (std::size_t i = 0; i < tally.size(); ++i) {
                requests += tally[i].requests;
                over += tally[i].over;
                if (it.rates[i] < perSecond / Workspaces)
                    overOfSmall += tally[i].over;
            }
        }
        CHECK(over <= requests / 10'000);
        CHECK(overOfSmall == 0);
    };
    check(FewRequests, 200);
    check(ManyRequests, 10);
}

TEST_CASE("workspaceShares_surgeOfLargestWorkspace_onlyItsExcessIsOver")
{
    // It then sends four fifths of all requests.
    SUBCASE("few requests")
    {
        checkSurge(FewRequests, Largest, 8, 1, 2s);
    }
    SUBCASE("few requests, six times")
    {
        checkSurge(FewRequests, Largest, 6, 1, 2500ms);
    }
    SUBCASE("many requests")
    {
        checkSurge(ManyRequests, Largest, 8, 1, 1s);
    }
    SUBCASE("few requests, all send more")
    {
        checkSurge(FewRequests, Largest, 8, 2.4, 2s);
    }
    SUBCASE("many requests, all send more")
    {
        checkSurge(ManyRequests, Largest, 8, 2.4, 1s);
    }
}

TEST_CASE("workspaceShares_surgeOfMediumWorkspace_onlyItsExcessIsOver")
{
    // With few requests this router sees five of them per second, of which at least eight are
    // needed to tell a surge from chance.
    SUBCASE("few requests")
    {
        checkSurge(FewRequests, Large, 8, 1, 5s);
    }
    SUBCASE("many requests")
    {
        checkSurge(ManyRequests, Large, 8, 1, 1s);
    }
    SUBCASE("few requests, all send more")
    {
        checkSurge(FewRequests, Large, 8, 2.4, 2500ms);
    }
    SUBCASE("many requests, all send more")
    {
        checkSurge(ManyRequests, Large, 8, 2.4, 1s);
    }
}

TEST_CASE("workspaceShares_surgeOfSmallWorkspace_onlyTheExcessOverAnEqualPartIsOver")
{
    SUBCASE("many requests")
    {
        checkSurge(ManyRequests, Small, 8, 1, 2s);
    }
    SUBCASE("many requests, all send more")
    {
        checkSurge(ManyRequests, Small, 8, 2.4, 1s);
    }
}

TEST_CASE("workspaceShares_smallWorkspaceWithFewRequests_sendsBurstsWithoutBeingOver")
{
    // Guards against limiting a small workspace that sends several requests at once, such as a
    // person who opens a page.
    WorkspaceSharesFixture it;
    it.play(2min, false);
    for (int i = 0; i < 20; ++i) {
        for (int n = 0; n < 5; ++n)
            CHECK_FALSE(it.shares.count("workspace-23", true));
        CHECK(it.over(it.play(20s, true)) == 0);
    }
}

TEST_CASE("workspaceShares_surge_requestsWithinTheShareAreSpreadEvenly")
{
    WorkspaceSharesFixture it(ManyRequests);
    it.play(3min, false);
    it.factors[Largest] = 8;
    it.play(5s, true);
    for (int second = 0; second < 30; ++second) {
        const Tally tally = it.play(1s, true)[Largest];
        CHECK(tally.within() > 0.7 * it.rates[Largest]);
        CHECK(tally.within() < 1.5 * it.rates[Largest]);
    }
}

TEST_CASE("workspaceShares_longSurge_doesNotBecomeTheUsualRate")
{
    WorkspaceSharesFixture it;
    it.play(3min, false);
    it.factors[Largest] = 8;
    // The admission control ends its limit for a moment from time to time.
    for (int i = 0; i < 60; ++i) {
        it.play(18s, true);
        it.play(2s, false);
    }
    const std::vector<Tally> tally = it.play(30s, true);
    CHECK(tally[Largest].overShare() > 0.75);
    CHECK(it.overOfOthers(tally, Largest) == 0);
}

TEST_CASE("workspaceShares_surgesOfTwoWorkspaces_bothAreOver")
{
    // Guards against taking the surge of one for the growth of all.
    WorkspaceSharesFixture it;
    it.play(3min, false);
    it.factors[Largest] = 8;
    it.factors[1] = 8;
    it.play(10s, true);
    const std::vector<Tally> tally = it.play(30s, true);
    CHECK(tally[Largest].overShare() > 0.75);
    CHECK(tally[1].overShare() > 0.75);
    CHECK(it.over(tally) == tally[Largest].over + tally[1].over);
    CHECK(it.shares.overShare() == 2);
}

TEST_CASE("workspaceShares_surgeEnds_workspaceIsNoLongerOver")
{
    for (int seed = 1; seed <= 10; ++seed) {
        WorkspaceSharesFixture it(FewRequests, seed);
        it.play(3min, false);
        it.factors[Largest] = 8;
        it.play(30s, true);
        it.factors[Largest] = 1;
        it.play(20s, true);
        CHECK(it.shares.overShare() == 0);
        CHECK(it.over(it.play(30s, true)) == 0);
    }
}

TEST_CASE("workspaceShares_workspaceStopsDuringItsSurge_isNoLongerCounted")
{
    WorkspaceSharesFixture it;
    it.play(3min, false);
    it.factors[Largest] = 8;
    it.play(10s, true);
    CHECK(it.shares.overShare() == 1);
    it.factors[Largest] = 0;
    it.play(6s, true);
    CHECK(it.shares.overShare() == 0);
    it.factors[Largest] = 1;
    CHECK(it.over(it.play(30s, true)) == 0);
}

TEST_CASE("workspaceShares_restartDuringSurge_onlyTheSurgingWorkspaceIsOver")
{
    for (int seed = 1; seed <= 10; ++seed) {
        WorkspaceSharesFixture it(FewRequests, seed);
        it.factors[Largest] = 8;
        // Without a history nobody is over the share until there was time to compare.
        CHECK(it.over(it.play(10s, true)) == 0);
        it.play(5s, true);
        const std::vector<Tally> tally = it.play(30s, true);
        // It may send a third of all requests, and sends four fifths.
        CHECK(tally[Largest].overShare() > 0.4);
        CHECK(tally[Largest].within() > it.rates[Largest] * 30);
        CHECK(it.overOfOthers(tally, Largest) == 0);
    }
}

TEST_CASE("workspaceShares_restartDuringOverloadAtTheUsualMix_nobodyIsOver")
{
    // Guards against limiting large workspaces, which usually send many times an equal part.
    int over = 0;
    for (int seed = 1; seed <= 40; ++seed) {
        WorkspaceSharesFixture it(FewRequests, seed);
        it.surgeOfAll(2.4);
        over += it.over(it.play(3min, true));
    }
    CHECK(over == 0);
}

TEST_CASE("workspaceShares_restartBeforeSurge_learnsTheUsualRatesWithinAMinute")
{
    WorkspaceSharesFixture it;
    it.play(1min, false);
    it.factors[Largest] = 8;
    it.play(5s, true);
    CHECK(it.play(30s, true)[Largest].overShare() > 0.7);
}

TEST_CASE("workspaceShares_oneWorkspaceOnly_isNeverOver")
{
    // Nobody else could use what it does not get.
    WorkspaceSharesFixture it;
    it.rates = {FewRequests};
    it.factors = {1};
    it.play(3min, false);
    it.factors = {8};
    CHECK(it.over(it.play(1min, true)) == 0);
}

TEST_CASE("workspaceShares_newWorkspaceDuringOverload_maySendAnEqualPart")
{
    WorkspaceSharesFixture it;
    it.rates.push_back(it.totalRate() / Workspaces);
    it.factors.push_back(0);
    it.play(3min, false);
    it.factors.back() = 1;
    CHECK(it.over(it.play(3min, true)) == 0);
}

TEST_CASE("workspaceShares_callersWithoutWorkspace_areOneWorkspace")
{
    WorkspaceSharesFixture it;
    it.play(3min, false);
    CHECK(it.shares.size() == Workspaces);
    int over = 0;
    for (int i = 0; i < 30 * 40; ++i) {
        it.play(25ms, true);
        over += it.shares.count("", true) ? 1 : 0;
    }
    CHECK(it.shares.size() == Workspaces + 1);
    CHECK(over > 0.8 * 30 * 40);
}

TEST_CASE("workspaceShares_tenThousandNamesThatComeOnce_memoryIsBoundedAndTheHistoryStays")
{
    WorkspaceSharesFixture it;
    WorkspaceShares shares({.clock = it.clock, .maxWorkspaces = 500});
    int over = 0;
    const auto play = [&](int names, bool overloaded) {
        Tally largest;
        for (int i = 0; i < names; ++i) {
            it.clock.advance(20ms);
            if (shares.count(fmt::format("once-{}", it.clock.now().time_since_epoch().count()),
                             overloaded))
                ++over;
            for (double due = it.totalRate() * 0.02; due > 0; --due) {
                if (uniform(it.random) >= due)
                    continue;
                const std::size_t n = it.pick();
                const bool isOver = shares.count(fmt::format("workspace-{}", n), overloaded);
                Tally &tally = largest;
                if (n == Largest) {
                    ++tally.requests;
                    tally.over += isOver ? 1 : 0;
                } else {
                    over += isOver ? 1 : 0;
                }
            }
            REQUIRE(shares.size() <= 500);
        }
        return largest;
    };
    CHECK(play(10'000, false).over == 0);
    CHECK(play(1'000, true).over == 0);
    it.factors[Largest] = 8;
    play(250, true);
    const Tally largest = play(1'500, true);
    CHECK(largest.overShare() > 0.75);
    CHECK(over == 0);
    CHECK(shares.overShare() == 1);
}

TEST_CASE("workspaceShares_tenThousandWorkspaces_nobodyIsOverAtTheUsualLoad")
{
    // More workspaces than are remembered: the dropped ones are new ones when they return.
    WorkspaceSharesFixture it(ManyRequests);
    it.rates.resize(10'000);
    for (std::size_t i = 0; i < it.rates.size(); ++i)
        it.rates[i] = 60 * std::pow(i + 1, -1.2);
    it.factors.assign(it.rates.size(), 1);
    CHECK(it.over(it.play(1min, false)) == 0);
    CHECK(it.over(it.play(20s, true)) == 0);
    CHECK(it.shares.size() <= 4096);
}

TEST_CASE("workspaceShares_routerIdleForDays_startsWithoutHistory")
{
    // Guards against an overflow of the weights, and against rates learned from one request.
    WorkspaceSharesFixture it;
    it.play(3min, false);
    it.clock.advance(24h * 10);
    CHECK(it.over(it.play(3min, false)) == 0);
    it.factors[Largest] = 8;
    it.play(5s, true);
    const std::vector<Tally> tally = it.play(30s, true);
    CHECK(tally[Largest].overShare() > 0.75);
    CHECK(it.overOfOthers(tally, Largest) == 0);
}
