#include "Base/ManualClock.h"
#include "Decide/Dispatcher.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

InventoryPtr makeInventory(int engines, std::uint64_t revision = 1,
                           const std::vector<int> &leaving = {}, int slots = 32)
{
    std::string text = "places: [{name: d1, region: r}, {name: d2, region: r}]\nengines:\n";
    for (int i = 0; i < engines; ++i) {
        const bool leaves = std::find(leaving.begin(), leaving.end(), i) != leaving.end();
        text += fmt::format("  - {{name: e{}, model: m, address: \"127.0.0.1:{}\", "
                            "failure_domain: d{}, slots: {}, leaving: {}}}\n",
                            i, i + 1, i % 2 + 1, slots, leaves);
    }
    text += "workspaces:\n";
    const char *names[] = {"large", "small", "archive", "limited"};
    for (int i = 0; i < 4; ++i)
        text += fmt::format("  - {{name: {}, key_sha256: \"{:064x}\", protected: {}, "
                            "max_in_flight: {}}}\n",
                            names[i], i + 1, i == 2, i == 3 ? 2 : 0);
    YamlProblems problems;
    InventoryPtr out = Inventory::parse(text, "test", revision, problems);
    REQUIRE(out);
    return out;
}

/// A dispatcher over engines that exist only in the inventory; finish() ends their jobs.
struct DispatcherFixture
{
    struct Outcome
    {
        std::optional<Assignment> assignment;
        std::optional<Error> error;
    };

    explicit DispatcherFixture(int engineCount = 9, int slots = 32)
        : inventory(makeInventory(engineCount, 1, {}, slots)),
          dispatcher({.clock = clock, .random = seededRandom(1), .self = "r0"})
    {
        dispatcher.setEngines(inventory, "m");
    }

    JobId submit(Job job)
    {
        job.id = ++lastId;
        if (job.deadline == TimePoint())
            job.deadline = clock.now() + 60s;
        outcomes[job.id];
        dispatcher.submit(std::move(job), [this, id = lastId](Result<Assignment> it) {
            Outcome &out = outcomes[id];
            REQUIRE_FALSE((out.assignment || out.error));
            if (it)
                out.assignment = it.value();
            else
                out.error = it.error();
        });
        return lastId;
    }

    JobId submitChat(std::uint64_t key, double work = 100, const std::string &workspace = "small")
    {
        return submit({.workspace = workspace,
                       .chatKey = key,
                       .work = work,
                       .deadline = {},
                       .excluded = {}});
    }

    void finish(JobId id, Duration total = 100ms, bool succeeded = true,
                Reason reason = Reason::UpstreamBroken)
    {
        dispatcher.finished(id,
                            {.succeeded = succeeded,
                             .verdict = Verdict::Ran,
                             .reason = reason,
                             .untilFirstByte = total,
                             .total = total});
    }

    std::string upstreamOf(JobId id)
    {
        const Outcome &it = outcomes.at(id);
        return it.assignment ? it.assignment->upstream : std::string();
    }

    ManualClock clock;
    InventoryPtr inventory;
    Dispatcher dispatcher;
    JobId lastId = 0;
    std::map<JobId, Outcome> outcomes;
};

struct TwoSlotsFixture : DispatcherFixture
{
    TwoSlotsFixture() : DispatcherFixture(2, 1) { }

    void saturate()
    {
        submitChat(1, 100, "large");
        submitChat(2, 100, "large");
        REQUIRE(dispatcher.waiting() == 0);
    }

    std::set<JobId> served;
};

} // namespace

TEST_CASE_FIXTURE(DispatcherFixture, "dispatcher_returningChat_findsItsEngineAgain")
{
    for (std::uint64_t key = 1; key < 50; ++key) {
        const JobId first = submitChat(key);
        finish(first);
        const JobId again = submitChat(key);
        finish(again);
        CHECK(upstreamOf(first) == upstreamOf(again));
    }
}

