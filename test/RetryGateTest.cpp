#include "Net/RetryGate.h"
#include "Base/ManualClock.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// A stream at replica i-0 of four replicas, which has stalled.
struct RetryGateFixture
{
    static constexpr Duration StallLimit = 1200ms;

    RetryGateFixture()
    {
        auto config = std::make_shared<RouteConfig>();
        config->routes.push_back({.name = "/stream/",
                                  .host = "h.example",
                                  .pathPrefix = "/stream/",
                                  .kind = CallKind::Streaming,
                                  .resumable = true,
                                  .maxAttempts = 2,
                                  .timeout = 4s,
                                  .targets = {{"svc"}}});
        request.routes = std::make_shared<RouteTable>(config);
        request.route = request.routes->config().routes.data();
        request.receivedAt = clock.now();
        for (int i = 0; i < Replicas; ++i) {
            records.push_back({.id = fmt::format("i-{}", i), .service = "svc", .slots = 4});
            ids.push_back(records.back().incarnation());
        }
        pools.setReplicas(records);
        REQUIRE(!admission.admit(service.admission, request, 4s));
        history.sent(ids[0]);
        for (const std::string &it : ids)
            service.silence.sent(it);
    }

    /// Advances the clock beyond the stall limit, while only the replicas \a heard send bytes.
    void stall(const std::vector<int> &heard)
    {
        clock.advance(StallLimit);
        for (const int it : heard)
            service.silence.received(ids[static_cast<std::size_t>(it)]);
    }

    RetryGate::Query query()
    {
        return {.service = service,
                .request = request,
                .history = history,
                .admission = admission,
                .remaining = remaining,
                .blockedBy = blockedBy};
    }

    RetryGate::SilentAttempt attempt() const
    {
        return {.replica = ids[0], .stallLimit = StallLimit};
    }

    /// \returns the id of the replica that may replace the attempt; empty if it has to go on.
    std::string replacement()
    {
        const ReplicaPool::Choice out = gate.permitReplacement(query(), attempt());
        return out.replica ? out.replica->id : std::string();
    }

    int spent() const { return service.retryBudget.usage(1).retries; }

    static constexpr int Replicas = 4;

    ManualClock clock;
    Metrics metrics;
    EntrySettings settings{.fleetRetryShare = 0, .fleetRetrySlack = 100};
    ServicePools pools{clock, seededRandom(1), settings};
    ServicePool &service = pools.of("svc");
    std::vector<ReplicaRecord> records;
    std::vector<std::string> ids; ///< Incarnations.
    EntryRequest request;
    EntryAdmission admission{metrics};
    AttemptHistory history;
    Duration remaining = 2s;
    std::string_view blockedBy;
    RetryGate gate{metrics};
};

} // namespace

TEST_CASE_FIXTURE(RetryGateFixture, "retryGate_oneReplicaIsSilent_anotherOneMayReplaceIt")
{
    stall({1, 2, 3});
    const std::string next = replacement();
    CHECK(!next.empty());
    CHECK(next != "i-0");
    CHECK(gate.denial().empty());
    CHECK(spent() == 1);
}

// Guards against requests that move from one silent replica to another one.
TEST_CASE_FIXTURE(RetryGateFixture, "retryGate_twoReplicasAreSilent_noneOfThemIsChosen")
{
    stall({2, 3});
    for (int i = 0; i < 20; ++i) {
        const std::string next = replacement();
        CHECK((next == "i-2" || next == "i-3"));
    }
}

// Guards against a retry budget that is spent while all replicas stand still for a moment.
TEST_CASE_FIXTURE(RetryGateFixture, "retryGate_mostReplicasAreSilent_attemptGoesOn")
{
    stall({3});
    CHECK(replacement().empty());
    CHECK(gate.denial() == "silence");
    CHECK(RetryGate::isSilentTogether(service, attempt()));
    CHECK(spent() == 0);
    for (const std::string &it : ids)
        service.silence.received(it);
    CHECK(!RetryGate::isSilentTogether(service, attempt()));
}

// Guards against a retry that is counted although no replica can take it.
TEST_CASE_FIXTURE(RetryGateFixture, "retryGate_noOtherReplica_budgetIsNotSpent")
{
    for (int i = 1; i < Replicas; ++i)
        service.replicas.excludeFor(ids[static_cast<std::size_t>(i)], 10s);
    stall({1, 2, 3});
    CHECK(replacement().empty());
    CHECK(gate.denial() == "no_replica");
    CHECK(spent() == 0);
}

// Guards against a denial that is counted each time the question is repeated.
TEST_CASE_FIXTURE(RetryGateFixture, "retryGate_budgetIsEmpty_denialIsCountedOncePerAttempt")
{
    settings.fleetRetrySlack = 0;
    pools.applySettings();
    stall({1, 2, 3});
    for (int i = 0; i < 5; ++i)
        CHECK(replacement().empty());
    CHECK(gate.denial() == "budget");
    CHECK(metrics.counter("catkinloft_repeats_denied_total") == 1);
    gate.reset();
    CHECK(replacement().empty());
    CHECK(metrics.counter("catkinloft_repeats_denied_total") == 2);
}

TEST_CASE_FIXTURE(RetryGateFixture, "retryGate_attemptsAreUsedUpOrBlocked_isDenied")
{
    stall({1, 2, 3});
    blockedBy = "proof";
    CHECK(replacement().empty());
    CHECK(gate.denial() == "proof");
    remaining = 10ms;
    CHECK(replacement().empty());
    CHECK(gate.denial() == "deadline");
    history.sent(ids[1]);
    CHECK(replacement().empty());
    CHECK(gate.denial() == "attempts");
    CHECK(spent() == 0);
}

// Guards against a request that stays on a lost path because its replica was the only one: another
// router may reach it.
TEST_CASE_FIXTURE(RetryGateFixture, "retryGate_lostPathAndNoOtherReplica_sameOneIsChosen")
{
    for (int i = 1; i < Replicas; ++i)
        service.replicas.excludeFor(ids[static_cast<std::size_t>(i)], 10s);
    stall({});
    const ReplicaPool::Choice next = gate.permitReplacement(
            query(), {.replica = ids[0], .stallLimit = StallLimit, .isOnLostPath = true});
    REQUIRE(next.replica);
    CHECK(next.replica->id == "i-0");
}

// Guards against a slow call that is ended for another attempt although its replica is alive.
TEST_CASE_FIXTURE(RetryGateFixture, "retryGate_callAtLiveReplica_goesOnAndBudgetIsNotSpent")
{
    const auto replacementOf = [this](const RetryGate::SilentAttempt &it) {
        gate.reset();
        return gate.permitReplacement(query(), it).replica != nullptr;
    };
    RetryGate::SilentAttempt call{
            .replica = ids[0], .stallLimit = StallLimit, .callRoute = "/safe/", .time = StallLimit};
    stall({1, 2, 3});
    service.slowCalls.received(ids[0]);
    CHECK(!replacementOf(call));
    CHECK(gate.denial() == "slow");
    CHECK(spent() == 0);
    call.callRoute.clear();
    CHECK(replacementOf(call));
    call.callRoute = "/safe/";
    clock.advance(StallLimit / 2);
    for (int i = 1; i < Replicas; ++i)
        service.silence.received(ids[static_cast<std::size_t>(i)]);
    CHECK(replacementOf(call));
    CHECK(spent() == 2);
}
