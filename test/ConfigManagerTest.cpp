#include "../bench/measure/PeerGroup.h"

#include "Base/Hash.h"
#include "Base/Log.h"
#include "FakeObjectStore.h"
#include "FakeTable.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using fakes::inventoryText;
using fakes::PeerGroup;
using fakes::StoreMode;

namespace {

using Answer = std::optional<Result<std::uint64_t>>;

struct ConfiguredRoutersFixture
{
    PeerGroup group{{.size = 9, .seed = 3}};

    ConfiguredRoutersFixture()
    {
        Log::setLevel(LogLevel::Error);
        group.introduceAll();
        REQUIRE(apply(0, 0));
        REQUIRE(group.runUntil([&] { return group.allHold(1); }, 4s));
    }
    ~ConfiguredRoutersFixture() { Log::setLevel(LogLevel::Info); }

    std::shared_ptr<Answer> start(std::size_t router, std::uint64_t base, std::uint64_t note,
                                  const std::string &changeId = {})
    {
        auto out = std::make_shared<Answer>();
        group.node(router).config->propose({.text = inventoryText(12, note),
                                            .base = base,
                                            .changeId = changeId,
                                            .author = "desk"},
                                           [out](Result<std::uint64_t> it) { *out = it; });
        return out;
    }

    Result<std::uint64_t> finish(const std::shared_ptr<Answer> &answer)
    {
        REQUIRE(group.runUntil([&] { return answer->has_value(); }, 60s));
        return **answer;
    }

    Result<std::uint64_t> apply(std::size_t router, std::uint64_t base,
                                const std::string &changeId = {})
    {
        return finish(start(router, base, base + 1, changeId));
    }

