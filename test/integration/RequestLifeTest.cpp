#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Net/Timer.h"
#include "fleet/Fleet.h"
#include "fleet/PortAllocator.h"

#include <doctest/doctest.h>

#include <csignal>
#include <fmt/format.h>
#include <json/json.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using standin::ChildProcess;
using standin::Fleet;

namespace {

constexpr int Tokens = 40;

std::string tokens(int n)
{
    std::string out;
    for (int i = 0; i < n; ++i)
        out += fmt::format("t{} ", i);
    return out;
}

/// \returns the text of all tokens in \a stream, in the order received.
std::string textOf(const std::string &stream)
{
    constexpr std::string_view Field = "\"content\":\"";
    std::string out;
    for (std::size_t at = stream.find(Field); at != std::string::npos;
         at = stream.find(Field, at + 1)) {
        const std::size_t begin = at + Field.size();
        out += stream.substr(begin, stream.find('"', begin) - begin);
    }
    return out;
}

/// Three routers with one engine and one replica, each behind a proxy that injects faults.
struct FaultyFleetFixture
{
    FaultyFleetFixture()
    {
        standin::Deployment small = standin::deploymentNamed("sofiyska");
        small.engines = 1;
        small.replicas = 1;
        small.routers = 3;
        fleet = std::make_unique<Fleet>(
                Fleet::Options{.deployment = small,
                               .binaries = CATKINLOFT_BINARIES,
                               .engineFlags = {"--token_ms=20"},
                               .serviceFlags = {"--service_ms=300"},
                               .extraRules = "  progress_timeout: 300ms\n",
                               .extraSettings = "drain_grace: 500ms\ndrain_timeout: 10s\n"});
        fleet->start();
        const std::string inventory =
                fleet->inventory([this](const std::string &it) { return proxyFor(it); });
        for (const auto &it : control)
            REQUIRE(Fleet::waitFor([&] { return isListening(it.second); }));
        REQUIRE(fleet->apply(inventory) == 200);
        REQUIRE(Fleet::waitFor([&] { return hasRevision(2); }));
    }

    ~FaultyFleetFixture() { fleet.reset(); }

    std::string proxyFor(const std::string &target)
    {
        const auto ports = standin::freePorts(2);
        const std::string binary = std::string(CATKINLOFT_BINARIES) + "/catkinloft-standin";
        std::string listen = fmt::format("127.0.0.1:{}", ports[0]);
        control[target] = fmt::format("127.0.0.1:{}", ports[1]);
        proxies.push_back(std::make_unique<ChildProcess>(
                std::vector<std::string>{binary, "--listen=" + listen, "--target=" + target,
                                         "--control=" + control[target], "--name=proxy", "proxy"},
                fleet->folder() + "/proxy.log"));
        return listen;
    }

    static bool isListening(const std::string &address)
    {
        return Fleet::fetch({.address = address, .target = "/v1/faults"}).has_value();
    }

    bool hasRevision(int n) const
    {
        for (std::size_t i = 0; i < 3; ++i) {
            const auto answer = Fleet::fetch(
                    {.address = fleet->routerAddress(i),
                     .target = "/v1/config",
                     .headers = {{"Authorization", "Bearer " + Fleet::operatorKey()}}});
            if (!answer || answer.value().head.header("ETag") != fmt::format("\"{}\"", n))
                return false;
        }
        return true;
    }

    void fault(const std::string &target, const std::string &json) const
    {
        const auto answer = Fleet::fetch({.address = control.at(target),
                                          .method = "POST",
                                          .target = "/v1/faults",
                                          .body = json});
        REQUIRE(answer);
        REQUIRE(answer.value().head.status / 100 == 2);
    }

    HttpCall chat(bool stream, std::size_t router = 0, const std::string &id = "request-1") const
    {
        return {.address = fleet->routerAddress(router),
                .method = "POST",
                .target = "/v1/chat/completions",
                .headers = {{"Authorization", "Bearer " + Fleet::workspaceKey(0)},
                            {"X-Request-Id", id}},
                .body = fmt::format(R"({{"model":"planning","max_tokens":{},"stream":{},)"
                                    R"("messages":[{{"role":"user","content":"a plan"}}]}})",
                                    Tokens, stream)};
    }

