#include "Base/RequestTrace.h"
#include "fleet/EntryFleet.h"
#include "fleet/Fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using standin::EntryFleet;
using standin::Fleet;

namespace {

struct EntryFleetFixture
{
    EntryFleetFixture() : EntryFleetFixture({.binaries = CATKINLOFT_BINARIES}) { }

    explicit EntryFleetFixture(const EntryFleet::Options &options) : fleet(options)
    {
        fleet.start();
    }

    Result<HttpAnswer> send(std::size_t router, const std::string &path,
                            const std::string &key = EntryFleet::Key,
                            const std::string &method = "GET")
    {
        lastId = fmt::format("q{}", ++requests);
        return Fleet::fetch({.address = fleet.callerAddress(router),
                             .method = method,
                             .target = path,
                             .headers = {{"Host", EntryFleet::Host},
                                         {"X-Request-Id", lastId},
                                         {"X-Request-Deadline", "3000"},
                                         {"Authorization", "Bearer " + key}},
                             .body = method == "POST" ? "body" : "",
                             .timeout = 6s,
                             .freshConnection = true});
    }

    int status(std::size_t router, const std::string &path,
               const std::string &key = EntryFleet::Key, const std::string &method = "GET")
    {
        const Result<HttpAnswer> answer = send(router, path, key, method);
        return answer ? answer.value().head.status : 0;
    }

    std::size_t executionsOf(const std::string &id) const
    {
        std::size_t n = 0;
        for (const Json::Value &it : fleet.executions())
            n += it["id"].asString() == id ? 1 : 0;
        return n;
    }

    /// \returns how many of the requests \a ids ran in \a domain.
    std::size_t executionsIn(const std::string &domain, const std::set<std::string> &ids) const
    {
        std::size_t n = 0;
        for (const Json::Value &it : fleet.executions())
            n += ids.contains(it["id"].asString())
                            && fleet.domainOfId(it["replica"].asString()) == domain
                    ? 1
                    : 0;
        return n;
    }

    EntryFleet fleet;
    int requests = 0;
    std::string lastId;
};

/// Replicas in two failure domains, `hall-0` and `hall-1`.
struct TwoDomainFixture : EntryFleetFixture
{
    TwoDomainFixture()
        : EntryFleetFixture({.binaries = CATKINLOFT_BINARIES, .replicas = 4, .domains = 2})
    { }

    /// Sends calls and streams to every router.
    /// \returns the ids of the requests that were answered with 200.
    std::set<std::string> sendToAllRouters()
    {
        std::set<std::string> out;
        for (std::size_t i = 0; i < 36; ++i) {
            for (const char *path : {"/safe/a", "/once/a", "/stream/a?events=2"}) {
                if (status(i % fleet.routerCount(), path) == 200)
                    out.insert(lastId);
            }
        }
        return out;
    }

    /// All routers must apply an evacuation within this time.
    static constexpr auto EvacuationDeadline = 1500ms;
};

/// Routers that stop within 2.5 s.
struct ShortStopFixture : EntryFleetFixture
{
    ShortStopFixture()
        : EntryFleetFixture(
                {.binaries = CATKINLOFT_BINARIES, .extraSettings = "stop_limit: 2500ms\n"})
    { }
};

/// Two replicas of each service and more requests than the rate limit of a cold one allows.
struct ColdReplicaFixture : EntryFleetFixture
{
    ColdReplicaFixture() : EntryFleetFixture({.binaries = CATKINLOFT_BINARIES, .replicas = 2}) { }

    /// Calls all routers for \a length, each caller sending its next request after the last answer.
    /// \returns how many requests were answered with 200 and how many were not.
    std::pair<int, int> callFor(Duration length)
    {
        std::atomic<int> served = 0;
        std::atomic<int> failed = 0;
        const auto until = std::chrono::steady_clock::now() + length;
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < 2 * fleet.routerCount(); ++i) {
            callers.emplace_back([&, i] {
                for (int k = 0; std::chrono::steady_clock::now() < until; ++k) {
                    const Result<HttpAnswer> answer =
                            Fleet::fetch({.address = fleet.callerAddress(i % fleet.routerCount()),
                                          .target = "/safe/a",
                                          .headers = {{"Host", EntryFleet::Host},
                                                      {"X-Request-Id", fmt::format("c{}-{}", i, k)},
                                                      {"Authorization",
                                                       std::string("Bearer ") + EntryFleet::Key}},
                                          .timeout = 4s});
                    ++(answer && answer.value().head.status == 200 ? served : failed);
                }
            });
        }
        for (std::thread &it : callers)
            it.join();
        return {served, failed};
    }

