#include "Net/EntryAdmission.h"
#include "Base/ManualClock.h"
#include "Net/BrittlePage.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <vector>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// The admission of one model service with chats (priority 0) and bulk prompts (priority 2).
struct EntryAdmissionFixture
{
    EntryAdmissionFixture() { create({}); }

    void create(Mechanisms mechanisms)
    {
        held.clear();
        service = std::make_unique<ServiceAdmission>(
                ServiceAdmission::Options{.clock = clock,
                                          .random = seededRandom(1),
                                          .service = "model",
                                          .mechanisms = mechanisms});
    }

    static std::shared_ptr<const RouteTable> makeRoutes()
    {
        auto out = std::make_shared<RouteConfig>();
        const Route base{.host = "h.example",
                         .kind = CallKind::Streaming,
                         .resumable = true,
                         .usesPromptCache = true,
                         .timeout = 8s,
                         .targetLatency = 500ms,
                         .targets = {{"model"}}};
        for (const auto &[prefix, priority] : {std::pair("/chat/", 0), std::pair("/bulk/", 2)}) {
            Route it = base;
            it.name = it.pathPrefix = prefix;
            it.priority = priority;
            out->routes.push_back(it);
        }
        Route call = base;
        call.name = call.pathPrefix = "/call/";
        call.kind = CallKind::NonIdempotent;
        call.usesPromptCache = false;
        out->routes.push_back(call);
        Route whole = out->routes[Bulk];
        whole.name = whole.pathPrefix = "/whole/";
        whole.resumable = false;
        out->routes.push_back(whole);
        return std::make_shared<RouteTable>(out);
    }

    EntryRequest request(std::size_t route) const
    {
        EntryRequest out;
        out.routes = routes;
        out.route = &routes->config().routes[route];
        out.receivedAt = clock.now();
        return out;
    }

    std::optional<Error> admit(EntryAdmission &admission, const EntryRequest &it) const
    {
        return admission.admit(*service, it, 6s);
    }

    /// Sends chats that get no first event, while the engines report that their slots are taken.
    void overload()
    {
        for (int i = 0; i < 200; ++i) {
            requests.push_back(std::make_unique<EntryRequest>(request(i % 2 == 0 ? Chat : Bulk)));
            auto admission = std::make_unique<EntryAdmission>(metrics);
            if (!admit(*admission, *requests.back()))
                held.push_back(std::move(admission));
            held.front()->headReceived(
                    "i-0", {.load = ReplicaLoad{.running = 16, .waiting = 9, .slots = 16}}, 200);
            clock.advance(10ms);
        }
        REQUIRE(service->isOverloaded(true));
    }

    /// \returns how many of 200 requests are refused at once.
    int refusedOf(std::size_t route)
    {
        int n = 0;
        const EntryRequest it = request(route);
        for (int i = 0; i < 200; ++i) {
            EntryAdmission admission(metrics);
            n += admit(admission, it) ? 1 : 0;
        }
        return n;
    }

    static constexpr std::size_t Chat = 0;
    static constexpr std::size_t Bulk = 1;
    static constexpr std::size_t Call = 2;
    static constexpr std::size_t Whole = 3; ///< As Bulk, but not resumable.

    ManualClock clock;
    Metrics metrics;
    std::shared_ptr<const RouteTable> routes = makeRoutes();
    std::unique_ptr<ServiceAdmission> service;
    std::vector<std::unique_ptr<EntryRequest>> requests;
    std::vector<std::unique_ptr<EntryAdmission>> held;
};

} // namespace

TEST_CASE_FIXTURE(EntryAdmissionFixture, "entryAdmission_noOverload_admitsAllAndStatesPriorities")
{
    for (const std::size_t route : {Chat, Bulk, Call}) {
        const EntryRequest it = request(route);
        EntryAdmission admission(metrics);
        CHECK_FALSE(admit(admission, it));
        CHECK(admission.mayRetry(Verdict::MayHaveRun, false));
        if (route == Call)
            CHECK_FALSE(admission.statedPriority());
        else
            CHECK(admission.statedPriority() == (route == Chat ? 0 : 8));
    }
    CHECK(service->prompts().inProgress() == 0);
}

