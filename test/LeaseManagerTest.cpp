#include "Control/LeaseManager.h"
#include "Base/Log.h"
#include "Base/ManualClock.h"
#include "StepTable.h"

#include <doctest/doctest.h>

#include <array>
#include <memory>

using namespace catkinloft;
using namespace std::chrono_literals;
using Fate = StepTable::Fate;

namespace {

struct LeaseFixture
{
    std::unique_ptr<LeaseManager> makeManager(const char *name, std::uint64_t seed,
                                              Duration margin = 2s)
    {
        auto out =
                std::make_unique<LeaseManager>(LeaseManager::Options{.clock = clock,
                                                                     .random = seededRandom(seed),
                                                                     .table = table,
                                                                     .key = "lease/test",
                                                                     .self = name,
                                                                     .margin = margin});
        out->setWanted(true);
        return out;
    }

    /// Advances the clock in small steps; every request ends with \a fate.
    void pass(Duration time, std::initializer_list<LeaseManager *> awake,
              Fate fate = Fate::Answered)
    {
        for (Duration t{}; t < time; t += 500ms) {
            clock.advance(500ms);
            for (LeaseManager *it : awake)
                it->poll();
            table.run(fate);
        }
    }

    ManualClock clock;
    StepTable table;
    std::unique_ptr<LeaseManager> a = makeManager("a", 1);
    std::unique_ptr<LeaseManager> b = makeManager("b", 2);
};

/// Two contenders under a random schedule of pauses, lost and late requests. Each acts whenever it
/// holds the lease. The engine's view is checked: fencing numbers never fall and no number has two
/// holders.
class RandomLeaseSchedule : LeaseFixture
{
public:
    RandomLeaseSchedule(std::uint64_t seed, Duration margin, bool brokenTable)
        : m_random(seededRandom(seed))
    {
        a = makeManager("a", 2 * seed, margin);
        b = makeManager("b", 2 * seed + 1, margin);
        table.ignoresVersions = brokenTable;
    }