    /// \returns the highest number of requests that reached replica \a id within any one second
    /// since \a fromMs.
    std::size_t maxRequestsPerSecond(const std::string &id, std::int64_t fromMs) const
    {
        std::vector<std::int64_t> times;
        for (const Json::Value &it : fleet.arrivals()) {
            if (it["replica"].asString() == id && it["at_ms"].asInt64() >= fromMs)
                times.push_back(it["at_ms"].asInt64());
        }
        std::sort(times.begin(), times.end());
        std::size_t most = 0;
        for (std::size_t i = 0, first = 0; i < times.size(); ++i) {
            while (times[i] - times[first] >= 1000)
                ++first;
            most = std::max(most, i - first + 1);
        }
        return most;
    }

    /// Time within which all routers know a new registry entry.
    static constexpr auto EntryPropagationTime = 1500ms;

    static std::int64_t nowMs()
    {
        return std::chrono::system_clock::now().time_since_epoch() / 1ms;
    }
};

/// A fleet that receives a request repeatedly that crashes each replica that runs it.
struct FatalRequestFixture
{
    FatalRequestFixture() { fleet.start(); }

    /// Sends a request with \a body to router \a i. \returns its status, or 0 without an answer.
    int send(std::size_t i, const std::string &body)
    {
        const std::string id = fmt::format("{}-{}", body, ++requests);
        const Result<HttpAnswer> answer = Fleet::fetch(
                {.address = fleet.callerAddress(i),
                 .method = "POST",
                 .target = "/safe/a",
                 .headers = {{"Host", EntryFleet::Host},
                             {"X-Request-Id", id},
                             {"X-Request-Deadline", "3000"},
                             {"Authorization", std::string("Bearer ") + EntryFleet::Key}},
                 .body = body,
                 .timeout = 4s});
        return answer ? answer.value().head.status : 0;
    }

    /// \returns when replicas executed the fatal request, in milliseconds, in ascending order.
    std::vector<std::int64_t> fatalExecutionTimes() const
    {
        std::vector<std::int64_t> out;
        for (const Json::Value &it : fleet.executions()) {
            if (it["body"].asString() == "fatal")
                out.push_back(it["at_ms"].asInt64());
        }
        std::sort(out.begin(), out.end());
        return out;
    }

    EntryFleet fleet{{.binaries = CATKINLOFT_BINARIES, .replicas = 6}};
    int requests = 0;
};

} // namespace

// Guards against a request that crashes replicas through one router after the other because the
// routers do not share what they know of it. A caller sends it to each router in turn.
TEST_CASE_FIXTURE(FatalRequestFixture, "entry_requestThatCrashesReplicas_isRefusedByEveryRouter")
{
    constexpr std::int64_t StableWindow = 3000;
    constexpr std::ptrdiff_t MaxLaterRuns = 3;
    int good = 0;
    int sent = 0;
    const auto until = std::chrono::steady_clock::now() + 9s;
    for (std::size_t i = 0; std::chrono::steady_clock::now() < until; ++i) {
        send(i % fleet.routerCount(), "fatal");
        for (int k = 0; k < 3; ++k) {
            ++sent;
            good += send((i + 1) % fleet.routerCount(), "good") == 200 ? 1 : 0;
        }
        std::this_thread::sleep_for(200ms);
        fleet.restartExitedReplicas(2s);
    }
    const std::vector<std::int64_t> runs = fatalExecutionTimes();
    REQUIRE(runs.size() >= 3);
    CHECK(std::count_if(runs.begin(), runs.end(),
                        [&](std::int64_t it) { return it > runs[2] + StableWindow; })
          <= MaxLaterRuns);
    CHECK(good >= sent * 9 / 10);
    for (std::size_t i = 0; i < fleet.routerCount(); ++i)
        CHECK(send(i, "fatal") == 503);
}