    HttpCall dispatch(const std::string &key, std::size_t router = 0,
                      const std::string &body = "{}") const
    {
        HttpCall call{.address = fleet->routerAddress(router),
                      .method = "POST",
                      .target = "/services/dispatch/orders",
                      .headers = {{"Authorization", "Bearer " + Fleet::workspaceKey(0)}},
                      .body = body};
        if (!key.empty())
            call.headers.emplace_back("Idempotency-Key", key);
        return call;
    }

    std::size_t executions(const std::string &address) const
    {
        const auto answer = Fleet::fetch({.address = address, .target = "/v1/executions"});
        REQUIRE(answer);
        Json::Value root;
        REQUIRE(Json::Reader().parse(answer.value().body, root));
        return root["executions"].size();
    }

    std::string metrics(std::size_t router) const
    {
        const auto answer =
                Fleet::fetch({.address = fleet->routerAddress(router), .target = "/metrics"});
        return answer ? answer.value().body : "";
    }

    struct StreamResult
    {
        HttpHead head;
        std::string body;
        bool complete = false;
    };

    /// Sends \a call and reads its answer. \a onToken is called once, when token 5 has arrived, and
    /// aborts the call by returning false.
    static StreamResult readStream(HttpCall call, const std::function<bool()> &onToken)
    {
        EventLoop loop;
        HttpClient client(loop);
        StreamResult part;
        HttpCallPtr handle;
        bool reached = false;
        handle = client.send(std::move(call),
                             {.onHead = [&](const HttpHead &head) { part.head = head; },
                              .onData =
                                      [&](std::string_view data) {
                                          part.body += data;
                                          if (reached || part.body.find("t5 ") == part.body.npos)
                                              return;
                                          reached = true;
                                          if (!onToken())
                                              loop.stop();
                                      },
                              .onEnd =
                                      [&](const Result<void> &result) {
                                          part.complete = result.has_value();
                                          loop.stop();
                                      }});
        loop.run();
        handle.reset();
        loop.runOnce();
        return part;
    }

    std::unique_ptr<Fleet> fleet;
    std::map<std::string, std::string> control; ///< Control address of each proxy by its target.
    std::vector<std::unique_ptr<ChildProcess>> proxies;
};

} // namespace

TEST_CASE_FIXTURE(FaultyFleetFixture, "stream_connectionsGoSilent_isCompleteAndRunsOnce")
{
    const std::string engine = fleet->engineAddress(0);
    const StreamResult part = readStream(chat(true), [&] {
        fault(engine, R"({"silent":true})");
        return true;
    });
    CHECK(part.complete);
    CHECK(textOf(part.body) == tokens(Tokens));
    CHECK(part.body.ends_with("data: [DONE]\n\n"));
    CHECK(executions(engine) == 1);
    std::string all;
    for (std::size_t i = 0; i < 3; ++i)
        all += metrics(i);
    CHECK(all.find("catkinloft_streams_resumed_total 1") != std::string::npos);
}

TEST_CASE_FIXTURE(FaultyFleetFixture, "stream_callerReconnectsElsewhere_getsTheRestOnce")
{
    const StreamResult first = readStream(chat(true), [] { return false; });
    const std::string token(first.head.header("X-Catkinloft-Resume"));
    CAPTURE(first.head.status);
    CAPTURE(first.body);
    REQUIRE(!token.empty());
    const auto rest = [&](int workspace) {
        return Fleet::fetch(
                {.address = fleet->routerAddress(2),
                 .target = "/v1/streams/request-1",
                 .headers = {{"Authorization", "Bearer " + Fleet::workspaceKey(workspace)},
                             {"X-Catkinloft-Resume", token},
                             {"Last-Event-ID", "2"}}});
    };
    const auto otherWorkspace = rest(1);
    REQUIRE(otherWorkspace);
    CHECK(otherWorkspace.value().head.status == 404);
    const auto second = rest(0);
    REQUIRE(second);
    CHECK(second.value().head.status == 200);
    CHECK("t0 t1 t2 " + textOf(second.value().body) == tokens(Tokens));
    CHECK(executions(fleet->engineAddress(0)) == 1);
}

TEST_CASE_FIXTURE(FaultyFleetFixture, "stream_callerDisconnectsForGood_isCancelledAtTheEngine")
{
    readStream(chat(true), [] { return false; });
    const auto cancelled = [this] {
        std::string all;
        for (std::size_t i = 0; i < 3; ++i)
            all += metrics(i);
        return all.find("catkinloft_streams_cancelled_total 1") != std::string::npos;
    };
    CHECK(Fleet::waitFor(cancelled));
}