    /// \returns whether no violation was found; adds the number of actions to \a acts.
    bool run(int &acts)
    {
        for (int i = 0; i < 1500 && m_isSafe; ++i) {
            step();
            act(0, *a, acts);
            act(1, *b, acts);
            m_isSafe = m_isSafe && !(a->fence() && b->fence());
        }
        return m_isSafe;
    }

private:
    void step()
    {
        const std::uint64_t dice = below(m_random, 100);
        if (dice < 30)
            clock.advance(Duration(below(m_random, 8'000'000'000)));
        else if (dice < 33)
            clock.advance(60s);
        else if (dice < 50)
            a->poll();
        else if (dice < 67)
            b->poll();
        else if (dice < 69)
            table.applyLate();
        else if (dice < 71)
            (below(m_random, 2) == 0 ? a : b)->setWanted(below(m_random, 4) != 0);
        else if (table.waiting() > 0)
            table.step(below(m_random, table.waiting()), fate());
    }

    Fate fate()
    {
        constexpr std::array Faults = {Fate::LostAnswer, Fate::LostRequest, Fate::Refused,
                                       Fate::Late};
        return below(m_random, 3) == 0 ? Faults[below(m_random, Faults.size())] : Fate::Answered;
    }

    void act(int who, const LeaseManager &holder, int &acts)
    {
        const auto fence = holder.fence();
        if (!fence)
            return;
        ++acts;
        m_isSafe = m_isSafe && (*fence > m_fence || (*fence == m_fence && who == m_last));
        m_fence = *fence;
        m_last = who;
    }

    RandomSource m_random;
    bool m_isSafe = true;
    std::uint64_t m_fence = 0;
    int m_last = -1;
};

int countUnsafeSchedules(Duration margin, bool brokenTable, int &acts)
{
    Log::setLevel(LogLevel::Error);
    int out = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed)
        out += RandomLeaseSchedule(seed, margin, brokenTable).run(acts) ? 0 : 1;
    Log::setLevel(LogLevel::Info);
    return out;
}

} // namespace

TEST_CASE_FIXTURE(LeaseFixture, "lease_twoContenders_oneHoldsAndRenewsWithTheSameNumber")
{
    pass(300s, {a.get(), b.get()});
    CHECK(a->fence().has_value() != b->fence().has_value());
    CHECK((a->fence() ? a : b)->fence() == 1u);
    // One acquisition and a renewal every 15 s, 20 at most, as the capacity planning assumes.
    CHECK(table.writes() <= 21);
}

TEST_CASE_FIXTURE(LeaseFixture, "lease_holderPausedPastItsExpiry_hasNoFencingNumber")
{
    pass(10s, {a.get()});
    REQUIRE(a->fence() == 1u);
    pass(70s, {b.get()});
    CHECK(b->fence() == 2u);
    CHECK_FALSE(a->fence());
    bool confirmed = true;
    a->confirm([&](bool held) { confirmed = held; });
    table.run();
    CHECK_FALSE(confirmed);
}

TEST_CASE_FIXTURE(LeaseFixture, "lease_lostAnswerOfAcquisition_isResolvedByReadingTheRow")
{
    clock.advance(10s);
    a->poll();
    table.step(0, Fate::Answered);
    table.step(0, Fate::LostAnswer);
    CHECK_FALSE(a->fence());
    pass(8s, {a.get()});
    CHECK(a->fence() == 1u);
}

TEST_CASE_FIXTURE(LeaseFixture, "lease_storeDown_isHeldUntilExpiryAndAcquiredAnewAfterTheOutage")
{
    pass(10s, {a.get()});
    pass(25s, {a.get()}, Fate::LostRequest);
    CHECK(a->fence() == 1u);
    pass(30s, {a.get()}, Fate::LostRequest);
    CHECK_FALSE(a->fence());
    pass(10s, {a.get()});
    CHECK(a->fence() == 2u);
}

TEST_CASE_FIXTURE(LeaseFixture, "lease_released_isAcquiredWithoutWaitingForItsExpiry")
{
    pass(10s, {a.get()});
    a->setWanted(false);
    CHECK_FALSE(a->fence());
    pass(16s, {a.get(), b.get()});
    CHECK(b->fence() == 2u);
}

TEST_CASE_FIXTURE(LeaseFixture, "lease_engineReceivedHigherNumber_numberRisesWithoutLosingTheLease")
{
    pass(10s, {a.get()});
    a->raiseFence(41);
    pass(1s, {a.get()});
    CHECK(a->fence() == 42u);
}

TEST_CASE_FIXTURE(LeaseFixture, "lease_restartedRouter_isAnotherHolder")
{
    pass(10s, {a.get()});
    a = makeManager("a", 77);
    pass(20s, {a.get()});
    CHECK_FALSE(a->fence());
    pass(40s, {a.get()});
    CHECK(a->fence() == 2u);
}

TEST_CASE_FIXTURE(LeaseFixture, "lease_releaseInFlight_isNotHeldWhenWantedAgain")
{
    // Guards against a release that takes effect after its sender wants the lease again and
    // considers it held.
    pass(10s, {a.get()});
    a->setWanted(false);
    a->poll();
    table.step(0, Fate::Late);
    a->setWanted(true);
    CHECK_FALSE(a->fence());
    table.applyLate();
    pass(16s, {b.get()});
    CHECK(b->fence() == 2u);
    CHECK_FALSE(a->fence());
}

TEST_CASE("lease_randomSchedules_neverTwoHoldersOrFallingNumbers")
{
    int acts = 0;
    CHECK(countUnsafeSchedules(2s, false, acts) == 0);
    CHECK(acts > 10'000); // Fewer actions would make the check meaningless.
}

TEST_CASE("lease_injectedViolations_areDetectedByTheSameSchedules")
{
    int acts = 0;
    CHECK(countUnsafeSchedules(-30s, false, acts) > 0); // The holder acts after the expiry.
    CHECK(countUnsafeSchedules(2s, true, acts) > 0); // The compare-and-set does not compare.
}