// Guards against sending requests to a replica that reports in its answers that it is leaving,
// while the store is unavailable, so that the replica's registry entry cannot be read.
TEST_CASE_FIXTURE(EntryFleetFixture, "entry_replicaReportsLeavingWhileStoreIsDown_getsNothingNew")
{
    constexpr auto DrainDeadline = 2s;
    fleet.setReplicaFaults(0, R"({"leaving":1})");
    fleet.setStoreMode("down");
    // When the replica first reported to any router that it is leaving.
    std::optional<std::chrono::steady_clock::time_point> leavingReportedAt;
    std::set<std::string> late;
    const auto until = std::chrono::steady_clock::now() + 4500ms;
    for (std::size_t i = 0; std::chrono::steady_clock::now() < until; ++i) {
        const std::size_t router = i % fleet.routerCount();
        const auto sentAt = std::chrono::steady_clock::now();
        const Result<HttpAnswer> answer = send(router, "/safe/a");
        if (leavingReportedAt && sentAt > *leavingReportedAt + DrainDeadline)
            late.insert(lastId);
        if (!leavingReportedAt && answer
            && answer.value().body.find(fleet.replicaId(0)) != std::string::npos)
            leavingReportedAt = std::chrono::steady_clock::now();
    }
    CHECK(leavingReportedAt);
    CHECK(late.size() > 20);
    for (const Json::Value &it : fleet.executions()) {
        if (it["replica"].asString() == fleet.replicaId(0))
            CHECK_FALSE(late.contains(it["id"].asString()));
    }
}

// Guards against sending requests to a failure domain that the operator has evacuated, also from a
// router that was restarted meanwhile.
TEST_CASE_FIXTURE(TwoDomainFixture, "entry_evacuatedDomain_isExcludedUntilTheEvacuationEnds")
{
    fleet.evacuate("hall-1");
    std::this_thread::sleep_for(EvacuationDeadline);
    const std::set<std::string> served = sendToAllRouters();
    CHECK(served.size() == 108);
    CHECK(executionsIn("hall-1", served) == 0);
    fleet.router(1).signal(SIGKILL);
    fleet.router(1).wait();
    fleet.startRouter(1);
    REQUIRE(Fleet::waitFor([&] { return fleet.isReady(1); }));
    const std::set<std::string> servedAfterRestart = sendToAllRouters();
    CHECK(servedAfterRestart.size() == 108);
    CHECK(executionsIn("hall-1", servedAfterRestart) == 0);
    fleet.endEvacuation("hall-1");
    CHECK(Fleet::waitFor([&] { return executionsIn("hall-1", sendToAllRouters()) > 0; }));
}

// Guards against a router that was suspended when the evacuation was announced and, once resumed,
// sends requests to the evacuated domain before it has received the update.
TEST_CASE_FIXTURE(TwoDomainFixture, "entry_routerSuspendedDuringAnEvacuation_sendsNothingThere")
{
    fleet.router(0).signal(SIGSTOP);
    fleet.evacuate("hall-1");
    std::this_thread::sleep_for(6s);
    fleet.router(0).signal(SIGCONT);
    std::set<std::string> served;
    for (int i = 0; i < 40; ++i) {
        if (status(0, "/safe/a") == 200)
            served.insert(lastId);
    }
    CHECK(served.size() > 10);
    CHECK(executionsIn("hall-1", served) == 0);
}

// Guards against requests that wait for an upstream when every failure domain is evacuated.
TEST_CASE_FIXTURE(TwoDomainFixture, "entry_allDomainsEvacuated_refusesAtOnceAsNotRun")
{
    fleet.evacuate("hall-0");
    fleet.evacuate("hall-1");
    std::this_thread::sleep_for(EvacuationDeadline);
    for (std::size_t i = 0; i < fleet.routerCount(); ++i) {
        CHECK(status(i, "/safe/a") == 503);
        CHECK(executionsOf(lastId) == 0);
    }
    fleet.endEvacuation("hall-0");
    CHECK(Fleet::waitFor([&] { return status(0, "/safe/a") == 200; }));
}