TEST_CASE_FIXTURE(FaultyFleetFixture, "dispatch_retriedOnAnotherRouter_getsTheFirstAnswer")
{
    const auto first = Fleet::fetch(dispatch("key-1", 0));
    REQUIRE(first);
    CHECK(first.value().head.status == 200);
    std::optional<Result<HttpAnswer>> second;
    // The outcome is recorded after the answer is sent.
    Fleet::waitFor([&] {
        second = Fleet::fetch(dispatch("key-1", 1));
        return *second && second->value().head.status == 200;
    });
    CHECK(second->value().body == first.value().body);
    CHECK(second->value().head.header("X-Catkinloft-Replayed") == "true");
    const auto other = Fleet::fetch(dispatch("key-1", 2, R"({"other":1})"));
    REQUIRE(other);
    CHECK(other.value().head.status == 422);
    CHECK(executions(fleet->replicaAddress(0)) == 1);
}

TEST_CASE_FIXTURE(FaultyFleetFixture, "dispatch_answerLost_isNotRetriedAndReportsOutcomeUnknown")
{
    const std::string replica = fleet->replicaAddress(0);
    fault(replica, R"({"lose_answers":1})");
    const auto first = Fleet::fetch(dispatch("key-2", 0));
    REQUIRE(first);
    CHECK(first.value().head.header("X-Catkinloft-Verdict") == "may_have_run");
    std::optional<Result<HttpAnswer>> second;
    Fleet::waitFor([&] {
        second = Fleet::fetch(dispatch("key-2", 1));
        return *second && second->value().body.find("outcome_unknown") != std::string::npos;
    });
    CHECK(second->value().head.status == 409);
    CHECK(executions(replica) == 1);
}

TEST_CASE_FIXTURE(FaultyFleetFixture, "dispatch_routerKilledAfterSending_isNotRetried")
{
    EventLoop loop;
    HttpClient client(loop);
    client.fetch(dispatch("key-3", 0), [&](const Result<HttpAnswer> &) { loop.stop(); });
    Timer killer(loop, [&] {
        if (executions(fleet->replicaAddress(0)) == 1)
            fleet->router(0).signal(SIGKILL);
    });
    killer.startRepeating(20ms);
    loop.run();
    const auto second = Fleet::fetch(dispatch("key-3", 1));
    REQUIRE(second);
    CHECK(second.value().head.status == 409);
    CHECK(second.value().head.header("X-Catkinloft-Verdict") == "may_have_run");
    CHECK(executions(fleet->replicaAddress(0)) == 1);
}

TEST_CASE_FIXTURE(FaultyFleetFixture, "dispatch_storeDown_isRefusedAsNotRun")
{
    fleet->platform("table").signal(SIGKILL);
    const auto answer = Fleet::fetch(dispatch("key-4"));
    REQUIRE(answer);
    CHECK(answer.value().body.find("claim_store_down") != std::string::npos);
    CHECK(answer.value().head.header("X-Catkinloft-Verdict") == "not_run");
    CHECK(executions(fleet->replicaAddress(0)) == 0);
    const auto unkeyed = Fleet::fetch(dispatch(""));
    REQUIRE(unkeyed);
    CHECK(unkeyed.value().head.status == 200);
}

TEST_CASE_FIXTURE(FaultyFleetFixture, "router_plannedStop_abortsNothing")
{
    const StreamResult part = readStream(chat(true, 1), [&] {
        fleet->router(1).signal(SIGTERM);
        Fleet::waitFor([&] {
            const auto ready =
                    Fleet::fetch({.address = fleet->routerAddress(1), .target = "/readyz"});
            return ready && ready.value().head.status == 503;
        });
        // The router still serves callers that cached its address before it began to drain.
        const auto late = Fleet::fetch(dispatch("", 1));
        REQUIRE(late);
        CHECK(late.value().head.status == 200);
        CHECK(late.value().head.header("Connection") == "close");
        return true;
    });
    REQUIRE(part.complete);
    REQUIRE(textOf(part.body) == tokens(Tokens));
    CHECK(fleet->router(1).wait() == 0);
    CHECK(fleet->routerLog(1).find("\"cut_off\":0") != std::string::npos);
}