// Guards against a workspace's priority that is ignored in favour of its route's, and against
// routes that are all alike because every workspace has the same priority.
TEST_CASE_FIXTURE(EntryAdmissionFixture, "entryAdmission_workspaceWithPriority_goesBeforeTheRoute")
{
    const WorkspaceConfig workspace{.name = "branch", .priority = 1};
    EntryRequest it = request(Bulk);
    it.workspace = &workspace;
    EntryAdmission admission(metrics);
    CHECK_FALSE(admit(admission, it));
    CHECK(admission.statedPriority() == 5);
}

// Guards against prompts that wait in the queues of full engines until they are late, and against
// refusals that don't explain themselves.
TEST_CASE_FIXTURE(EntryAdmissionFixture, "entryAdmission_overload_refusesWithFiguresAndRetryAfter")
{
    overload();
    const EntryRequest it = request(Bulk);
    std::optional<Error> refused;
    for (int i = 0; i < 200 && !refused; ++i) {
        EntryAdmission admission(metrics);
        refused = admit(admission, it);
    }
    REQUIRE(refused);
    CHECK(refused->reason == Reason::EnginesSaturated);
    CHECK((refused->verdict == Verdict::NotRun));
    REQUIRE(refused->retryAfter);
    CHECK(*refused->retryAfter > 0ms);
    CHECK(*refused->retryAfter <= 2s);
    for (const char *name : {"priority", "limit", "in_progress", "late_share", "occupancy"}) {
        CAPTURE(std::string(name));
        CHECK(std::any_of(refused->figures.begin(), refused->figures.end(),
                          [&](const Figure &figure) { return figure.name == name; }));
    }
    CHECK(metrics.counter("catkinloft_admission_refused_total", R"(service="model",priority="2")")
          > 0);
}

// Guards against an overload in which the most urgent requests are refused like all others.
TEST_CASE_FIXTURE(EntryAdmissionFixture, "entryAdmission_overload_refusesTheLeastUrgentMore")
{
    overload();
    // Room for a few: the most urgent get it.
    while (service->prompts().inProgress() > 0.7 * service->prompts().limit())
        held.pop_back();
    CHECK(refusedOf(Bulk) > refusedOf(Chat));
}

// Guards against a refusal in the middle of a stream, which would waste what the caller has of it.
TEST_CASE_FIXTURE(EntryAdmissionFixture, "entryAdmission_resumedStreamUnderOverload_isNotRefused")
{
    overload();
    EntryRequest it = request(Bulk);
    it.facts.lastEventId = 7;
    for (int i = 0; i < 100; ++i) {
        EntryAdmission admission(metrics);
        CHECK_FALSE(admit(admission, it));
    }
}

// Guards against callers that evade the limit with a header that means nothing on their route.
TEST_CASE_FIXTURE(EntryAdmissionFixture, "entryAdmission_eventIdOnRouteWithoutResumption_isIgnored")
{
    overload();
    EntryRequest it = request(Whole);
    it.facts.lastEventId = 7;
    int refused = 0;
    for (int i = 0; i < 200; ++i) {
        EntryAdmission admission(metrics);
        refused += admit(admission, it) ? 1 : 0;
    }
    CHECK(refused > 0);
}

// Guards against the loss of a resumed stream whose first attempt at this router fails before an
// event: the caller has a part of it from before.
TEST_CASE_FIXTURE(EntryAdmissionFixture, "entryAdmission_resumedStreamFailsUnderOverload_isRetried")
{
    overload();
    EntryRequest it = request(Bulk);
    it.facts.lastEventId = 7;
    EntryAdmission admission(metrics);
    REQUIRE_FALSE(admit(admission, it));
    CHECK(admission.mayRetry(Verdict::MayHaveRun, false));
}

// Guards against a caller that retries at once because it was told to wait for no time.
TEST_CASE_FIXTURE(EntryAdmissionFixture, "entryAdmission_refusedWithNoTimeLeft_retryAfterIsNotZero")
{
    overload();
    const EntryRequest it = request(Bulk);
    for (const Duration remaining : {Duration(-5ms), Duration(0), Duration(1ms)}) {
        int refused = 0;
        for (int i = 0; i < 200; ++i) {
            EntryAdmission admission(metrics);
            const std::optional<Error> error = admission.admit(*service, it, remaining);
            if (!error)
                continue;
            ++refused;
            REQUIRE(error->retryAfter);
            CHECK(*error->retryAfter >= 1ms);
        }
        CHECK(refused > 0);
    }
}

