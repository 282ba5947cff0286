#include "FakeObjectStore.h"
#include "FakeTable.h"

#include "Base/ManualClock.h"
#include "Request/ClaimManager.h"
#include "Request/ClaimSweeper.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using Fate = FakeTable::Fate;

namespace {

struct ClaimFixture
{
    ClaimFixture() { manager = make(1); }

    std::unique_ptr<ClaimManager> make(std::uint64_t seed)
    {
        return std::make_unique<ClaimManager>(ClaimManager::Options{.table = table,
                                                                    .objects = objects,
                                                                    .clock = clock,
                                                                    .metrics = metrics,
                                                                    .random = seededRandom(seed),
                                                                    .router = "a"});
    }

    /// Starts a claim. \returns the index in `results` at which its result is stored.
    std::size_t claim(ClaimManager &on, const std::string &key, const std::string &print = "f")
    {
        const std::size_t i = results.size();
        results.emplace_back();
        on.claim(
                {.workspace = "w", .key = key, .fingerprint = print, .deadline = clock.now() + 10s},
                [this, i](Result<ClaimManager::Grant> it) { results[i] = std::move(it); });
        return i;
    }

    void advanceAndPoll(ClaimManager &on, Duration time = 5ms)
    {
        clock.advance(time);
        on.poll();
    }

    ClaimPtr grantedClaim(const std::string &key)
    {
        const std::size_t i = claim(*manager, key);
        // A key that was released before takes a second write.
        for (int n = 0; n < 2; ++n) {
            advanceAndPoll(*manager);
            table.endAll();
        }
        REQUIRE(results[i]);
        REQUIRE(results[i]->has_value());
        return results[i]->value().claim;
    }

    Reason reasonOf(std::size_t i) const
    {
        REQUIRE(results[i]);
        REQUIRE(!results[i]->has_value());
        return results[i]->error().reason;
    }

    ManualClock clock;
    Metrics metrics;
    FakeTable table;
    FakeObjectStore objects;
    std::unique_ptr<ClaimManager> manager;
    std::vector<std::optional<Result<ClaimManager::Grant>>> results;
};

} // namespace

TEST_CASE_FIXTURE(ClaimFixture, "claims_manyWithinTheWindow_shareOneTransaction")
{
    for (int i = 0; i < 50; ++i)
        claim(*manager, "key-" + std::to_string(i));
    CHECK(table.commits == 0);
    advanceAndPoll(*manager);
    CHECK(table.commits == 1);
    table.endAll();
    for (const auto &it : results)
        CHECK((it && it->has_value()));
}

TEST_CASE_FIXTURE(ClaimFixture, "claims_oneConflictingRow_othersAreGranted")
{
    const auto other = make(2);
    claim(*other, "taken");
    advanceAndPoll(*other);
    table.endAll();
    const std::size_t before = claim(*manager, "free-1");
    const std::size_t taken = claim(*manager, "taken");
    const std::size_t after = claim(*manager, "free-2");
    advanceAndPoll(*manager);
    table.endAll();
    CHECK(reasonOf(taken) == Reason::ClaimInProgress);
    CHECK((results[before] && results[before]->has_value()));
    CHECK((results[after] && results[after]->has_value()));
    CHECK(table.commits == 3);
}