// Guards against routers that together exceed the rate limit of a cold replica, which crashes it.
TEST_CASE_FIXTURE(ColdReplicaFixture, "entry_coldReplicaBesideAWarmOne_staysWithinItsRateLimit")
{
    fleet.setReplicaFaults(0, R"({"cold_per_s":20})");
    fleet.registerReplica(0, "ready", 8s);
    std::this_thread::sleep_for(EntryPropagationTime);
    const std::int64_t from = nowMs();
    const auto [served, failed] = callFor(4s);
    const std::size_t most = maxRequestsPerSecond(fleet.replicaId(0), from);
    CHECK(most > 0);
    CHECK(most <= EntryFleet::ColdPerSecond);
    CHECK(fleet.replica(0).isRunning());
    CHECK(served > 100);
    CHECK(failed == 0);
}

// Guards against exceeding the rate limit of cold replicas when no warm replica is left: requests
// above the limit are refused at once.
TEST_CASE_FIXTURE(ColdReplicaFixture, "entry_allReplicasCold_stayWithinRateLimitAndExcessIsRefused")
{
    for (const std::size_t i : {0U, 1U}) {
        fleet.setReplicaFaults(i, R"({"cold_per_s":20})");
        fleet.registerReplica(i, "ready", 8s);
    }
    std::this_thread::sleep_for(EntryPropagationTime);
    const std::int64_t from = nowMs();
    const auto [served, failed] = callFor(3s);
    CHECK(served >= 20);
    CHECK(failed > 0);
    for (const std::size_t i : {0U, 1U}) {
        CHECK(maxRequestsPerSecond(fleet.replicaId(i), from) <= EntryFleet::ColdPerSecond);
        CHECK(fleet.replica(i).isRunning());
    }
}

TEST_CASE_FIXTURE(EntryFleetFixture, "entry_everyRouter_servesEveryKindOfRoute")
{
    for (std::size_t i = 0; i < fleet.routerCount(); ++i) {
        CHECK(status(i, "/safe/a?b=c") == 200);
        CHECK(status(i, "/once/a", EntryFleet::Key, "POST") == 200);
        CHECK(executionsOf(lastId) == 1);
        const Result<HttpAnswer> stream = send(i, "/stream/a?events=4");
        REQUIRE(stream);
        CHECK(stream.value().body.find("id: 4\n") != std::string::npos);
        CHECK(status(i, "/nowhere/") == 404);
        CHECK(status(i, "/safe/a", "unknown") == 401);
    }
    for (const Json::Value &it : fleet.executions()) {
        CHECK(it["workspace"].asString() == "archive");
        CHECK_FALSE(it["key_seen"].asBool());
    }
}

TEST_CASE_FIXTURE(EntryFleetFixture, "entry_directory_namesAllRoutersUntilOneStops")
{
    const auto namedRouterCount = [&] {
        const Result<HttpAnswer> answer = Fleet::fetch(
                {.address = fleet.directoryAddress(0), .target = "/v1/resolve?name=x&zone=hall"});
        std::size_t n = 0;
        for (std::size_t i = 0; answer && i < fleet.routerCount(); ++i)
            n += answer.value().body.find(fleet.callerAddress(i)) != std::string::npos ? 1 : 0;
        return n;
    };
    CHECK(Fleet::waitFor([&] { return namedRouterCount() == 3; }));
    fleet.router(2).signal(SIGTERM);
    CHECK(Fleet::waitFor([&] { return namedRouterCount() == 2; }));
    CHECK(fleet.router(2).wait() == 0);
}

TEST_CASE_FIXTURE(EntryFleetFixture, "entry_settingsChange_isActiveAfterSighupUnlessInvalid")
{
    const auto lifetime = [&] {
        const Result<HttpAnswer> answer = Fleet::fetch(
                {.address = fleet.directoryAddress(0), .target = "/v1/resolve?name=x&zone=hall"});
        Json::Value root;
        return answer && Json::Reader().parse(answer.value().body, root) ? root["ttl-s"].asDouble()
                                                                         : 0;
    };
    CHECK(lifetime() == 2);
    fleet.changeSettings(0, "address_lifetime: 1s\n");
    fleet.router(0).signal(SIGHUP);
    CHECK(Fleet::waitFor([&] { return lifetime() == 1; }));
    fleet.changeSettings(0, "address_lifetime: soon\n");
    fleet.router(0).signal(SIGHUP);
    CHECK(Fleet::waitFor(
            [&] { return fleet.routerLog(0).find("settings_rejected") != std::string::npos; }));
    CHECK(lifetime() == 1);
    CHECK(status(0, "/safe/a") == 200);
}