// Guards against an overflow that states the least urgent requests as the most urgent ones.
TEST_CASE_FIXTURE(EntryAdmissionFixture, "entryAdmission_priorityOutOfRange_isStatedAsTheLast")
{
    const WorkspaceConfig workspace{.name = "branch", .priority = 1'000'000'000};
    EntryRequest it = request(Bulk);
    it.workspace = &workspace;
    EntryAdmission admission(metrics);
    CHECK_FALSE(admit(admission, it));
    CHECK(admission.statedPriority() == 8);
}

// Guards against repeated attempts that pass as first ones because a few callers state a timeout
// beyond that of the route, which the router doesn't grant.
TEST_CASE_FIXTURE(EntryAdmissionFixture, "entryAdmission_timeoutsBeyondTheRoutes_countAsTheRoutes")
{
    EntryRequest it = request(Chat);
    for (int i = 0; i < 64; ++i) {
        it.facts.callerTimeout = i % 8 == 0 ? Duration(10min) : Duration(8s);
        service->rankOf(it);
    }
    overload();
    it.facts.callerTimeout = 8s;
    CHECK_FALSE(service->rankOf(it).repeated);
    it.facts.callerTimeout = 5s;
    CHECK(service->rankOf(it).repeated);
}

// Guards against repeated attempts that are learned as first ones when a limit ends and begins
// again during one overload.
TEST_CASE_FIXTURE(EntryAdmissionFixture, "entryAdmission_repeatsAfterALimit_areNotLearned")
{
    EntryRequest it = request(Chat);
    it.facts.callerTimeout = 8s;
    for (int i = 0; i < 64; ++i)
        service->rankOf(it);
    overload();
    held.clear();
    it.facts.callerTimeout = 5s;
    service->rankOf(it);
    clock.advance(2500ms);
    REQUIRE_FALSE(service->isOverloaded(true));
    for (int i = 0; i < 20; ++i) {
        service->rankOf(it);
        clock.advance(100ms);
    }
    overload();
    CHECK(service->rankOf(it).repeated);
}

// Guards against callers without a workspace whose surge takes capacity from all workspaces.
TEST_CASE_FIXTURE(EntryAdmissionFixture, "entryAdmission_callersWithoutWorkspace_haveOneShare")
{
    std::vector<WorkspaceConfig> workspaces(10);
    for (std::size_t i = 0; i < workspaces.size(); ++i)
        workspaces[i].name = fmt::format("w{}", i);
    EntryRequest it = request(Chat);
    for (std::size_t i = 0; i < 1800; ++i) {
        it.workspace = &workspaces[i % workspaces.size()];
        CHECK_FALSE(service->rankOf(it).overShare);
        clock.advance(100ms);
    }
    it.workspace = nullptr;
    int over = 0;
    for (int i = 0; i < 1000; ++i) {
        over += service->rankOf(it).overShare ? 1 : 0;
        clock.advance(25ms);
    }
    CHECK(over > 500);
}

// Guards against retries that multiply the load of an overloaded service.
TEST_CASE_FIXTURE(EntryAdmissionFixture, "entryAdmission_overload_retriesOnlyTheMostUrgent")
{
    requests.push_back(std::make_unique<EntryRequest>(request(Chat)));
    requests.push_back(std::make_unique<EntryRequest>(request(Bulk)));
    EntryAdmission chat(metrics);
    EntryAdmission bulk(metrics);
    REQUIRE_FALSE(admit(chat, *requests[Chat]));
    REQUIRE_FALSE(admit(bulk, *requests[Bulk]));
    overload();
    CHECK(chat.mayRetry(Verdict::MayHaveRun, false));
    CHECK_FALSE(bulk.mayRetry(Verdict::MayHaveRun, false));
    CHECK(bulk.mayRetry(Verdict::MayHaveRun, true));
}

// Guards against the use of a service that was destroyed before the last finished call.
TEST_CASE_FIXTURE(EntryAdmissionFixture, "entryAdmission_endedRequest_mayOutliveItsService")
{
    const EntryRequest it = request(Chat);
    EntryAdmission admission(metrics);
    CHECK_FALSE(admit(admission, it));
    CHECK(service->prompts().inProgress() == 1);
    admission.end();
    CHECK(service->prompts().inProgress() == 0);
    service.reset();
}

// Guards against a switch that doesn't switch the limit off.
TEST_CASE_FIXTURE(EntryAdmissionFixture, "entryAdmission_switchedOff_refusesNothing")
{
    Mechanisms mechanisms;
    mechanisms.promptAdmission = false;
    mechanisms.requestPriorities = false;
    create(mechanisms);
    for (int i = 0; i < 200; ++i) {
        requests.push_back(std::make_unique<EntryRequest>(request(Bulk)));
        held.push_back(std::make_unique<EntryAdmission>(metrics));
        CHECK_FALSE(admit(*held.back(), *requests.back()));
        CHECK_FALSE(held.back()->statedPriority());
        held.back()->headReceived(
                "i-0", {.load = ReplicaLoad{.running = 16, .waiting = 9, .slots = 16}}, 200);
        clock.advance(10ms);
    }
}

// Guards against logs and gauges of a limit that is not applied.
TEST_CASE_FIXTURE(EntryAdmissionFixture, "entryAdmission_switchedOff_reportsNoLimit")
{
    const std::string noLimit = "catkinloft_admission_limit{service=\"model\"} 0\n";
    overload();
    service->collect(metrics);
    CHECK(metrics.print().find(noLimit) == std::string::npos);
    Mechanisms mechanisms;
    mechanisms.promptAdmission = false;
    create(mechanisms);
    for (int i = 0; i < 200; ++i) {
        requests.push_back(std::make_unique<EntryRequest>(request(Bulk)));
        held.push_back(std::make_unique<EntryAdmission>(metrics));
        CHECK_FALSE(admit(*held.back(), *requests.back()));
        held.front()->headReceived(
                "i-0", {.load = ReplicaLoad{.running = 16, .waiting = 9, .slots = 16}}, 200);
        clock.advance(10ms);
        CHECK_FALSE(service->isOverloaded(true));
        service->collect(metrics);
        CHECK(metrics.print().find(noLimit) != std::string::npos);
    }
}

// Guards against rejections, or a header, that don't reach the limit of the service.
TEST_CASE_FIXTURE(EntryAdmissionFixture, "entryAdmission_answers_areReportedToTheRejectionLimit")
{
    const auto limit = std::make_shared<RejectionLimit>(
            RejectionLimit::Options{.clock = clock, .random = seededRandom(1), .service = "model"});
    ServiceAdmission limited(
            {.clock = clock, .random = seededRandom(1), .service = "model", .rejections = limit});
    const EntryRequest call = request(2);
    EntryAdmission admission(metrics);
    CHECK_FALSE(admission.admit(limited, call, 2s));
    admission.headReceived("i-0", {.notExecuted = true, .maxRejections = 20}, 421);
    CHECK_FALSE(limit->isBrittle());
    admission.headReceived("i-0", {.notExecuted = true, .maxRejections = 20}, 503);
    CHECK(limit->maxRejections() == 20);
    CHECK(limit->worstRejections() == 1);
    admission.headReceived("i-0", {.isMaxRejectionsMalformed = true}, 200);
    limited.collect(metrics);
    const std::string label = Metrics::label("service", "model");
    CHECK(metrics.counter("catkinloft_brittle_begins_total", label) == 1);
    CHECK(metrics.counter("catkinloft_brittle_rejections_total", label) == 1);
    CHECK(metrics.counter("catkinloft_brittle_headers_malformed_total", label) == 1);
    CHECK(metrics.counter("catkinloft_brittle_ends_total", label) == 0);
    const std::vector<std::shared_ptr<RejectionLimit>> limits = {limit};
    const std::string page = brittlePage("front-1", limits);
    CHECK(page.find(R"("service":"model")") != std::string::npos);
    CHECK(page.find(R"("reported_by":"i-0")") != std::string::npos);
}
