#include "FakeObjectStore.h"
#include "FakeTable.h"

#include "Base/ManualClock.h"
#include "Request/ClaimKeeper.h"
#include "Request/ClaimSweeper.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using Fate = FakeTable::Fate;

namespace {

struct ClaimFixture
{
    ClaimFixture() { keeper = make(1); }

    std::unique_ptr<ClaimKeeper> make(std::uint64_t seed)
    {
        return std::make_unique<ClaimKeeper>(ClaimKeeper::Options{.table = table,
                                                                  .objects = objects,
                                                                  .clock = clock,
                                                                  .metrics = metrics,
                                                                  .random = seededRandom(seed),
                                                                  .router = "a"});
    }

    /// Starts a claim. \returns the index in `results` at which its result is stored.
    std::size_t claim(ClaimKeeper &on, const std::string &key, const std::string &print = "f")
    {
        const std::size_t i = results.size();
        results.emplace_back();
        on.claim(
                {.workspace = "w", .key = key, .fingerprint = print, .deadline = clock.now() + 10s},
                [this, i](Result<ClaimKeeper::Grant> it) { results[i] = std::move(it); });
        return i;
    }

    void pass(ClaimKeeper &on, Duration time = 5ms)
    {
        clock.advance(time);
        on.poll();
    }

    ClaimPtr granted(const std::string &key)
    {
        const std::size_t i = claim(*keeper, key);
        // A key that was released before takes a second write.
        for (int n = 0; n < 2; ++n) {
            pass(*keeper);
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
    std::unique_ptr<ClaimKeeper> keeper;
    std::vector<std::optional<Result<ClaimKeeper::Grant>>> results;
};

} // namespace

TEST_CASE_FIXTURE(ClaimFixture, "claims_manyWithinTheWindow_shareOneTransaction")
{
    for (int i = 0; i < 50; ++i)
        claim(*keeper, "key-" + std::to_string(i));
    CHECK(table.commits == 0);
    pass(*keeper);
    CHECK(table.commits == 1);
    table.endAll();
    for (const auto &it : results)
        CHECK((it && it->has_value()));
}

TEST_CASE_FIXTURE(ClaimFixture, "claims_oneConflictingRow_othersAreGranted")
{
    const auto other = make(2);
    claim(*other, "taken");
    pass(*other);
    table.endAll();
    const std::size_t before = claim(*keeper, "free-1");
    const std::size_t taken = claim(*keeper, "taken");
    const std::size_t after = claim(*keeper, "free-2");
    pass(*keeper);
    table.endAll();
    CHECK(reasonOf(taken) == Reason::ClaimInProgress);
    CHECK((results[before] && results[before]->has_value()));
    CHECK((results[after] && results[after]->has_value()));
    CHECK(table.commits == 3);
}

TEST_CASE_FIXTURE(ClaimFixture, "claims_retryOnAnotherRouter_getsTheFirstAnswer")
{
    const std::string large(100'000, '\xff');
    keeper->recordAnswer(granted("short"), {201, "text/plain", "shed 5 MW"});
    keeper->recordAnswer(granted("long"), {200, "application/octet-stream", large});
    pass(*keeper);
    table.endAll();
    CHECK(keeper->unrecorded() == 0);
    const auto other = make(2);
    const std::size_t a = claim(*other, "short");
    const std::size_t b = claim(*other, "long");
    const std::size_t c = claim(*other, "short", "another fingerprint");
    pass(*other);
    table.endAll();
    REQUIRE((results[a] && results[a]->has_value()));
    CHECK(results[a]->value().answer.status == 201);
    CHECK(results[a]->value().answer.body == "shed 5 MW");
    CHECK(results[b]->value().answer.body == large);
    CHECK(reasonOf(c) == Reason::KeyReused);
    granted("running");
    CHECK(reasonOf(claim(*keeper, "running", "another fingerprint")) == Reason::KeyReused);
}

TEST_CASE_FIXTURE(ClaimFixture, "claims_holderCrashed_outcomeStaysUnknown")
{
    granted("key");
    keeper.reset();
    const auto other = make(2);
    const std::size_t during = claim(*other, "key");
    pass(*other);
    table.endAll();
    CHECK(reasonOf(during) == Reason::ClaimInProgress);
    clock.advance(20h);
    const std::size_t after = claim(*other, "key");
    pass(*other);
    table.endAll();
    CHECK(reasonOf(after) == Reason::OutcomeUnknown);
    CHECK((results[after]->error().verdict == Verdict::MayHaveRun));
}

TEST_CASE_FIXTURE(ClaimFixture, "claims_storeTimeout_reportsNotRunAndReleasesTheKey")
{
    const std::size_t i = claim(*keeper, "key");
    pass(*keeper);
    pass(*keeper, 3s);
    CHECK(reasonOf(i) == Reason::ClaimStoreDown);
    CHECK((results[i]->error().verdict == Verdict::NotRun));
    // The commit succeeds after the timeout. The caller's retry must still be able to claim the
    // key.
    table.endAll();
    pass(*keeper);
    table.endAll();
    granted("key");
}

TEST_CASE_FIXTURE(ClaimFixture, "claims_lateWriteOfAReleasedClaim_doesNotBlockTheKey")
{
    const std::size_t i = claim(*keeper, "key");
    pass(*keeper);
    table.end(0, Fate::Late); // The commit.
    table.end(0, Fate::Refused); // The read after the commit's lost answer.
    CHECK(reasonOf(i) == Reason::ClaimStoreDown);
    pass(*keeper);
    table.endAll();
    table.applyLate(0);
    granted("key");
}

TEST_CASE_FIXTURE(ClaimFixture, "claims_pausedHolder_maySendNothingAfterItsDeadline")
{
    const ClaimPtr it = granted("key");
    CHECK(keeper->maySend(*it));
    clock.advance(10s);
    CHECK(!keeper->maySend(*it));
}

TEST_CASE_FIXTURE(ClaimFixture, "claims_storeUnavailableForTheOutcome_retriesAndAnswersLocally")
{
    const ClaimPtr it = granted("key");
    keeper->recordAnswer(it, {200, "text/plain", "done"});
    pass(*keeper);
    table.end(0, Fate::Refused);
    const std::size_t i = claim(*keeper, "key");
    REQUIRE((results[i] && results[i]->has_value()));
    CHECK(results[i]->value().answer.body == "done");
    pass(*keeper, 1s);
    pass(*keeper);
    table.endAll();
    CHECK(keeper->unrecorded() == 0);
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
