#include "Base/ManualClock.h"
#include "DelayLine.h"
#include "Net/EventLoop.h"
#include "fleet/Fleet.h"
#include "fleet/PortAllocator.h"

#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <thread>
#include <utility>

#include <fmt/format.h>
#include <json/json.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using standin::ChildProcess;
using standin::Fleet;

namespace {

/// One stand-in process, optionally behind a fault proxy.
struct StandinFixture
{
    void start(const std::string &role, const std::vector<std::string> &flags = {})
    {
        address = fmt::format("127.0.0.1:{}", standin::freePorts(1).front());
        std::vector<std::string> command{std::string(CATKINLOFT_BINARIES) + "/catkinloft-standin",
                                         "--listen=" + address};
        command.insert(command.end(), flags.begin(), flags.end());
        command.push_back(role);
        process = std::make_unique<ChildProcess>(command, "");
        REQUIRE(Fleet::waitFor([&] { return bool(send("GET", "/v1/nothing")); }));
    }

    void startProxy()
    {
        const auto ports = standin::freePorts(2);
        const std::string target = std::exchange(address, fmt::format("127.0.0.1:{}", ports[0]));
        control = fmt::format("127.0.0.1:{}", ports[1]);
        proxy = std::make_unique<ChildProcess>(
                std::vector<std::string>{std::string(CATKINLOFT_BINARIES) + "/catkinloft-standin",
                                         "--listen=" + address, "--control=" + control,
                                         "--target=" + target, "proxy"},
                "");
        REQUIRE(Fleet::waitFor([&] { return bool(send("GET", "/v1/nothing")); }));
    }

    Result<HttpAnswer> send(const std::string &method, const std::string &target,
                            const std::string &body = {}, HttpHeaders headers = {}) const
    {
        return Fleet::fetch({.address = address,
                             .method = method,
                             .target = target,
                             .headers = std::move(headers),
                             .body = body,
                             .timeout = 5s});
    }

    std::string text(const std::string &method, const std::string &target,
                     const std::string &body = {}, HttpHeaders headers = {}) const
    {
        const Result<HttpAnswer> answer = send(method, target, body, std::move(headers));
        return answer ? fmt::format("{} {}", answer.value().head.status, answer.value().body)
                      : "none";
    }

    void fault(const std::string &faults) const
    {
        REQUIRE(Fleet::fetch(
                {.address = control, .method = "POST", .target = "/v1/faults", .body = faults}));
    }

    std::string address;
    std::string control;
    std::unique_ptr<ChildProcess> process;
    std::unique_ptr<ChildProcess> proxy;
};

/// A DelayLine (one direction of a connection) with a manual clock.
struct DelayLineFixture
{
    /// \returns the chunks that are due now, each followed by a bar, and "end" for the end of the
    /// stream.
    std::string due()
    {
        std::string out;
        for (const standin::DelayLine::Chunk &it : line.takeDue())
            out += it.isEnd ? "end" : it.bytes + "|";
        return out;
    }