    /// Checks that the revisions activated by each router only rise.
    void checkRevisionsOnlyRose()
    {
        for (std::size_t i = 0; i < group.size(); ++i) {
            const auto &applied = group.node(i).applied;
            CHECK(std::adjacent_find(applied.begin(), applied.end(), std::greater_equal<>())
                  == applied.end());
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(ConfiguredRoutersFixture,
                  "config_manyChangesAtTwentyPercentLoss_eachIsActiveWithinFourSeconds")
{
    group.setLoss(0.2);
    for (std::uint64_t base = 1; base < 30; ++base) {
        REQUIRE(apply(base % 9, base));
        CHECK(group.runUntil([&] { return group.allHold(base + 1); }, 4s));
    }
    checkRevisionsOnlyRose();
    CHECK(group.objects().gets() == 0);
}

TEST_CASE_FIXTURE(ConfiguredRoutersFixture, "config_olderBodyFromPeer_isNotActivated")
{
    const std::string old = group.node(4).config->text();
    REQUIRE(apply(0, 1));
    REQUIRE(group.runUntil([&] { return group.allHold(2); }, 4s));
    for (const std::uint64_t revision : {1, 2}) {
        CHECK_FALSE(
                group.node(4).config->activate({.revision = revision, .hash = hash64(old)}, old));
        CHECK(group.node(4).config->digest().revision == 2);
    }
    CHECK(group.node(4).config->text() != old);
}

TEST_CASE_FIXTURE(ConfiguredRoutersFixture, "config_bodyWithWrongHash_isNotActivated")
{
    const std::string text = inventoryText(12, 5);
    CHECK_FALSE(group.node(4).config->activate({.revision = 9, .hash = 1}, text));
    CHECK(group.node(4).config->digest().revision == 1);
}

TEST_CASE_FIXTURE(ConfiguredRoutersFixture, "config_hundredConcurrentProposals_oneOfEachIsAccepted")
{
    for (std::uint64_t base = 1; base <= 100; ++base) {
        std::vector<std::shared_ptr<Answer>> answers;
        for (std::size_t i = 0; i < 3; ++i)
            answers.push_back(start(i, base, base * 10 + i));
        int winners = 0;
        for (const auto &it : answers) {
            const Result<std::uint64_t> result = finish(it);
            winners += result ? 1 : 0;
            if (result)
                continue;
            CHECK(result.error().reason == Reason::ConfigConflict);
            CHECK((result.error().verdict == Verdict::NotRun));
            CHECK(result.error().detail.find(fmt::format("but {} of desk", base + 1))
                  != std::string::npos);
            CHECK(result.error().detail.find("slots:") != std::string::npos);
        }
        CHECK(winners == 1);
    }
    REQUIRE(group.runUntil([&] { return group.allHold(101); }, 4s));
    checkRevisionsOnlyRose();
}

TEST_CASE_FIXTURE(ConfiguredRoutersFixture, "config_lostCommitAnswer_isResolvedAsAccepted")
{
    group.table().setMode(StoreMode::LoseAnswers);
    const Result<std::uint64_t> result = apply(2, 1);
    REQUIRE(result);
    CHECK(result.value() == 2);
    CHECK(group.runUntil([&] { return group.allHold(2); }, 4s));
}

TEST_CASE_FIXTURE(ConfiguredRoutersFixture, "config_lostAnswerAndStoreDown_verdictIsMayHaveRun")
{
    group.table().setMode(StoreMode::LoseAnswers);
    const auto answer = start(2, 1, 2, "change-1");
    group.run(16ms); // Read, body and commit, whose answer is lost.
    group.table().setMode(StoreMode::Down);
    const Result<std::uint64_t> result = finish(answer);
    REQUIRE_FALSE(result);
    CHECK((result.error().verdict == Verdict::MayHaveRun));
    CHECK(result.error().detail.find("change-1") != std::string::npos);
    group.table().setMode(StoreMode::Up);
    const Result<std::uint64_t> again = finish(start(5, 1, 2, "change-1"));
    REQUIRE(again);
    CHECK(again.value() == 2);
}

TEST_CASE_FIXTURE(ConfiguredRoutersFixture, "config_storeDownBeforeCommit_verdictIsNotRun")
{
    group.table().setMode(StoreMode::Down);
    const Result<std::uint64_t> result = apply(2, 1);
    REQUIRE_FALSE(result);
    CHECK((result.error().verdict == Verdict::NotRun));
    CHECK(result.error().reason == Reason::StoreUnavailable);
}

TEST_CASE_FIXTURE(ConfiguredRoutersFixture, "config_resentChangeId_returnsTheFirstResult")
{
    REQUIRE(finish(start(0, 1, 2, "once")).value() == 2);
    REQUIRE(finish(start(0, 2, 3, "other")).value() == 3);
    CHECK(finish(start(6, 1, 2, "once")).value() == 2);
    CHECK(finish(start(6, 3, 9, "once")).error().reason == Reason::KeyReused);
    group.run(2s);
    CHECK(group.node(0).config->digest().revision == 3);
}

TEST_CASE_FIXTURE(ConfiguredRoutersFixture, "config_rollBack_createsANewRevisionWithTheOldText")
{
    const std::string first = group.node(0).config->text();
    REQUIRE(apply(0, 1));
    auto out = std::make_shared<Answer>();
    group.node(3).config->rollBack(1, {.base = 2, .author = "desk"},
                                   [out](Result<std::uint64_t> it) { *out = it; });
    CHECK(finish(out).value() == 3);
    CHECK(group.runUntil([&] { return group.allHold(3); }, 4s));
    CHECK(group.node(8).config->text() == first);
    std::vector<ConfigRecord> history;
    group.node(1).config->history(
            10, [&](Result<std::vector<ConfigRecord>> it) { history = it.value(); });
    group.run(1s);
    REQUIRE(history.size() == 3);
    CHECK(history.front().digest.revision == 3);
}

TEST_CASE_FIXTURE(ConfiguredRoutersFixture,
                  "config_storeDownAfterAcceptance_propagatesToAllAndToARestartedRouter")
{
    REQUIRE(apply(0, 1));
    group.table().setMode(StoreMode::Down);
    group.objects().setMode(StoreMode::Down);
    CHECK(group.runUntil([&] { return group.allHold(2); }, 4s));
    group.start(7);
    group.node(7).membership->setVms(group.vms());
    CHECK(group.node(7).config->current() == nullptr);
    CHECK(group.runUntil([&] { return group.allHold(2); }, 10s));
}

TEST_CASE_FIXTURE(ConfiguredRoutersFixture,
                  "config_partitionHealed_lowerSideActivatesTheHigherRevision")
{
    group.block([](std::size_t a, std::size_t b) { return (a < 4) != (b < 4); });
    for (std::uint64_t base = 1; base <= 5; ++base)
        REQUIRE(apply(0, base));
    group.run(5s);
    CHECK(group.node(0).config->digest().revision == 6);
    CHECK(group.node(8).config->digest().revision == 1);
    group.block({});
    for (std::size_t i = 0; i < group.size(); ++i)
        group.node(i).membership->setVms(group.vms());
    CHECK(group.runUntil([&] { return group.allHold(6); }, 10s));
    checkRevisionsOnlyRose();
}

TEST_CASE_FIXTURE(ConfiguredRoutersFixture,
                  "config_storeRestoredFromBackup_keepsTheHigherRevisionAndRefusesChanges")
{
    REQUIRE(apply(0, 1));
    REQUIRE(group.runUntil([&] { return group.allHold(2); }, 4s));
    const std::string old = config_rows::encode(
            {.digest = {.revision = 1, .hash = 1}, .object = "config/old", .author = "desk"});
    group.table().decide({.expects = {}, .writes = {{.key = config_rows::Head, .value = old}}});
    group.node(3).config->refresh();
    const Result<std::uint64_t> result = apply(3, 1);
    REQUIRE_FALSE(result);
    CHECK(result.error().reason == Reason::StoreUnavailable);
    CHECK(group.node(3).config->digest().revision == 2);
}

TEST_CASE("config_peerSendsRevisionWhileHeadIsRead_proposalGetsAConflict")
{
    const ManualClock clock;
    FakeTable table;
    FakeObjectStore objects;
    ConfigManager manager({.table = table,
                           .objects = objects,
                           .clock = clock,
                           .random = seededRandom(1),
                           .after = [](Duration, const std::function<void()> &) {}});
    const std::string first = inventoryText(12, 1);
    const std::string second = inventoryText(12, 2);
    const auto headOf = [](std::uint64_t revision, const std::string &text) {
        return config_rows::encode({.digest = {.revision = revision, .hash = hash64(text)},
                                    .object = "config/it",
                                    .author = "desk"});
    };
    table.rows[config_rows::Head] = {
            .key = config_rows::Head, .value = headOf(1, first), .version = 1};
    REQUIRE(manager.activate({.revision = 1, .hash = hash64(first)}, first));
    Answer answer;
    manager.propose({.text = inventoryText(12, 3), .base = 1, .author = "desk"},
                    [&](Result<std::uint64_t> it) { answer = it; });
    // The answer still contains the first revision, although a peer has sent the second.
    REQUIRE(manager.activate({.revision = 2, .hash = hash64(second)}, second));
    table.end(0, FakeTable::Fate::Answered);
    table.rows[config_rows::Head] = {
            .key = config_rows::Head, .value = headOf(2, second), .version = 2};
    table.endAll();
    REQUIRE(answer.has_value());
    REQUIRE_FALSE(answer->has_value());
    CHECK(answer->error().reason == Reason::ConfigConflict);
    CHECK((answer->error().verdict == Verdict::NotRun));
    CHECK(manager.digest().revision == 2);
}

TEST_CASE_FIXTURE(ConfiguredRoutersFixture,
                  "config_higherHeadRead_waitsForPeersBeforeReadingTheBody")
{
    group.block([](std::size_t, std::size_t b) { return b == 8; });
    REQUIRE(apply(0, 1));
    group.node(8).config->refresh();
    group.run(1s);
    CHECK(group.objects().gets() == 0);
    CHECK(group.runUntil([&] { return group.allHold(2); }, 3s));
    CHECK(group.objects().gets() == 1);
}

TEST_CASE_FIXTURE(ConfiguredRoutersFixture, "propagator_awaitHolders_reportsHowManyHaveTheRevision")
{
    REQUIRE(apply(0, 1));
    std::optional<std::size_t> held;
    group.node(0).propagator->awaitHolders(2, 2, group.clock().now() + 2s,
                                           [&](std::size_t n) { held = n; });
    REQUIRE(group.runUntil([&] { return held.has_value(); }, 2s));
    CHECK(*held >= 2);
    std::optional<std::size_t> late;
    group.node(0).propagator->awaitHolders(99, 2, group.clock().now() + 2s,
                                           [&](std::size_t n) { late = n; });
    group.schedule(0);
    CHECK_FALSE(late);
    group.run(3s);
    CHECK(late == 0);
}

TEST_CASE("textDelta_randomEdits_produceTheNewText")
{
    const RandomSource random = seededRandom(5);
    for (int round = 0; round < 300; ++round) {
        const auto text = [&] {
            std::string out;
            for (std::uint64_t n = below(random, 30); n > 0; --n)
                out += fmt::format("line {}\n", below(random, 12));
            return out + (below(random, 2) == 0 ? "" : "no line feed");
        };
        const std::string from = text();
        const std::string to = text();
        const Result<std::string> out = applyTextDelta(from, makeTextDelta(from, to));
        REQUIRE(out);
        CHECK(out.value() == to);
    }
}

TEST_CASE("textDelta_oneEngineOfMany_isShort")
{
    const TextDelta delta = makeTextDelta(inventoryText(1000, 1), inventoryText(1000, 900));
    std::size_t n = 0;
    for (const TextHunk &it : delta)
        n += it.inserted.size();
    CHECK(delta.size() == 2);
    CHECK(n < 300);
}

TEST_CASE("textDelta_forAnotherText_isRefused")
{
    const TextDelta past = {{.at = 3, .removed = 1, .inserted = "x\n"}};
    const TextDelta disordered = {{.at = 1, .removed = 1, .inserted = {}},
                                  {.at = 0, .removed = 1, .inserted = {}}};
    CHECK_FALSE(applyTextDelta("a\nb\n", past));
    CHECK_FALSE(applyTextDelta("a\nb\n", disordered));
}
