#include "Decide/RequestBuffers.h"
#include "Net/EventLoop.h"
#include "Net/HttpServer.h"
#include "RawCaller.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxHeader = 8 * 1024;
constexpr std::size_t MaxBody = 64 * 1024;
constexpr std::size_t MaxMemory = 1024 * 1024;
constexpr Duration HeaderTimeout = 800ms;

struct Request
{
    std::string method;
    std::string target;
    std::string body;

    bool operator==(const Request &) const = default;
};

struct ListenerMemoryFixture
{
    ListenerMemoryFixture()
    {
        for (port = 21'400; port < 21'800 && !server; ++port) {
            auto it = std::make_unique<HttpServer>(
                    loop,
                    HttpServer::Options{.address = "127.0.0.1:" + std::to_string(port),
                                        .limits = {.maxHeaderBytes = MaxHeader,
                                                   .maxBodyBytes = MaxBody,
                                                   .headerTimeout = HeaderTimeout},
                                        .onConnectionEnded =
                                                [this](std::string_view reason) {
                                                    ++ended[std::string(reason)];
                                                },
                                        .onAcceptFailed = [this] { ++acceptFailures; },
                                        .buffers = &buffers},
                    [this](const HttpExchangePtr &exchange) {
                        requests.push_back({.method = exchange->method(),
                                            .target = exchange->target(),
                                            .body = std::string(exchange->body())});
                        highestRunning = std::max(highestRunning, buffers.running());
                        if (keepsExchanges)
                            exchanges.push_back(exchange);
                        else
                            exchange->respond(200, {}, answer);
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
            highest = std::max(highest, buffers.used());
            usleep(500);
        }
        return condition();
    }

    /// Runs the loop until what was sent has been read.
    void settle()
    {
        for (int i = 0; i < 10; ++i) {
            loop.runOnce();
            usleep(500);
        }
        highest = std::max(highest, buffers.used());
    }

    /// Sends all of \a text, as the listener reads it.
    bool sendAll(RawCaller &caller, const std::string &text)
    {
        std::size_t sent = 0;
        return until([&] {
            sent += caller.sendSome(text.substr(sent, 16 * 1024));
            return sent == text.size() || caller.read();
        });
    }

    bool isServed(const std::string &text)
    {
        RawCaller caller(port);
        sendAll(caller, text);
        until([&] { return caller.read() || caller.received.ends_with(answer); });
        return caller.received.starts_with("HTTP/1.1 200") && caller.received.ends_with(answer);
    }

    EventLoop loop;
    RequestBuffers buffers{loop, MaxMemory};
    std::vector<HttpExchangePtr> exchanges;
    std::unique_ptr<HttpServer> server;
    std::uint16_t port = 0;
    std::string answer = "fine";
    bool keepsExchanges = false;
    std::vector<Request> requests;
    std::map<std::string, int, std::less<>> ended;
    int acceptFailures = 0;
    std::size_t highest = 0; ///< Largest memory of requests so far.
    std::size_t highestRunning = 0;
};

const std::string Ordinary = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
const std::string ChunkedHead = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string repeated(std::string_view text, std::size_t times)
{
    std::string out;
    for (std::size_t i = 0; i < times; ++i)
        out += text;
    return out;
}

} // namespace

// Guards against a process that runs out of memory because many connections, each within its
// limits, stop short of the end of a request.
TEST_CASE_FIXTURE(ListenerMemoryFixture, "listener_crowdStopsShortOfTheEnd_memoryIsBounded")
{
    const std::vector<std::string> incomplete = {
            ChunkedHead + "f000\r\n" + std::string(0xf000, 'a'),
            ChunkedHead + repeated("1\r\na\r\n", 10'000),
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n"
                    + std::string(59'999, 'a'),
            "GET / HTTP/1.1\r\n" + repeated("a:b\r\n", 1500),
    };
    for (const std::string &it : incomplete) {
        CAPTURE(it.substr(0, 60));
        ended.clear();
        requests.clear();
        highest = 0;
        std::vector<std::unique_ptr<RawCaller>> crowd;
        while (crowd.size() < 300 && (crowd.size() < 30 || ended["request_memory"] < 20)) {
            crowd.push_back(std::make_unique<RawCaller>(port));
            CHECK(sendAll(*crowd.back(), it));
            loop.runOnce(); // Accepts it.
        }
        settle();
        CHECK(highest <= MaxMemory);
        CHECK(ended["request_memory"] > 0);
        CHECK(requests.empty());
        CHECK(isServed(Ordinary));
        crowd.clear();
        CHECK(until([&] { return buffers.used() == 0; }));
    }
}

// Guards against a request that was refused with a promise and is handled when its rest arrives.
TEST_CASE_FIXTURE(ListenerMemoryFixture,
                  "listener_requestGivesWay_isRefusedWithPromiseAndNotHandled")
{
    RawCaller first(port);
    CHECK(sendAll(first, ChunkedHead + "ffff\r\n" + std::string(0xfff0, 'a')));
    std::vector<std::unique_ptr<RawCaller>> crowd;
    while (ended["request_memory"] == 0) {
        crowd.push_back(std::make_unique<RawCaller>(port));
        CHECK(sendAll(*crowd.back(), ChunkedHead + "fff0\r\n" + std::string(0xfff0, 'a')));
    }
    const auto finish = [&](RawCaller &it) { it.send("aaaaaaaaaaaaaaa\r\n0\r\n\r\n"); };
    finish(first);
    settle();
    first.read();
    CHECK(first.received.starts_with("HTTP/1.1 503"));
    CHECK(first.received.find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(first.received.ends_with(R"({"reason":"request_memory","verdict":"not_run"})"));
    CHECK(requests.empty());
}

// Guards against requests that are handled and exceed the memory with the copies of their bodies.
TEST_CASE_FIXTURE(ListenerMemoryFixture,
                  "listener_requestsInProgressFillMemory_furtherOnesAreRefused")
{
    keepsExchanges = true;
    const std::string request =
            "POST /a HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + std::string(60'000, 'a');
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 20; ++i) {
        callers.push_back(std::make_unique<RawCaller>(port));
        CHECK(sendAll(*callers.back(), request));
        settle();
    }
    CHECK(requests.size() == MaxMemory / (3 * 60'000));
    CHECK(ended["request_memory"] == 20 - static_cast<int>(requests.size()));
    for (const HttpExchangePtr &it : exchanges)
        it->respond(200, {}, answer);
    exchanges.clear();
    CHECK(until([&] { return buffers.used() == 0; }));
    keepsExchanges = false;
    CHECK(isServed(request));
}

TEST_CASE_FIXTURE(ListenerMemoryFixture, "listener_answersAreNotRead_memoryIsBounded")
{
    answer = std::string(MaxMemory / 2, 'a'); // More than the sockets take.
    std::vector<std::unique_ptr<RawCaller>> crowd;
    for (int i = 0; i < 100; ++i) {
        crowd.push_back(std::make_unique<RawCaller>(port));
        crowd.back()->send(repeated(Ordinary, 20));
        settle();
    }
    CHECK(ended["request_memory"] > 0);
    CHECK(highest <= MaxMemory);
    answer = "fine";
    CHECK(isServed(Ordinary));
}

TEST_CASE_FIXTURE(ListenerMemoryFixture, "listener_headTakesTooLong_isRefused")
{
    RawCaller slow(port);
    RawCaller idle(port); // Has no head that could take too long.
    slow.send("GET / HTTP/1.1\r\n");
    CHECK(until([&] {
        slow.send("a");
        usleep(20'000);
        return slow.read();
    }));
    CHECK(slow.received.starts_with("HTTP/1.1 408"));
    CHECK(ended["header_timeout"] == 1);
    CHECK(requests.empty());
    idle.send(Ordinary);
    CHECK(until([&] { return idle.read() || idle.received.ends_with(answer); }));
    CHECK(idle.received.starts_with("HTTP/1.1 200"));
}

TEST_CASE_FIXTURE(ListenerMemoryFixture, "listener_bodyTakesLongerThanHeads_isServed")
{
    RawCaller caller(port);
    caller.send("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\na");
    const TimePoint start = loop.now();
    until([&] { return loop.now() - start > 2 * HeaderTimeout; });
    caller.send("b");
    CHECK(until([&] { return requests.size() == 1; }));
    CHECK(requests.front().body == "ab");
}

TEST_CASE_FIXTURE(ListenerMemoryFixture, "listener_callerExpectsContinue_isToldToSendItsBody")
{
    for (const std::string length : {"Content-Length: 3", "Transfer-Encoding: chunked"}) {
        RawCaller caller(port);
        caller.send("POST / HTTP/1.1\r\nExpect: 100-continue\r\n" + length + "\r\n\r\n");
        CHECK(until([&] {
            caller.read();
            return caller.received == "HTTP/1.1 100 Continue\r\n\r\n";
        }));
        caller.send(length.starts_with("C") ? "abc" : "3\r\nabc\r\n0\r\n\r\n");
        CHECK(until([&] { return caller.read() || caller.received.ends_with(answer); }));
        CHECK(requests.back().body == "abc");
    }
}

TEST_CASE_FIXTURE(ListenerMemoryFixture, "listener_largestRequests_areServed")
{
    std::string head = "GET / HTTP/1.1\r\n";
    head += repeated("a:b\r\n", (MaxHeader - 16) / 3) + "\r\n";
    CHECK(isServed(head));
    CHECK(isServed(ChunkedHead + repeated("1\r\na\r\n", MaxBody) + "0\r\n\r\n"));
    CHECK(requests.back().body.size() == MaxBody);
    CHECK(isServed("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(MaxBody) + "\r\n\r\n"
                   + std::string(MaxBody, 'a')));
    CHECK(requests.back().body.size() == MaxBody);
    CHECK(ended.empty());
}

// Guards against requests that are read in another way than they were sent: they are collected
// before they are parsed, and those that follow on a connection wait for the answer.
TEST_CASE_FIXTURE(ListenerMemoryFixture, "listener_requestsInAnyPieces_areReadAsSent")
{
    std::mt19937 random(79);
    const auto upTo = [&random](std::size_t n) { return random() % n; };
    for (int round = 0; round < 150; ++round) {
        requests.clear();
        std::string text;
        std::vector<Request> expected;
        for (std::size_t n = 1 + upTo(5); n > 0; --n) {
            const std::string body(upTo(2) * upTo(3000), static_cast<char>('a' + upTo(26)));
            Request it{.method = "POST", .target = "/" + std::to_string(n), .body = body};
            text += "POST " + it.target + " HTTP/1.1\r\nHost: x\r\n";
            switch (upTo(3)) {
            case 0:
                text += "Transfer-Encoding: chunked\r\n\r\n";
                for (std::size_t at = 0; at < body.size();) {
                    const std::size_t size = std::min(1 + upTo(500), body.size() - at);
                    std::array<char, 20> line{};
                    std::snprintf(line.data(), line.size(), "%zx\r\n", size);
                    text += line.data() + body.substr(at, size) + "\r\n";
                    at += size;
                }
                text += upTo(2) == 0 ? "0\r\n\r\n" : "0\r\nX: y\r\n\r\n";
                break;
            case 1:
                text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
                break;
            default:
                it = {.method = "GET", .target = it.target, .body = {}};
                text.replace(text.rfind("POST"), 4, "GET");
                text += "\r\n";
                break;
            }
            expected.push_back(std::move(it));
        }
        RawCaller caller(port);
        while (!text.empty()) {
            const std::size_t n = 1 + upTo(upTo(2) == 0 ? 20 : 3000);
            caller.send(text.substr(0, n));
            text.erase(0, n);
            loop.runOnce();
            caller.read();
        }
        CHECK(until([&] { return requests.size() >= expected.size() || caller.read(); }));
        REQUIRE(requests == expected);
    }
    CHECK(ended.empty());
}

// Guards against a loop that spins because a connection waits that can't be accepted.
TEST_CASE_FIXTURE(ListenerMemoryFixture, "listener_noDescriptorIsLeft_acceptsLater")
{
    constexpr int Turns = 50;
    RawCaller caller(port);
    caller.send(Ordinary);
    rlimit before{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
    const int next = fcntl(0, F_DUPFD_CLOEXEC, 0); // The lowest one that is free.
    REQUIRE(next >= 0);
    close(next);
    const rlimit none{.rlim_cur = static_cast<rlim_t>(next), .rlim_max = before.rlim_max};
    REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
    for (int i = 0; i < Turns; ++i)
        loop.runOnce();
    setrlimit(RLIMIT_NOFILE, &before);
    CHECK(acceptFailures > 0);
    CHECK(acceptFailures < Turns / 2);
    CHECK(until([&] { return caller.read() || caller.received.ends_with(answer); }));
    CHECK(caller.received.starts_with("HTTP/1.1 200"));
}

// Guards against requests that ran and get no answer, because whole requests that were admitted
// later fill the memory while replicas work on them.
TEST_CASE_FIXTURE(ListenerMemoryFixture, "listener_requestsInProgressFillMemory_answersAreComplete")
{
    keepsExchanges = true;
    RawCaller first(port);
    first.send(Ordinary);
    REQUIRE(until([&] { return exchanges.size() == 1; }));
    const HttpExchangePtr stream = exchanges.front();
    stream->beginStream(200, {});
    std::vector<std::unique_ptr<RawCaller>> uploads;
    for (std::size_t body = MaxBody; body >= 1024; body /= 4) {
        for (int i = 0; i < 8; ++i) {
            uploads.push_back(std::make_unique<RawCaller>(port));
            const std::string head = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: ";
            sendAll(*uploads.back(),
                    head + std::to_string(body) + "\r\n\r\n" + std::string(body, 'b'));
            settle();
        }
    }
    stream->write(std::string(8 * 1024, 'e'));
    settle();
    stream->end();
    CHECK(until([&] { return first.read() || first.received.ends_with("0\r\n\r\n"); }));
    CHECK(first.received.ends_with("0\r\n\r\n"));
    CHECK(highest <= MaxMemory);
}