TEST_CASE("dispatcher_anyTraffic_keepsEveryEngineWithinTheBoundPlusOneJob")
{
    // Runs the same cases every time, unless RC_PARAMS="seed=..." is set.
    setenv("RC_PARAMS", "seed=1", 0);
    const bool held = rc::check([] {
        const int engines = *rc::gen::inRange(2, 40);
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto chats = *rc::gen::inRange<std::uint64_t>(1, 300);
        DispatcherFixture it(engines);
        const RandomSource random = seededRandom(seed);
        std::vector<JobId> running;
        double largest = 0;
        for (int step = 0; step < 400; ++step) {
            if (below(random, 3) != 0 || running.empty()) {
                const double work = below(random, 10) == 0 ? 20'000 : 50 + 10 * uniform(random);
                largest = std::max(largest, work);
                const JobId id = it.submitChat(below(random, chats) + 1, work);
                if (it.outcomes[id].assignment)
                    running.push_back(id);
                const Placement &p = it.dispatcher.placement();
                const std::string placed = it.upstreamOf(id);
                for (std::size_t i = 0; i < p.size(); ++i) {
                    // Only where load was just added: on other engines the mean may have decreased
                    // after their jobs were placed.
                    if (p.upstream(i).name == placed)
                        RC_ASSERT(p.loadOf(i) <= 1.25 * p.meanLoad() + work + 1e-6);
                }
            } else {
                const std::size_t i = below(random, running.size());
                it.finish(running[i]);
                running.erase(running.begin() + static_cast<std::ptrdiff_t>(i));
            }
        }
    });
    CHECK(held);
}

TEST_CASE_FIXTURE(DispatcherFixture, "dispatcher_oneChatBursts_overflowsInItsOwnOrder")
{
    std::map<std::string, int> hits;
    for (int i = 0; i < 90; ++i)
        ++hits[upstreamOf(submitChat(7))];
    CHECK(hits.size() >= 8); // Eight engines with 1.25 times the mean hold all 90 jobs.
    for (const auto &[name, n] : hits)
        CHECK(n <= 14); // 1.25 * 10 plus one job, rounded up.
}

TEST_CASE_FIXTURE(DispatcherFixture, "dispatcher_leavingEngine_getsNoNewWorkButKeepsItsOwn")
{
    const JobId old = submitChat(3);
    const int engine = std::stoi(upstreamOf(old).substr(1));
    dispatcher.setEngines(makeInventory(9, 2, {engine}), "m");
    for (std::uint64_t key = 1; key < 200; ++key) {
        const JobId id = submitChat(key);
        CHECK(upstreamOf(id) != upstreamOf(old));
        finish(id);
    }
    finish(old);
}

TEST_CASE_FIXTURE(DispatcherFixture, "dispatcher_engineReturns_getsItsLoadBackSlowly")
{
    dispatcher.setEngines(makeInventory(9, 2, {4}), "m");
    dispatcher.setEngines(makeInventory(9, 3), "m");
    const auto countOn4 = [&] {
        std::vector<JobId> ids;
        for (std::uint64_t key = 1; key <= 180; ++key)
            ids.push_back(submitChat(key));
        const auto n = std::count_if(ids.begin(), ids.end(),
                                     [&](JobId it) { return upstreamOf(it) == "e4"; });
        for (const JobId it : ids)
            finish(it);
        return n;
    };
    const auto early = countOn4();
    clock.advance(11s);
    CHECK(early <= 4);
    CHECK(countOn4() >= 10);
}

TEST_CASE_FIXTURE(DispatcherFixture, "dispatcher_allLeaving_refusesAtOnceWithReason")
{
    dispatcher.setEngines(makeInventory(2, 2, {0, 1}), "m");
    const JobId id = submitChat(1);
    REQUIRE(outcomes[id].error);
    CHECK(outcomes[id].error->reason == Reason::NoLiveEngine);
}

TEST_CASE_FIXTURE(DispatcherFixture, "dispatcher_deadlinePassedOnEntry_refusesAsNotRun")
{
    const JobId id = submit({.workspace = "small", .deadline = clock.now() - 1ms, .excluded = {}});
    REQUIRE(outcomes[id].error);
    CHECK(outcomes[id].error->reason == Reason::DeadlineExpired);
    CHECK((outcomes[id].error->verdict == Verdict::NotRun));
}

TEST_CASE_FIXTURE(DispatcherFixture, "dispatcher_workspaceAtItsLimit_refusesUntilOneEnds")
{
    const JobId first = submitChat(1, 100, "limited");
    submitChat(2, 100, "limited");
    const JobId third = submitChat(3, 100, "limited");
    REQUIRE(outcomes[third].error);
    CHECK(outcomes[third].error->reason == Reason::WorkspaceLimit);
    finish(first);
    CHECK(outcomes[submitChat(4, 100, "limited")].assignment);
}

TEST_CASE_FIXTURE(TwoSlotsFixture, "dispatcher_saturated_queuesAndPlacesWhenOneEnds")
{
    saturate();
    const JobId waiting = submitChat(3);
    CHECK(dispatcher.waiting() == 1);
    clock.advance(300ms);
    finish(1);
    REQUIRE(outcomes[waiting].assignment);
    CHECK(outcomes[waiting].assignment->waited == 300ms);
    CHECK(dispatcher.nextDeadline() == TimePoint::max());
}