TEST_CASE_FIXTURE(ClaimFixture, "claims_retryOnAnotherRouter_getsTheFirstAnswer")
{
    const std::string large(100'000, '\xff');
    manager->recordAnswer(grantedClaim("short"), {201, "text/plain", "shed 5 MW"});
    manager->recordAnswer(grantedClaim("long"), {200, "application/octet-stream", large});
    advanceAndPoll(*manager);
    table.endAll();
    CHECK(manager->unrecordedOutcomes() == 0);
    const auto other = make(2);
    const std::size_t a = claim(*other, "short");
    const std::size_t b = claim(*other, "long");
    const std::size_t c = claim(*other, "short", "another fingerprint");
    advanceAndPoll(*other);
    table.endAll();
    REQUIRE((results[a] && results[a]->has_value()));
    CHECK(results[a]->value().answer.status == 201);
    CHECK(results[a]->value().answer.body == "shed 5 MW");
    CHECK(results[b]->value().answer.body == large);
    CHECK(reasonOf(c) == Reason::KeyReused);
    grantedClaim("running");
    CHECK(reasonOf(claim(*manager, "running", "another fingerprint")) == Reason::KeyReused);
}

TEST_CASE_FIXTURE(ClaimFixture, "claims_holderCrashed_outcomeStaysUnknown")
{
    grantedClaim("key");
    manager.reset();
    const auto other = make(2);
    const std::size_t during = claim(*other, "key");
    advanceAndPoll(*other);
    table.endAll();
    CHECK(reasonOf(during) == Reason::ClaimInProgress);
    clock.advance(20h);
    const std::size_t after = claim(*other, "key");
    advanceAndPoll(*other);
    table.endAll();
    CHECK(reasonOf(after) == Reason::OutcomeUnknown);
    CHECK((results[after]->error().verdict == Verdict::MayHaveRun));
}

TEST_CASE_FIXTURE(ClaimFixture, "claims_storeTimeout_reportsNotRunAndReleasesTheKey")
{
    const std::size_t i = claim(*manager, "key");
    advanceAndPoll(*manager);
    advanceAndPoll(*manager, 3s);
    CHECK(reasonOf(i) == Reason::ClaimStoreUnavailable);
    CHECK((results[i]->error().verdict == Verdict::NotRun));
    // The commit succeeds after the timeout. The caller's retry must still be able to claim the
    // key.
    table.endAll();
    advanceAndPoll(*manager);
    table.endAll();
    grantedClaim("key");
}

TEST_CASE_FIXTURE(ClaimFixture, "claims_lateWriteOfAReleasedClaim_doesNotBlockTheKey")
{
    const std::size_t i = claim(*manager, "key");
    advanceAndPoll(*manager);
    table.end(0, Fate::Late); // The commit.
    table.end(0, Fate::Refused); // The read after the commit's lost answer.
    CHECK(reasonOf(i) == Reason::ClaimStoreUnavailable);
    advanceAndPoll(*manager);
    table.endAll();
    table.applyLate(0);
    grantedClaim("key");
}

TEST_CASE_FIXTURE(ClaimFixture, "claims_pausedHolder_maySendNothingAfterItsDeadline")
{
    const ClaimPtr it = grantedClaim("key");
    CHECK(manager->maySend(*it));
    clock.advance(10s);
    CHECK(!manager->maySend(*it));
}

TEST_CASE_FIXTURE(ClaimFixture, "claims_storeUnavailableForTheOutcome_retriesAndAnswersLocally")
{
    const ClaimPtr it = grantedClaim("key");
    manager->recordAnswer(it, {200, "text/plain", "done"});
    advanceAndPoll(*manager);
    table.end(0, Fate::Refused);
    const std::size_t i = claim(*manager, "key");
    REQUIRE((results[i] && results[i]->has_value()));
    CHECK(results[i]->value().answer.body == "done");
    advanceAndPoll(*manager, 1s);
    advanceAndPoll(*manager);
    table.endAll();
    CHECK(manager->unrecordedOutcomes() == 0);
}

TEST_CASE_FIXTURE(ClaimFixture, "claimSweeper_expiredRow_isRemovedAndOthersStay")
{
    ClaimRow row;
    row.expires = clock.wallNow();
    const std::string old = ClaimRow::shardPrefix(0) + "w/old";
    const std::string fresh = ClaimRow::shardPrefix(0) + "w/fresh";
    table.rows[old] = {.key = old, .value = row.encode(), .version = 1000};
    row.expires = clock.wallNow() + 24h;
    table.rows[fresh] = {.key = fresh, .value = row.encode(), .version = 1001};
    ClaimSweeper sweeper({.table = table, .clock = clock, .random = [] { return 0; }});
    clock.advance(2s);
    sweeper.poll();
    table.endAll();
    CHECK(sweeper.removed() == 1);
    CHECK(table.rows.contains(fresh));
    CHECK(!table.rows.contains(old));
}