    ManualClock clock;
    standin::DelayLine line{clock};
};

constexpr const char *Chat = R"({"model":"m","stream":true,"max_tokens":6,)"
                             R"("messages":[{"role":"user","content":"op-1"}]})";

bool contains(const std::string &text, const char *part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE_FIXTURE(StandinFixture, "engine_streamResumed_continuesAfterTheOffset")
{
    start("engine");
    const std::string complete =
            text("POST", "/v1/chat/completions", Chat, {{"X-Request-Id", "r1"}});
    CHECK(contains(complete, "t0 "));
    const std::string rest = text("GET", "/v1/streams/r1", {}, {{"Last-Event-ID", "3"}});
    CHECK_FALSE(contains(rest, "t3 "));
    CHECK(contains(rest, "t4 "));
    CHECK(contains(rest, "t5 "));
    CHECK(contains(rest, "data: [DONE]"));
    CHECK(text("GET", "/v1/streams/unknown").starts_with("404"));
}

TEST_CASE_FIXTURE(StandinFixture, "engine_cancelledStream_isAborted")
{
    start("engine", {"--token_ms=300"});
    startProxy();
    EventLoop loop;
    HttpClient client(loop);
    bool ended = false;
    bool complete = false;
    const HttpCallPtr call =
            client.send({.address = address,
                         .method = "POST",
                         .target = "/v1/chat/completions",
                         .headers = {{"X-Request-Id", "r1"}},
                         .body = Chat},
                        {.onData =
                                 [&](std::string_view) {
                                     CHECK(contains(text("DELETE", "/v1/streams/r1"), "204"));
                                 },
                         .onEnd =
                                 [&](const Result<void> &result) {
                                     ended = true;
                                     complete = bool(result);
                                 }});
    Fleet::waitFor([&] {
        loop.runOnce();
        return ended;
    });
    CHECK(ended);
    CHECK_FALSE(complete);
}

TEST_CASE_FIXTURE(StandinFixture, "engine_orderWithOldFence_isRefusedOnlyWhereFencingIsChecked")
{
    for (const bool checks : {true, false}) {
        CAPTURE(checks);
        start("engine", {fmt::format("--checks_fencing={}", checks)});
        const auto order = [&](const char *version, int fence) {
            return text("POST", "/v1/orders",
                        fmt::format(R"({{"order":"set_version","args":{{"version":"{0}"}},)"
                                    R"("fence":{1},"order_id":"{0}"}})",
                                    version, fence));
        };
        CHECK(order("v2", 7).starts_with("200"));
        CHECK(order("v1", 6).starts_with(checks ? "409" : "200"));
        CHECK(contains(text("GET", "/v1/state"),
                       checks ? R"("version":"v2")" : R"("version":"v1")"));
    }
}

TEST_CASE_FIXTURE(StandinFixture, "engine_cachedChat_isReportedAndMovedByExport")
{
    start("engine", {"--event_lag_ms=0"});
    text("POST", "/v1/chat/completions", Chat, {{"X-Chat-Id", "c1"}});
    CHECK(contains(text("GET", "/v1/cache-events?after=0"), R"("chat":"c1")"));
    CHECK(text("POST", "/v1/kv/export", R"({"chat":"c1"})").starts_with("200"));
    CHECK(text("POST", "/v1/kv/export", R"({"chat":"c2"})").starts_with("404"));
    CHECK(text("POST", "/v1/kv/import", R"({"chat":"c2","blob":"kv1:50"})").starts_with("200"));
    CHECK(text("POST", "/v1/kv/export", R"({"chat":"c2"})").starts_with("200"));
}

TEST_CASE_FIXTURE(StandinFixture, "table_downOrAnswersLost_commitsOnlyWhenAnswersAreLost")
{
    start("table");
    const auto commit = [&](const char *key) {
        return text("POST", "/v1/commit",
                    fmt::format(R"({{"expects":[{{"key":"{0}","version":0}}],)"
                                R"("writes":[{{"key":"{0}","value":"x"}}]}})",
                                key));
    };
    const auto stored = [&](const char *key) {
        const std::string out = text("POST", "/v1/read", fmt::format(R"({{"keys":["{}"]}})", key));
        return contains(out, R"("value":"x")");
    };
    const auto mode = [&](const char *name) {
        CHECK(text("POST", "/v1/control", fmt::format(R"({{"mode":"{}"}})", name))
                      .starts_with("204"));
    };
    mode("down");
    CHECK(commit("a") == "none");
    mode("lose_answers");
    CHECK(commit("b") == "none");
    mode("up");
    CHECK_FALSE(stored("a"));
    CHECK(stored("b"));
    CHECK(contains(commit("b"), R"("committed":false)"));
}

TEST_CASE_FIXTURE(StandinFixture, "table_overItsRate_answers429WithoutEffect")
{
    start("table", {"--writes_per_second=0"});
    CHECK(text("POST", "/v1/commit", R"({"writes":[{"key":"a","value":"x"}]})").starts_with("429"));
    CHECK_FALSE(contains(text("POST", "/v1/read", R"({"keys":["a"]})"), R"("value":"x")"));
}

TEST_CASE_FIXTURE(StandinFixture, "weights_overTheirRate_answer429WithRetryAfter")
{
    start("weights", {"--reads_per_second=0"});
    const Result<HttpAnswer> answer = send("GET", "/v1/weights/m/v1");
    REQUIRE(answer);
    CHECK(answer.value().head.status == 429);
    CHECK(answer.value().head.header("Retry-After") == "1");
}

TEST_CASE_FIXTURE(StandinFixture, "service_refusedCall_isNotExecuted")
{
    start("service", {"--refuse_every=2"}); // The fixture's probe was the first call.
    CHECK(text("POST", "/refused").starts_with("503"));
    CHECK(text("POST", "/executed").starts_with("200"));
    const std::string executions = text("GET", "/v1/executions");
    CHECK_FALSE(contains(executions, "/refused"));
    CHECK(contains(executions, "/executed"));
}

TEST_CASE_FIXTURE(StandinFixture, "proxy_lostAnswer_disconnectsAfterTheEffect")
{
    start("service");
    startProxy();
    fault(R"({"lose_answers":1})");
    CHECK(text("POST", "/lost") == "none");
    CHECK(contains(text("GET", "/v1/executions"), "/lost"));
}

TEST_CASE_FIXTURE(StandinFixture, "proxy_silent_holdsOpenConnectionsWhileNewOnesWork")
{
    start("service");
    startProxy();
    EventLoop loop;
    HttpClient client(loop);
    std::vector<bool> answers;
    const auto call = [&](bool fresh) {
        const std::size_t n = answers.size() + 1;
        client.fetch({.address = address, .timeout = 300ms, .freshConnection = fresh},
                     [&](const Result<HttpAnswer> &answer) { answers.push_back(bool(answer)); });
        Fleet::waitFor([&] {
            loop.runOnce();
            return answers.size() == n;
        });
    };
    call(false);
    fault(R"({"silent":true})");
    call(false);
    call(true);
    CHECK(answers == std::vector<bool>{true, false, true});
}

// Guards against a stall that loses what was sent during it: on a network, a request arrives after
// a loss of packets although its client has given it up.
TEST_CASE_FIXTURE(StandinFixture, "proxy_stall_deliversLaterWhatWasSentMeanwhile")
{
    start("service");
    startProxy();
    EventLoop loop;
    HttpClient client(loop);
    const auto call = [&](const std::string &target, bool fresh) {
        std::optional<bool> isAnswered;
        client.fetch({.address = address,
                      .method = "POST",
                      .target = target,
                      .timeout = 300ms,
                      .freshConnection = fresh},
                     [&](const Result<HttpAnswer> &answer) { isAnswered = bool(answer); });
        Fleet::waitFor([&] {
            loop.runOnce();
            return isAnswered.has_value();
        });
        return isAnswered.value_or(false);
    };
    CHECK(call("/before", false));
    fault(R"({"stall":{"sources":["127.0.0.1"]}})");
    CHECK_FALSE(call("/open", false));
    CHECK_FALSE(call("/new", true));
    fault(R"({"stall":{"sources":[]}})");
    CHECK(Fleet::waitFor([&] { return contains(text("GET", "/v1/executions"), "/open"); }));
    CHECK_FALSE(contains(text("GET", "/v1/executions"), "/new"));
    CHECK(call("/after", true));
}

TEST_CASE_FIXTURE(StandinFixture, "proxy_refuse_closesNewConnectionsUntilCleared")
{
    start("service");
    startProxy();
    fault(R"({"refuse":true})");
    CHECK(text("GET", "/x") == "none");
    fault(R"({"clear":true})");
    CHECK(text("GET", "/x").starts_with("200"));
}

TEST_CASE_FIXTURE(DelayLineFixture, "delayLine_chunksWithOneDueTime_keepTheirOrder")
{
    for (const char *it : {"a", "b", "c", "d"})
        line.add(it, 120ms);
    CHECK(due().empty());
    clock.advance(120ms);
    CHECK(due() == "a|b|c|d|");
    CHECK(!line.nextDue());
}

TEST_CASE_FIXTURE(DelayLineFixture, "delayLine_delayRemoved_laterBytesAndEndWaitForEarlierOnes")
{
    line.add("a", 120ms);
    clock.advance(50ms);
    line.add("b", 0ms);
    line.end(0ms);
    CHECK(due().empty());
    clock.advance(70ms);
    CHECK(due() == "a|b|end");
    line.add("c", 0ms);
    CHECK(due() == "c|");
}

// Guards against a proxy that reorders the bytes of a TCP connection when a delay is set and
// removed, which no network does.
TEST_CASE_FIXTURE(StandinFixture, "proxy_delaySetAndRemoved_keepsTheByteOrder")
{
    constexpr int Tokens = 400;
    start("engine", {"--token_ms=1"});
    startProxy();
    EventLoop loop;
    HttpClient client(loop);
    std::string body;
    bool ended = false;
    const HttpCallPtr call =
            client.send({.address = address,
                         .method = "POST",
                         .target = "/v1/chat/completions",
                         .headers = {{"X-Request-Id", "r1"}},
                         .body = fmt::format(R"({{"model":"m","stream":true,"max_tokens":{},)"
                                             R"("messages":[{{"role":"user","content":"op-1"}}]}})",
                                             Tokens),
                         .timeout = 20s},
                        {.onHead = {},
                         .onData = [&](std::string_view data) { body += data; },
                         .onEnd = [&](const Result<void> &) { ended = true; }});
    for (int turn = 0; turn < 15'000 && !ended; ++turn) {
        if (turn % 100 == 50)
            fault(turn % 200 == 50 ? R"({"delay_ms":40})" : R"({"delay_ms":0})");
        loop.runOnce();
        std::this_thread::sleep_for(1ms);
    }
    CHECK(ended);
    CHECK(contains(body, "data: [DONE]"));
    std::size_t at = 0;
    for (int i = 0; i < Tokens && at != std::string::npos; ++i)
        at = body.find(fmt::format("id: {}\n", i), at);
    CHECK(at != std::string::npos);
}

// Guards against an overload in the soak that checks nothing because replicas never get full or do
// not report it.
TEST_CASE_FIXTURE(StandinFixture, "replica_moreRequestsThanSlotsAndQueue_refusesAndReportsLoad")
{
    start("replica", {"--service_ms=400", "--replica_slots=1", "--replica_queue=1"});
    EventLoop loop;
    HttpClient client(loop);
    std::map<int, std::string> loadByStatus;
    int answered = 0;
    const auto sendNext = [&](const std::string &target) {
        client.fetch({.address = address, .target = target, .timeout = 20s},
                     [&](const Result<HttpAnswer> &answer) {
                         REQUIRE(answer);
                         const HttpHead &head = answer.value().head;
                         loadByStatus[head.status] = head.header("X-Server-Load");
                         CHECK(head.header("X-Not-Executed") == (head.status == 503 ? "1" : ""));
                         ++answered;
                     });
    };
    const auto runUntilAnswered = [&](int n) {
        for (int turn = 0; turn < 20'000 && answered < n; ++turn) {
            loop.runOnce();
            std::this_thread::sleep_for(1ms);
        }
        REQUIRE(answered == n);
    };
    for (const char *it : {"/a", "/a?events=6", "/a"})
        sendNext(it);
    runUntilAnswered(3);
    REQUIRE(loadByStatus.contains(503));
    CHECK(loadByStatus[503].starts_with("1,1,1,"));
    REQUIRE(loadByStatus.contains(200));
    // The slots are free again.
    loadByStatus.clear();
    sendNext("/a");
    runUntilAnswered(4);
    CHECK(loadByStatus[200].starts_with("1,0,1,"));
}