TEST_CASE_FIXTURE(EntryFleetFixture, "entry_keyRevoked_isRefusedOnEveryRouter")
{
    fleet.writeConfig({"second-key"});
    for (std::size_t i = 0; i < fleet.routerCount(); ++i) {
        CHECK(Fleet::waitFor([&] { return status(i, "/safe/a") == 401; }));
        CHECK(status(i, "/safe/a", "second-key") == 200);
    }
}

TEST_CASE_FIXTURE(EntryFleetFixture, "entry_configurationAfterDeletedHistory_isActive")
{
    fleet.forgetHistory();
    fleet.writeConfig({EntryFleet::Key}, true);
    for (std::size_t i = 0; i < fleet.routerCount(); ++i)
        CHECK(Fleet::waitFor([&] { return status(i, "/extra/a") == 200; }));
}

TEST_CASE_FIXTURE(EntryFleetFixture, "entry_storeDown_refusesAsNotRunAndRecovers")
{
    fleet.setStoreMode("down");
    CHECK(Fleet::waitFor([&] { return status(0, "/safe/a") == 503; }));
    CHECK(executionsOf(lastId) == 0);
    CHECK_FALSE(fleet.isReady(0));
    fleet.setStoreMode("up");
    CHECK(Fleet::waitFor([&] { return status(0, "/safe/a") == 200; }));
    CHECK(Fleet::waitFor([&] { return fleet.isReady(0); }));
}

TEST_CASE_FIXTURE(EntryFleetFixture, "entry_oneRouterCutOffFromStore_receivesChangesFromPeers")
{
    // In a fleet of three all routers read the store; the one that is cut off asks the others.
    fleet.setStoreProxyFaults(1, R"({"refuse":true,"cut":true})");
    fleet.writeConfig({"second-key"});
    CHECK(Fleet::waitFor([&] { return status(1, "/safe/a", "second-key") == 200; }));
    CHECK(status(1, "/safe/a") == 401);
    // Longer than the router's own freshness proof is valid: the peers renew it.
    const auto until = std::chrono::steady_clock::now() + 6s;
    bool always = true;
    while (std::chrono::steady_clock::now() < until)
        always = always && status(1, "/safe/a", "second-key") == 200;
    CHECK(always);
}

TEST_CASE_FIXTURE(EntryFleetFixture, "entry_suspendedRouter_refusesKeyRevokedMeanwhile")
{
    fleet.router(0).signal(SIGSTOP);
    fleet.writeConfig({"second-key"});
    std::this_thread::sleep_for(6s);
    fleet.router(0).signal(SIGCONT);
    CHECK(status(0, "/safe/a") != 200);
    CHECK(executionsOf(lastId) == 0);
    CHECK(Fleet::waitFor([&] { return status(0, "/safe/a", "second-key") == 200; }));
}

TEST_CASE_FIXTURE(EntryFleetFixture, "entry_drainingReplica_getsNothingNew")
{
    const std::string id = fleet.replicaId(0);
    fleet.registerReplica(0, "draining");
    std::this_thread::sleep_for(2s);
    std::set<std::string> sent;
    for (int i = 0; i < 30; ++i) {
        CHECK(status(static_cast<std::size_t>(i) % 3, "/safe/a") == 200);
        sent.insert(lastId);
    }
    for (const Json::Value &it : fleet.executions()) {
        if (sent.contains(it["id"].asString()))
            CHECK(it["replica"].asString() != id);
    }
}

// Guards against ignoring all replica lists after the store was restored from a copy, because its
// versions are lower than before.
TEST_CASE_FIXTURE(EntryFleetFixture, "entry_replicaLeavesAfterStoreWasRestored_getsNothingNew")
{
    constexpr auto DrainDeadline = 2s;
    constexpr int LostWrites = 20;
    fleet.copyStore();
    for (int i = 0; i < LostWrites; ++i)
        fleet.writeConfig({EntryFleet::Key});
    std::this_thread::sleep_for(DrainDeadline); // All routers have read the versions to be lost.
    fleet.restoreStore();
    fleet.writeConfig({EntryFleet::Key});
    const std::string id = fleet.replicaId(0);
    fleet.registerReplica(0, "draining");
    std::this_thread::sleep_for(DrainDeadline);
    std::set<std::string> sent;
    for (std::size_t i = 0; i < 30; ++i) {
        CHECK(status(i % fleet.routerCount(), "/safe/a") == 200);
        sent.insert(lastId);
    }
    for (const Json::Value &it : fleet.executions()) {
        if (sent.contains(it["id"].asString()))
            CHECK(it["replica"].asString() != id);
    }
}

