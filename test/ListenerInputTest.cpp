#include "Net/EventLoop.h"
#include "Net/HttpServer.h"
#include "RawCaller.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxHeader = 2048;
constexpr std::size_t MaxBody = 4096;
constexpr Duration IdleTimeout = 1500ms;
constexpr int MaxConnections = 3;

struct ListenerFixture
{
    ListenerFixture()
    {
        for (port = 21'000; port < 21'400 && !server; ++port) {
            auto it = std::make_unique<HttpServer>(
                    loop,
                    HttpServer::Options{.address = "127.0.0.1:" + std::to_string(port),
                                        .limits = {.maxHeaderBytes = MaxHeader,
                                                   .maxBodyBytes = MaxBody,
                                                   .maxConnections = MaxConnections,
                                                   .idleTimeout = IdleTimeout},
                                        .onTooManyConnections = [this] { ++tooMany; },
                                        .onConnectionEnded = [this](std::string_view) { ++ended; }},
                    [this](const HttpExchangePtr &exchange) {
                        ++handled;
                        exchange->respond(200, {}, "fine");
                    });
            if (it->listen())
                server = std::move(it);
        }
        --port;
        REQUIRE(server);
    }

    /// Runs the loop until \a condition holds.
    bool until(const std::function<bool()> &condition)
    {
        const TimePoint end = loop.now() + 20s;
        while (!condition() && loop.now() < end) {
            loop.runOnce();
            usleep(1000);
        }
        return condition();
    }

    EventLoop loop;
    std::unique_ptr<HttpServer> server;
    std::uint16_t port = 0;
    int handled = 0;
    int ended = 0;
    int tooMany = 0;
};

struct BadInput
{
    const char *name;
    std::string text;
    /// Start of the expected answer; empty: the connection is closed without one.
    const char *answer;
};

std::vector<BadInput> badInputs()
{
    const std::string host = "Host: x\r\n";
    return {
            {"header too long", "GET / HTTP/1.1\r\nX: " + std::string(2 * MaxHeader, 'a'),
             "HTTP/1.1 400"},
            {"request line too long", "GET /" + std::string(2 * MaxHeader, 'a') + " HTTP/1.1\r\n",
             "HTTP/1.1 400"},
            {"stated body too long",
             "POST / HTTP/1.1\r\n" + host + "Content-Length: 999999\r\n\r\n", "HTTP/1.1 413"},
            {"length is no number", "POST / HTTP/1.1\r\n" + host + "Content-Length: many\r\n\r\n",
             "HTTP/1.1 400"},
            {"length is negative", "POST / HTTP/1.1\r\n" + host + "Content-Length: -5\r\n\r\n",
             "HTTP/1.1 400"},
            {"chunk size is no number",
             "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", ""},
            {"not HTTP", std::string("\x16\x03\x01\x02\x00\x01\r\n\r\n", 10), "HTTP/1.1 400"},
            {"unknown version", "GET / HTTP/9.9\r\n\r\n", "HTTP/1.1 400"},
            {"header without colon", "GET / HTTP/1.1\r\nnonsense\r\n\r\n", "HTTP/1.1 400"},
    };
}

} // namespace

TEST_CASE_FIXTURE(ListenerFixture, "listener_badInput_isRefusedAndTheNextCallerServed")
{
    for (const BadInput &it : badInputs()) {
        CAPTURE(std::string(it.name));
        handled = 0;
        RawCaller bad(port);
        bad.send(it.text);
        CHECK(until([&] { return bad.read(); }));
        CHECK(bad.received.starts_with(it.answer));
        CHECK(handled == 0);
        RawCaller good(port);
        good.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        CHECK(until([&] {
            good.read();
            return good.received.ends_with("fine");
        }));
    }
}

TEST_CASE_FIXTURE(ListenerFixture, "listener_slowSender_isClosedAfterTheIdleTimeout")
{
    RawCaller slow(port);
    slow.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc");
    CHECK(until([&] { return slow.read(); }));
    CHECK(handled == 0);
}

TEST_CASE_FIXTURE(ListenerFixture, "listener_truncatedBody_isNeverHandled")
{
    RawCaller cut(port);
    cut.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc");
    cut.finish();
    CHECK(until([&] { return cut.read(); }));
    CHECK(handled == 0);
}

TEST_CASE_FIXTURE(ListenerFixture, "listener_garbageAfterARequest_answersOnlyTheRequest")
{
    RawCaller caller(port);
    caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\nrubbish\r\n\r\n");
    CHECK(until([&] { return caller.read(); }));
    CHECK(handled == 1);
    CHECK(caller.received.find("fine") != std::string::npos);
}

TEST_CASE_FIXTURE(ListenerFixture,
                  "listener_overItsConnectionLimit_refusesWithReasonUntilOneCloses")
{
    std::vector<std::unique_ptr<RawCaller>> held;
    for (int i = 0; i < MaxConnections; ++i) {
        held.push_back(std::make_unique<RawCaller>(port));
        held.back()->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        CHECK(until([&] { return handled == i + 1; }));
    }
    RawCaller extra(port);
    CHECK(until([&] { return extra.read(); }));
    CHECK(extra.received.starts_with("HTTP/1.1 503"));
    CHECK(extra.received.find("too_many_connections") != std::string::npos);
    CHECK(tooMany == 1);
    held.pop_back();
    CHECK(until([&] {
        RawCaller next(port);
        next.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        until([&] { return next.read() || next.received.ends_with("fine"); });
        return next.received.ends_with("fine");
    }));
}