TEST_CASE_FIXTURE(TwoSlotsFixture, "dispatcher_waitsTooLong_refusesWithFiguresAndHint")
{
    saturate();
    const JobId waiting = submitChat(3);
    clock.advance(2s);
    dispatcher.poll();
    REQUIRE(outcomes[waiting].error);
    CHECK(outcomes[waiting].error->reason == Reason::SojournExceeded);
    CHECK(outcomes[waiting].error->rule == "rules.queue_sojourn");
    CHECK(outcomes[waiting].error->retryAfter);
    CHECK_FALSE(outcomes[waiting].error->figures.empty());
}

TEST_CASE_FIXTURE(TwoSlotsFixture, "dispatcher_shortDeadline_refusesWhileHalfOfItIsLeft")
{
    saturate();
    const JobId id = submit(
            {.workspace = "small", .chatKey = 9, .deadline = clock.now() + 1s, .excluded = {}});
    clock.advance(500ms);
    dispatcher.poll();
    REQUIRE(outcomes[id].error);
    CHECK(outcomes[id].error->reason == Reason::DeadlineExpired);
}

TEST_CASE_FIXTURE(TwoSlotsFixture, "dispatcher_surgeInQueue_smallWorkspaceIsServedNext")
{
    saturate();
    for (std::uint64_t i = 0; i < 40; ++i)
        submitChat(10 + i, 100, "large");
    const JobId small = submitChat(99);
    finish(1);
    finish(2);
    CHECK(outcomes[small].assignment);
}

TEST_CASE_FIXTURE(TwoSlotsFixture, "dispatcher_cancelledWhileWaiting_isNeverAnswered")
{
    saturate();
    const JobId id = submitChat(3);
    dispatcher.cancel(id);
    finish(1);
    clock.advance(10s);
    dispatcher.poll();
    CHECK_FALSE(outcomes[id].assignment);
    CHECK_FALSE(outcomes[id].error);
}

TEST_CASE_FIXTURE(TwoSlotsFixture, "dispatcher_poolOverloaded_allowsNoRetry")
{
    const Job job{.workspace = "small", .deadline = clock.now() + 1s, .excluded = {"e0"}};
    CHECK(dispatcher.mayRetry(job, Reason::UpstreamUnreachable));
    CHECK_FALSE(dispatcher.mayRetry(job, Reason::UpstreamRefused));
    saturate();
    submitChat(3);
    CHECK_FALSE(dispatcher.mayRetry(job, Reason::UpstreamUnreachable));
}

TEST_CASE_FIXTURE(DispatcherFixture, "dispatcher_everythingFails_retriesStayWithinTheirShare")
{
    int retries = 0;
    for (std::uint64_t key = 1; key <= 1000; ++key) {
        const JobId id = submitChat(key);
        finish(id);
        const Job job{.chatKey = key, .deadline = clock.now() + 1s, .excluded = {}};
        retries += dispatcher.mayRetry(job, Reason::UpstreamUnreachable) ? 1 : 0;
    }
    CHECK(retries <= 1000 * 0.1 + 32);
    CHECK(retries >= 100);
}

TEST_CASE_FIXTURE(DispatcherFixture, "dispatcher_crashedEngine_isExcludedAfterItsFailures")
{
    const JobId first = submitChat(5);
    const std::string crashed = upstreamOf(first);
    finish(first, 1ms, false);
    for (int i = 0; i < 2; ++i)
        finish(submitChat(5), 1ms, false);
    for (std::uint64_t key = 1; key < 100; ++key) {
        const JobId id = submitChat(key);
        CHECK(upstreamOf(id) != crashed);
        finish(id);
    }
}

TEST_CASE_FIXTURE(DispatcherFixture, "dispatcher_twoRouters_exactlyTheOtherRelaysOnceToTheOwner")
{
    const std::vector<RouterView> routers{{.name = "r0", .callerAddress = "127.0.0.1:100"},
                                          {.name = "r1", .callerAddress = "127.0.0.1:101"}};
    Dispatcher other({.clock = clock, .random = seededRandom(2), .self = "r1"});
    other.setEngines(inventory, "m");
    other.setRouters(routers);
    dispatcher.setRouters(routers);
    for (std::uint64_t key = 1; key <= 100; ++key) {
        const JobId id = submitChat(key);
        const Assignment here = *outcomes[id].assignment;
        finish(id);
        std::optional<Assignment> there;
        const Job job{.id = 1, .workspace = "small", .chatKey = key, .deadline = clock.now() + 1s};
        other.submit(job, [&](Result<Assignment> it) { there = it.value(); });
        other.finished(1, {.succeeded = true});
        CHECK(here.relayed != there->relayed);
        CHECK(here.upstream == there->upstream);
        CHECK((here.address == "127.0.0.1:101") == here.relayed);
        const JobId hopped =
                submit({.workspace = "small", .chatKey = key, .deadline = {}, .hops = 1});
        CHECK_FALSE(outcomes[hopped].assignment->relayed);
        CHECK(upstreamOf(hopped) == here.upstream);
        finish(hopped);
    }
}