TEST_CASE_FIXTURE(EntryFleetFixture,
                  "entry_answersLost_nonIdempotentRunOnceAndIdempotentAreAnswered")
{
    for (std::size_t i = 0; i < 3; ++i)
        fleet.setReplicaFaults(i, R"({"lose":0.4})");
    int answered = 0;
    for (int i = 0; i < 20; ++i)
        answered += status(0, "/safe/a") == 200 ? 1 : 0;
    CHECK(answered >= 12); // Without retries, 8 of 20 would fail on average.
    for (int i = 0; i < 20; ++i) {
        const int got = status(1, "/once/a", EntryFleet::Key, "POST");
        CHECK((got == 200 || got == 502));
        CHECK(executionsOf(lastId) == 1);
    }
}

TEST_CASE_FIXTURE(EntryFleetFixture, "entry_streamsCutWithinEvents_areResumedCompletely")
{
    for (std::size_t i = 3; i < 6; ++i)
        fleet.setReplicaFaults(i, R"({"cut":0.3})");
    for (int i = 0; i < 15; ++i) {
        const Result<HttpAnswer> answer = send(0, "/stream/a?events=6");
        if (!answer)
            continue; // Every attempt was cut, and the caller gets an error.
        std::string expected;
        for (int k = 1; k <= 6; ++k)
            expected += fmt::format("id: {}\ndata: piece {}\n\n", k, k);
        CHECK(answer.value().body == expected);
    }
}

TEST_CASE_FIXTURE(EntryFleetFixture, "entry_plannedStop_completesRunningStreams")
{
    std::vector<std::thread> callers;
    callers.reserve(8);
    std::atomic<int> complete = 0;
    for (int i = 0; i < 8; ++i) {
        callers.emplace_back([&, i] {
            const Result<HttpAnswer> answer = Fleet::fetch(
                    {.address = fleet.callerAddress(0),
                     .target = "/whole/a?events=150",
                     .headers = {{"Host", EntryFleet::Host},
                                 {"X-Request-Id", fmt::format("w{}", i)},
                                 {"Authorization", std::string("Bearer ") + EntryFleet::Key}},
                     .timeout = 8s});
            if (answer && answer.value().body.find("id: 150\n") != std::string::npos)
                ++complete;
        });
    }
    std::this_thread::sleep_for(300ms);
    fleet.router(0).signal(SIGTERM);
    for (std::thread &it : callers)
        it.join();
    CHECK(complete.load() == 8);
    CHECK(fleet.router(0).wait() == 0);
}

// Guards against requests that a router takes during a planned stop and cuts off without an answer
// when it ends.
TEST_CASE_FIXTURE(ShortStopFixture, "entry_plannedStop_requestsThatOutlastItAreAnswered")
{
    constexpr int Phases = 3;
    constexpr int CallersPerPhase = 6;
    for (std::size_t i = 0; i < fleet.replicaCount(); ++i)
        REQUIRE(fleet.setReplicaFaults(i, R"({"call_ms":3500})"));
    std::map<std::string, int> statuses; // Of each request; 0: none.
    std::mutex mutex;
    std::vector<std::thread> callers;
    for (int phase = 0; phase < Phases; ++phase) {
        for (int i = 0; i < CallersPerPhase; ++i) {
            callers.emplace_back([&, id = fmt::format("p{}-{}", phase, i), i] {
                const Result<HttpAnswer> answer = Fleet::fetch(
                        {.address = fleet.callerAddress(0),
                         .target = i % 2 == 0 ? "/once/a" : "/safe/a",
                         .headers = {{"Host", EntryFleet::Host},
                                     {"X-Request-Id", id},
                                     {"Authorization", std::string("Bearer ") + EntryFleet::Key}},
                         .timeout = 6s});
                const std::lock_guard lock(mutex);
                statuses[id] = answer ? answer.value().head.status : 0;
            });
        }
        std::this_thread::sleep_for(300ms);
        if (phase == 0)
            fleet.router(0).signal(SIGTERM);
    }
    for (std::thread &it : callers)
        it.join();
    CHECK(fleet.router(0).wait() == 0);
    REQUIRE(statuses.size() == Phases * CallersPerPhase);
    for (const auto &it : statuses) {
        INFO(it.first, ": ", it.second);
        CHECK(it.second != 0);
        if (executionsOf(it.first) > 0)
            CHECK(it.second == 502);
    }
}