// Guards against a request that is answered 503, which promises that it has not run, and is handled
// nevertheless: it had arrived before the connection was accepted, as after a standstill of the
// process.
TEST_CASE_FIXTURE(ListenerFixture, "listener_overItsConnectionLimit_requestThatWaitsIsNotHandled")
{
    std::vector<std::unique_ptr<RawCaller>> held;
    for (int i = 0; i < MaxConnections; ++i) {
        held.push_back(std::make_unique<RawCaller>(port));
        held.back()->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        CHECK(until([&] { return handled == i + 1; }));
    }
    RawCaller extra(port);
    extra.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc");
    CHECK(until([&] { return extra.read(); }));
    CHECK(extra.received.starts_with("HTTP/1.1 503"));
    CHECK(tooMany == 1);
    CHECK(handled == MaxConnections);
}

// Guards against the same for a request that arrives after the answer.
TEST_CASE_FIXTURE(ListenerFixture, "listener_overItsConnectionLimit_requestAfterwardsIsNotHandled")
{
    std::vector<std::unique_ptr<RawCaller>> held;
    for (int i = 0; i < MaxConnections; ++i) {
        held.push_back(std::make_unique<RawCaller>(port));
        held.back()->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        CHECK(until([&] { return handled == i + 1; }));
    }
    RawCaller extra(port);
    CHECK(until([&] { return tooMany == 1; }));
    extra.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc");
    CHECK(until([&] { return extra.read(); }));
    loop.runOnce();
    CHECK(handled == MaxConnections);
}

// Guards against a refusal that is lost because the connection is reset while its caller is still
// sending. Many clients don't read the answer once a write has failed, and some systems discard it
// with the reset.
TEST_CASE_FIXTURE(ListenerFixture, "listener_callerSendsOnAfterARefusal_refusalArrives")
{
    struct Case
    {
        std::string begin;
        bool isOverLimit = false;
        const char *answer;
    };
    const std::string post = "POST / HTTP/1.1\r\nHost: x\r\n";
    const std::vector<Case> cases = {
            {.begin = post + "Content-Length: 999999\r\n\r\n", .answer = "HTTP/1.1 413"},
            {.begin = post + "Expect: something\r\nContent-Length: 3000\r\n\r\n",
             .answer = "HTTP/1.1 417"},
            {.begin = "GET / HTTP/1.1\r\nX: " + std::string(2 * MaxHeader, 'a'),
             .answer = "HTTP/1.1 400"},
            {.begin = post, .answer = "HTTP/1.1 408"},
            {.begin = post, .isOverLimit = true, .answer = "HTTP/1.1 503"},
    };
    server->setHeaderTimeout(300ms);
    for (const Case &it : cases) {
        CAPTURE(std::string(it.answer));
        std::vector<std::unique_ptr<RawCaller>> held;
        for (int i = 0; it.isOverLimit && i < MaxConnections; ++i) {
            held.push_back(std::make_unique<RawCaller>(port));
            held.back()->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
            CHECK(until([&] { return held.back()->read() || !held.back()->received.empty(); }));
        }
        RawCaller caller(port);
        const int before = ended + tooMany;
        caller.send(it.begin);
        CHECK(until([&] { return ended + tooMany > before; }));
        for (int i = 0; i < 20; ++i) {
            CHECK(caller.sendSome(std::string(1000, 'a')) == 1000);
            for (int n = 0; n < 5; ++n) {
                loop.runOnce();
                usleep(1000);
            }
        }
        CHECK(until([&] { return caller.read(); }));
        CHECK(caller.received.starts_with(it.answer));
        CHECK_FALSE(caller.wasReset);
    }
    CHECK(handled == MaxConnections);
}

// Guards against callers that are refused although hardly any connection is open, because the
// descriptors of closed connections count: health checks and the question for an address come on a
// new connection each.
TEST_CASE_FIXTURE(ListenerFixture, "listener_callersComeAndLeaveOnNewDescriptors_eachIsAdmitted")
{
    std::vector<int> occupied;
    for (int i = 0; i < 5 * MaxConnections; ++i) {
        {
            RawCaller caller(port);
            caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
            CHECK(until([&] { return caller.read() || handled == i + 1; }));
            caller.finish();
            CHECK(until([&] { return caller.read(); }));
            CHECK(caller.received.ends_with("fine"));
        }
        // Takes the descriptors that both ends have left.
        for (int n = 0; n < 2; ++n)
            occupied.push_back(dup(STDERR_FILENO));
    }
    CHECK(tooMany == 0);
    for (const int fd : occupied)
        close(fd);
}

// Guards against connections that count for ever because of the way in which they ended.
TEST_CASE_FIXTURE(ListenerFixture, "listener_connectionsEndInEachWay_noneCountsAfterwards")
{
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    const std::vector<std::string> sent = {
            "", // Nothing.
            request,
            "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
            "GET / HTTP/1.0\r\n\r\n",
            "GET / HT", // A part of a head.
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc",
            "GET / HTTP/1.1\r\nnonsense\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 999999\r\n\r\n",
            request + request,
    };
    for (const std::string &it : sent) {
        for (const bool isReset : {false, true}) {
            CAPTURE(it);
            CAPTURE(isReset);
            {
                RawCaller caller(port);
                caller.send(it);
                for (int i = 0; i < 3; ++i)
                    loop.runOnce();
                if (isReset)
                    caller.resetOnClose();
            }
            tooMany = 0;
            // Each of those that stayed would take the place of one of these.
            CHECK(until([&] {
                std::vector<std::unique_ptr<RawCaller>> held;
                const int before = tooMany;
                for (int i = 0; i < MaxConnections; ++i) {
                    held.push_back(std::make_unique<RawCaller>(port));
                    held.back()->send(request);
                    until([&] { return held.back()->read() || !held.back()->received.empty(); });
                }
                return tooMany == before;
            }));
        }
    }
}