TEST_CASE_FIXTURE(DispatcherFixture, "dispatcher_ownerDoesNotAnswer_isExcludedForAWhile")
{
    dispatcher.setRouters({{.name = "r0", .callerAddress = "127.0.0.1:100"},
                           {.name = "r1", .callerAddress = "127.0.0.1:101"}});
    std::uint64_t key = 1;
    while (!outcomes[submitChat(key)].assignment->relayed)
        ++key;
    finish(lastId, 1ms, false, Reason::UpstreamUnreachable);
    std::set<std::string> used;
    for (int i = 0; i < 3; ++i) {
        const Assignment it = *outcomes[submitChat(key)].assignment;
        CHECK_FALSE(it.relayed);
        used.insert(it.upstream);
    }
    // Meanwhile this router counts the load itself and applies the bound.
    CHECK(used.size() == 3);
    for (int i = 0; i < 3; ++i)
        finish(lastId - static_cast<JobId>(i));
    clock.advance(6s);
    CHECK(outcomes[submitChat(key)].assignment->relayed);
}

TEST_CASE_FIXTURE(DispatcherFixture, "dispatcher_othersLoadAnEngine_placesOwnWorkElsewhere")
{
    const JobId first = submitChat(5, 1000);
    const std::string engine = upstreamOf(first);
    const std::vector<LoadReport> reports{{.upstream = engine,
                                           .router = "r1",
                                           .work = 9000,
                                           .inFlight = 3,
                                           .measuredAt = clock.now()}};
    dispatcher.addLoadReports(reports);
    CHECK(upstreamOf(submitChat(5, 1000)) != engine);
    // The reporting router is gone: when its report expires, the engine counts as idle again.
    clock.advance(11s);
    finish(first);
    dispatcher.poll();
    CHECK(upstreamOf(submitChat(5, 1000)) == engine);
}

TEST_CASE_FIXTURE(DispatcherFixture,
                  "dispatcher_oneSlowEngine_losesItsTrafficAndTheOthersKeepTheirs")
{
    const std::string slow = upstreamOf(submitChat(1));
    finish(lastId);
    std::map<std::string, int> late;
    for (int round = 0; round < 40; ++round) {
        for (std::uint64_t key = 1; key <= 60; ++key) {
            const JobId id = submitChat(key);
            if (round >= 30)
                ++late[upstreamOf(id)];
            finish(id, upstreamOf(id) == slow ? 2s : 100ms);
            clock.advance(2ms);
        }
    }
    CHECK(late[slow] == 0);
    CHECK(late.size() == 9); // late[slow] above added the slow engine, with 0.
}

TEST_CASE_FIXTURE(DispatcherFixture, "dispatcher_longBesideShortWork_sendsShortWorkElsewhere")
{
    const std::string busy = upstreamOf(submitChat(1, 20'000));
    for (std::uint64_t key = 2; key <= 60; ++key)
        CHECK(upstreamOf(submitChat(key, 100)) != busy);
}

TEST_CASE_FIXTURE(TwoSlotsFixture, "dispatcher_protectedSurge_othersGetOneJobInFive")
{
    saturate();
    std::vector<JobId> small;
    for (std::uint64_t i = 0; i < 50; ++i) {
        submitChat(100 + i, 100, "archive");
        small.push_back(submitChat(200 + i));
    }
    std::vector<JobId> running{1, 2};
    for (int i = 0; i < 25; ++i) {
        finish(running.front());
        running.erase(running.begin());
        for (const auto &[id, outcome] : outcomes) {
            const bool known = std::find(running.begin(), running.end(), id) != running.end();
            if (outcome.assignment && id > 2 && !known && !served.contains(id))
                running.push_back(id);
        }
        for (const JobId id : running)
            served.insert(id);
    }
    const auto n = std::count_if(small.begin(), small.end(),
                                 [&](JobId it) { return served.contains(it); });
    CHECK(n == 5);
}