TEST_CASE_FIXTURE(EntryFleetFixture, "entry_allRoutersKilled_serveAgainAfterTheirRestart")
{
    for (std::size_t i = 0; i < fleet.routerCount(); ++i)
        fleet.router(i).signal(SIGKILL);
    for (std::size_t i = 0; i < fleet.routerCount(); ++i) {
        fleet.router(i).wait();
        fleet.startRouter(i);
    }
    for (std::size_t i = 0; i < fleet.routerCount(); ++i)
        CHECK(Fleet::waitFor([&] { return status(i, "/safe/a") == 200; }));
}

// Guards against routers that end, or stop following the list of replicas, because another writer
// left an entry with a number out of range, deep nesting or other values that no replica writes.
TEST_CASE_FIXTURE(EntryFleetFixture, "entry_oddReplicaEntries_routersRunAndUseTheOthers")
{
    const auto entryWith = [](const std::string &field, const std::string &value) {
        std::string out = R"({"service":"calls","zone":"hall","version":"v1","state":"ready",)";
        for (const auto &[name, usual] :
             std::map<std::string, std::string>{{"address", R"("127.0.0.1:9")"},
                                                {"slots", "8"},
                                                {"cold-remaining-ms", "0"},
                                                {"sequence", "1"}})
            out += fmt::format(R"("{}":{},)", name, name == field ? value : usual);
        return out + R"("note":1})";
    };
    std::vector<std::string> texts = {std::string(30'000, '['),
                                      std::string(30'000, '{'),
                                      "",
                                      "7",
                                      entryWith("note", std::string(5000, '[')),
                                      entryWith("address", R"("127.0.0.1:70000")"),
                                      entryWith("address", R"("127.0.0.1:-1")"),
                                      entryWith("address", R"("127.0.0.1:99999999999999999999")")};
    for (const char *field : {"slots", "sequence", "cold-remaining-ms"}) {
        for (const char *value : {"-1", "2147483648", "9223372036854775808", "18446744073709551615",
                                  "18446744073709551616", "1e30", "1e400", "[[1]]", "null"})
            texts.push_back(entryWith(field, value));
    }
    for (std::size_t i = 0; i < texts.size(); ++i)
        fleet.writeReplicaEntry(fmt::format("odd-{}", i), texts[i]);
    std::this_thread::sleep_for(2s);
    for (std::size_t i = 0; i < fleet.routerCount(); ++i) {
        CHECK(fleet.router(i).isRunning());
        CHECK(Fleet::waitFor([&] { return status(i, "/safe/a") == 200; }));
    }
    // A replica that is added afterwards is found, and a router that starts reads the list.
    fleet.restartReplica(0);
    const std::string id = fleet.replicaId(0);
    CHECK(Fleet::waitFor([&] {
        status(0, "/safe/a");
        const std::vector<Json::Value> all = fleet.executions();
        return std::any_of(all.begin(), all.end(),
                           [&](const Json::Value &it) { return it["replica"].asString() == id; });
    }));
    fleet.router(1).signal(SIGKILL);
    fleet.router(1).wait();
    fleet.startRouter(1);
    CHECK(Fleet::waitFor([&] { return fleet.isReady(1); }));
    CHECK(Fleet::waitFor([&] { return status(1, "/safe/a") == 200; }));
}

TEST_CASE_FIXTURE(EntryFleetFixture, "entry_failedRequest_isExplainedByItsLogLines")
{
    for (std::size_t i = 0; i < 3; ++i)
        fleet.setReplicaFaults(i, R"({"lose":1})");
    CHECK(status(0, "/once/a", EntryFleet::Key, "POST") == 502);
    const auto explained = [&] {
        RequestTrace trace(lastId);
        for (std::size_t i = 0; i < fleet.routerCount(); ++i)
            trace.addLog(fleet.routerLog(i));
        return trace.summary().find("cause: upstream_broken: the connection broke")
                != std::string::npos;
    };
    CHECK(Fleet::waitFor(explained));
}
