#include "Net/EventLoop.h"
#include "Net/HttpServer.h"
#include "Net/TlsContext.h"
#include "RawCaller.h"

#include <doctest/doctest.h>

#include <cerrno>
#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <unistd.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxBody = 4 * 1024 * 1024;

/// More than the sockets of a connection hold.
constexpr std::size_t LongAnswer = 32 * 1024 * 1024;

const std::string Get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

/// Of a caller that knows no chunks and wants to keep its connection.
constexpr const char *GetOldKept = "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";

/// A server that answers each request with the length of its body, some milliseconds later, and GET
/// with a long body.
struct KeptConnectionFixture
{
    explicit KeptConnectionFixture(Duration idleTimeout = 10s)
    {
        for (port = 21'400; port < 21'800 && !server; ++port) {
            auto it = std::make_unique<HttpServer>(
                    loop,
                    HttpServer::Options{
                            .address = fmt::format("127.0.0.1:{}", port),
                            .limits = {.maxHeaderBytes = 8192,
                                       .maxBodyBytes = MaxBody,
                                       .maxConnections = 100,
                                       .idleTimeout = idleTimeout},
                            .requestIdHeader = "X-Request-Id",
                            .onAnswerCut =
                                    [this](AnswerCut reason, const UnsentAnswer &answer) {
                                        cuts.emplace_back(answerCutName(reason));
                                        lastCut = answer;
                                    }},
                    [this](const HttpExchangePtr &exchange) {
                        loop.after(5ms, [exchange] {
                            if (exchange->method() == "GET")
                                return exchange->respond(200, {}, std::string(LongAnswer, 'b'));
                            const std::string text = fmt::format("<{}>", exchange->body().size());
                            exchange->respond(200, {}, text);
                        });
                    });
            if (it->listen())
                server = std::move(it);
        }
        --port;
        REQUIRE(server);
    }

    bool until(const std::function<bool()> &condition, Duration limit = 20s)
    {
        const TimePoint end = loop.now() + limit;
        while (!condition() && loop.now() < end) {
            loop.runOnce();
            usleep(200);
        }
        return condition();
    }

    static std::string request(std::size_t bytes, bool inChunks)
    {
        const std::string head = "POST / HTTP/1.1\r\nHost: x\r\n";
        const std::string body(bytes, 'a');
        if (!inChunks)
            return fmt::format("{}Content-Length: {}\r\n\r\n{}", head, bytes, body);
        const std::string chunk =
                bytes > 0 ? fmt::format("{:x}\r\n{}\r\n", bytes, body) : std::string();
        return fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n", head, chunk);
    }

    /// Offers \a text on \a caller again and again, up to \a bytes in all, until \a caller is
    /// closed or the system has accepted nothing for half a second. \returns the number of bytes
    /// that the system accepted.
    std::size_t offer(RawCaller &caller, const std::string &text, std::size_t bytes)
    {
        std::size_t sent = 0;
        TimePoint acceptedAt = loop.now();
        until([&] {
            const std::size_t n = caller.sendSome(text.substr(sent % text.size()));
            sent += n;
            if (n > 0)
                acceptedAt = loop.now();
            return sent >= bytes || loop.now() - acceptedAt > 500ms;
        });
        return sent;
    }

    /// Sends \a text on \a caller in pieces of at most \a piece bytes.
    /// \returns whether the answer to it arrives.
    bool isAnswered(RawCaller &caller, const std::string &text, std::size_t piece,
                    const std::string &answer)
    {
        caller.received.clear();
        std::size_t sent = 0;
        return until([&] {
            if (sent < text.size())
                sent += caller.sendSome(text.substr(sent, piece));
            caller.read();
            return caller.received.find(answer) != std::string::npos;
        });
    }

    EventLoop loop;
    std::vector<std::string> cuts; ///< Reasons.
    UnsentAnswer lastCut;
    std::unique_ptr<HttpServer> server;
    std::uint16_t port = 0;
};

} // namespace

// Guards against requests on a kept connection that are never read or answered, because the limit
// for what is read while an answer is pending stays in force after the answer.
TEST_CASE_FIXTURE(KeptConnectionFixture, "listener_longBodyOnAKeptConnection_isAnswered")
{
    for (const std::size_t bytes : {0UL, 1UL, 65'535UL, 65'536UL, 65'537UL, 72'000UL, MaxBody}) {
        for (const bool inChunks : {false, true}) {
            for (const std::size_t piece : {std::size_t(1) << 20, std::size_t(60'000)}) {
                RawCaller caller(port);
                const std::string text = request(bytes, inChunks);
                for (int number = 1; number <= 10; ++number) {
                    CAPTURE(bytes);
                    CAPTURE(inChunks);
                    CAPTURE(piece);
                    CAPTURE(number);
                    REQUIRE(isAnswered(caller, text, piece, fmt::format("<{}>", bytes)));
                }
            }
        }
    }
}

// Guards against the same for a request that waits behind one that is not answered yet.
TEST_CASE_FIXTURE(KeptConnectionFixture, "listener_longBodyIsPipelined_bothAreAnswered")
{
    RawCaller caller(port);
    const std::string text = request(1, false) + request(300'000, false);
    std::size_t sent = 0;
    CHECK(until([&] {
        if (sent < text.size())
            sent += caller.sendSome(text.substr(sent));
        caller.read();
        return caller.received.find("<300000>") != std::string::npos;
    }));
    CHECK(caller.received.find("<1>") != std::string::npos);
}

// Guards against bytes of a body after an answer to HEAD, which the caller takes for the next
// answer.
TEST_CASE_FIXTURE(KeptConnectionFixture, "listener_headIsAnswered_hasNoBody")
{
    RawCaller caller(port);
    caller.send("HEAD / HTTP/1.1\r\nHost: x\r\n\r\n" + request(2, false));
    CHECK(until([&] {
        caller.read();
        return caller.received.find("<2>") != std::string::npos;
    }));
    CHECK(caller.received.find("<0>") == std::string::npos);
    CHECK(caller.received.find("\r\n\r\nHTTP/1.1 200") != std::string::npos);
}

// Guards against a process that runs out of memory because it reads on while a caller takes no
// answer: only what waits behind a pending request may be buffered.
TEST_CASE_FIXTURE(KeptConnectionFixture,
                  "listener_callerSendsOnWithoutReadingItsAnswer_inputIsBoundedAndAllAreAnswered")
{
    constexpr std::size_t Offered = 3 * LongAnswer;
    RawCaller caller(port);
    caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    const std::string next = request(1'000'000, false);
    const std::size_t sent = offer(caller, next, Offered);
    CHECK(sent < LongAnswer);
    const std::size_t requests = sent / next.size() + 1;
    const std::string rest = next.substr(sent % next.size());
    std::size_t restSent = 0;
    std::size_t answered = 0;
    std::size_t searched = 0;
    CHECK(until([&] {
        if (restSent < rest.size())
            restSent += caller.sendSome(rest.substr(restSent));
        caller.read();
        for (std::size_t at = 0;
             (at = caller.received.find("<1000000>", searched)) != std::string::npos; ++answered)
            searched = at + 1;
        return answered == requests;
    }));
}

// Guards against a process that runs out of memory because of a request that can't end: the size of
// a chunk is read as a line, which has no limit of its own.
TEST_CASE_FIXTURE(KeptConnectionFixture,
                  "listener_lineOfAChunkNeverEnds_connectionIsClosedAndNothingIsHandled")
{
    constexpr std::size_t Offered = 64 * 1024 * 1024;
    for (const char *begin : {"", "5;a="}) {
        RawCaller caller(port);
        caller.send(std::string("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
                    + begin);
        CHECK(offer(caller, std::string(1 << 20, '0'), Offered) < Offered);
        CHECK(until([&] { return caller.read(); }, 5s));
        CHECK(caller.received.find("200 OK") == std::string::npos);
    }
}

namespace {

struct ShortIdleTimeoutFixture : KeptConnectionFixture
{
    static constexpr Duration IdleTimeout = 700ms;

    ShortIdleTimeoutFixture() : KeptConnectionFixture(IdleTimeout) { }

    void run(Duration time)
    {
        const TimePoint end = loop.now() + time;
        until([&] { return loop.now() >= end; });
    }
};

} // namespace

// Guards against connections that are held for ever: the idle timeout of a connection ended with
// its first request.
TEST_CASE_FIXTURE(ShortIdleTimeoutFixture,
                  "listener_laterRequestIsIncomplete_connectionIsClosedAfterTheIdleTimeout")
{
    for (const char *part : {"", "POST / HTTP/1.1\r\nHos",
                             "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc"}) {
        CAPTURE(std::string(part));
        RawCaller caller(port);
        REQUIRE(isAnswered(caller, request(1, false), 1 << 20, "<1>"));
        caller.send(part);
        CHECK(until([&] { return caller.read(); }, 10 * IdleTimeout));
    }
}

// Guards against answers that are held for ever for a caller who doesn't read them, and against
// closing the connection of one who reads slowly.
TEST_CASE_FIXTURE(ShortIdleTimeoutFixture,
                  "listener_answerIsNotRead_connectionIsClosedAfterTheIdleTimeoutUnlessReadSlowly")
{
    const std::string get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    RawCaller silent(port);
    silent.send(get);
    run(3 * IdleTimeout);
    CHECK(until([&] { return silent.read(); }, 10 * IdleTimeout));
    CHECK(silent.received.size() < LongAnswer);
    CHECK(cuts == std::vector<std::string>{"timeout"});
    RawCaller slow(port);
    slow.send(get);
    for (int i = 0; i < 8; ++i) {
        run(IdleTimeout / 2);
        slow.readSome(LongAnswer / 16);
    }
    CHECK(until([&] {
        slow.read();
        return slow.received.size() > LongAnswer;
    }));
}

// Guards against an idle timeout that ends a request whose answer takes long.
TEST_CASE_FIXTURE(ShortIdleTimeoutFixture, "listener_answerTakesLong_isDelivered")
{
    HttpExchangePtr pending;
    server.reset();
    server = std::make_unique<HttpServer>(
            loop,
            HttpServer::Options{.address = fmt::format("127.0.0.1:{}", port),
                                .limits = {.idleTimeout = IdleTimeout}},
            [&](const HttpExchangePtr &exchange) { pending = exchange; });
    REQUIRE(server->listen());
    RawCaller caller(port);
    for (int number = 1; number <= 2; ++number) {
        caller.received.clear();
        caller.send(request(1, false));
        REQUIRE(until([&] { return pending != nullptr; }));
        run(3 * IdleTimeout);
        std::exchange(pending, nullptr)->respond(200, {}, "late");
        CHECK(until([&] {
            caller.read();
            return caller.received.ends_with("late");
        }));
    }
}

// Guards against an answer that is cut off by the reset of a connection that is closed behind it
// while bytes of the caller are unread.
TEST_CASE_FIXTURE(KeptConnectionFixture, "listener_closesWithUnreadBytes_lastAnswerArrives")
{
    RawCaller caller(port);
    const std::string next = request(1'000'000, false);
    const std::string text = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + next;
    std::size_t sent = 0;
    bool isClosed = false;
    until([&] {
        if (sent < text.size())
            sent += caller.sendSome(text.substr(sent));
        isClosed = caller.readSome(256 * 1024);
        return isClosed;
    });
    CHECK(isClosed);
    CHECK(caller.received.size() > LongAnswer);
}

// Guards against a caller that leaves being taken for one that reads too slowly, or the reverse.
// The system resets the connection of a caller that leaves with a part of its answer unread.
TEST_CASE_FIXTURE(KeptConnectionFixture, "listener_callerLeaves_reasonAndRequestAreReported")
{
    for (const bool hasAnswer : {false, true}) {
        CAPTURE(hasAnswer);
        cuts.clear();
        {
            RawCaller caller(port);
            caller.send("GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: r-7\r\n\r\n");
            until([&] {
                caller.readSome(1);
                return hasAnswer ? !caller.received.empty() : !server->unsentAnswers().empty();
            });
        }
        CHECK(until([&] { return !cuts.empty(); }));
        CHECK(cuts == std::vector<std::string>{hasAnswer ? "reset" : "caller"});
        CHECK((lastCut.error != 0) == hasAnswer);
        CHECK(lastCut.requestId == "r-7");
        CHECK(lastCut.isComplete == hasAnswer);
        CHECK((lastCut.bytes > 0) == hasAnswer);
    }
}

namespace {

/// A listener whose handler keeps the exchange.
struct StreamFixture : KeptConnectionFixture
{
    StreamFixture()
    {
        server.reset();
        server = std::make_unique<HttpServer>(
                loop,
                HttpServer::Options{.address = fmt::format("127.0.0.1:{}", port),
                                    .limits = {.idleTimeout = 1s},
                                    .onAnswerCut =
                                            [this](AnswerCut reason, const UnsentAnswer &answer) {
                                                cuts.emplace_back(answerCutName(reason));
                                                lastCut = answer;
                                            }},
                [this](const HttpExchangePtr &it) { exchange = it; });
        REQUIRE(server->listen());
    }

    /// Sends \a head on \a caller and waits for the handler to be called.
    void receive(RawCaller &caller, const std::string &head)
    {
        caller.send(head);
        REQUIRE(until([&] { return exchange != nullptr; }));
    }

    /// Begins a stream to \a caller, which has sent \a ahead bytes of its next request.
    void begin(RawCaller &caller, std::size_t ahead)
    {
        caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        REQUIRE(until([&] { return exchange != nullptr; }));
        exchange->beginStream(200, {});
        exchange->write("event");
        REQUIRE(until([&] {
            caller.read();
            return caller.received.find("event") != std::string::npos;
        }));
        const std::string next = request(ahead, false);
        REQUIRE(caller.sendSome(next) == next.size());
        const TimePoint end = loop.now() + 300ms;
        until([&] { return loop.now() >= end; });
    }

    HttpExchangePtr exchange;
};

} // namespace

// Guards against streams that go on for a caller who has left with a part of its next request sent.
TEST_CASE_FIXTURE(StreamFixture, "listener_callerSendsAheadAndLeaves_handlerIsTold")
{
    for (const std::size_t ahead : {std::size_t(100), std::size_t(8 * 1024)}) {
        CAPTURE(ahead);
        exchange.reset();
        bool isClosed = false;
        {
            RawCaller caller(port);
            begin(caller, ahead);
            exchange->onClosed([&] { isClosed = true; });
        }
        CHECK(until([&] { return isClosed; }, 3s));
    }
}

// Guards against connections that stay open for good, and delay the stop of the process, because
// the end of an answer that is given up is not noticed.
TEST_CASE_FIXTURE(StreamFixture, "listener_streamIsGivenUpWithRequestAhead_connectionIsFreed")
{
    for (const std::size_t ahead : {std::size_t(100), std::size_t(8 * 1024)}) {
        CAPTURE(ahead);
        exchange.reset();
        RawCaller caller(port);
        begin(caller, ahead);
        std::exchange(exchange, nullptr)->abort();
        CHECK(until([&] { return server->unsentAnswers().empty(); }, 3s));
    }
}

// Guards against a process that ends while the last answer of a connection is still on its way. A
// router that stops closes each connection behind its answer.
TEST_CASE_FIXTURE(StreamFixture, "listener_closesAfterAnswerThatIsReadSlowly_answerIsPending")
{
    RawCaller caller(port);
    caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(until([&] { return exchange != nullptr; }));
    const std::size_t length = 8 * 1024 * 1024;
    exchange->closeAfterAnswer();
    exchange->respond(200, {}, std::string(length, 'a'));
    exchange.reset();
    // The rest is in the buffers of the system then.
    REQUIRE(until([&] {
        caller.readSome(64 * 1024);
        return server->unsentAnswers().empty();
    }));
    REQUIRE(caller.received.size() < length);
    for (int i = 0; i < 8; ++i) {
        CAPTURE(i);
        const TimePoint end = loop.now() + 500ms;
        until([&] { return loop.now() >= end; });
        CHECK(server->pendingAnswers() > 0);
        caller.readSome(64 * 1024);
    }
    REQUIRE(caller.received.size() < length);
}

// Guards against a stream that breaks off early, or behind a slow link, and looks to its caller
// like a request without an answer: what was written is discarded when the handler gives the stream
// up.
TEST_CASE_FIXTURE(StreamFixture, "listener_streamIsGivenUp_whatWasWrittenArrivesWithoutItsEnd")
{
    for (const std::size_t length : {std::size_t(0), std::size_t(5), LongAnswer}) {
        for (const std::size_t ahead : {std::size_t(0), std::size_t(1'000'000)}) {
            CAPTURE(length);
            CAPTURE(ahead);
            cuts.clear();
            RawCaller caller(port);
            receive(caller, Get);
            exchange->beginStream(200, {});
            exchange->write(std::string(length, 'a'));
            exchange->abort();
            exchange->write("late");
            exchange->end();
            exchange.reset();
            const std::string next = request(ahead, false);
            std::size_t sent = 0;
            CHECK(until([&] {
                if (ahead > 0 && sent < next.size())
                    sent += caller.sendSome(next.substr(sent));
                return caller.readSome(256 * 1024);
            }));
            CHECK(caller.received.starts_with("HTTP/1.1 200 OK\r\n"));
            const std::string chunk = length > 0
                    ? fmt::format("\r\n\r\n{:x}\r\n{}\r\n", length, std::string(length, 'a'))
                    : std::string("\r\n\r\n");
            CHECK(caller.received.ends_with(chunk));
            CHECK_FALSE(caller.wasReset);
            CHECK(until([&] { return server->unsentAnswers().empty(); }));
            CHECK(cuts == std::vector<std::string>{"broken_off"});
            CHECK_FALSE(lastCut.isComplete);
            CHECK(exchange == nullptr);
        }
    }
}

// Guards against an incomplete answer that is taken for complete, because it has neither chunks nor
// a length and its connection is closed like that of a complete one.
TEST_CASE_FIXTURE(StreamFixture, "listener_unframedStreamIsGivenUp_connectionIsReset")
{
    for (const char *head : {"GET / HTTP/1.0\r\n\r\n", GetOldKept}) {
        for (const std::size_t length : {std::size_t(5), LongAnswer}) {
            CAPTURE(std::string(head));
            CAPTURE(length);
            RawCaller caller(port);
            receive(caller, head);
            exchange->beginStream(200, {});
            exchange->write(std::string(length, 'a'));
            std::exchange(exchange, nullptr)->abort();
            CHECK(until([&] { return caller.readSome(256 * 1024); }));
            CHECK(caller.received.ends_with("\r\n\r\n" + std::string(length, 'a')));
            CHECK(caller.received.find("Content-Length") == std::string::npos);
            CHECK(caller.wasReset);
        }
    }
}

// Guards against a stream that looks complete before its first byte, to a caller that wants to keep
// its connection but knows no chunks.
TEST_CASE_FIXTURE(StreamFixture, "listener_oldCallerKeepsConnection_streamEndsWithIt")
{
    RawCaller caller(port);
    receive(caller, GetOldKept);
    exchange->beginStream(200, {});
    exchange->write("event");
    std::exchange(exchange, nullptr)->end();
    CHECK(until([&] { return caller.read(); }, 500ms));
    CHECK(caller.received.ends_with("\r\n\r\nevent"));
    CHECK(caller.received.find("Content-Length") == std::string::npos);
    CHECK(caller.received.find("keep-alive") == std::string::npos);
    CHECK_FALSE(caller.wasReset);
}

// Guards against a connection that stays open behind a stream with a length that was given up.
TEST_CASE_FIXTURE(StreamFixture, "listener_oldCallerKeepsConnection_streamGivenUpIsClosed")
{
    RawCaller caller(port);
    receive(caller, GetOldKept);
    exchange->beginStream(200, {{"Content-Length", "10"}});
    exchange->write("event");
    std::exchange(exchange, nullptr)->abort();
    CHECK(until([&] { return caller.read(); }, 500ms));
    CHECK(caller.received.ends_with("\r\n\r\nevent"));
}

// Guards against the same for an answer that its caller doesn't read in time.
TEST_CASE_FIXTURE(StreamFixture, "listener_unframedAnswerIsNotReadInTime_connectionIsReset")
{
    RawCaller caller(port);
    receive(caller, "GET / HTTP/1.0\r\n\r\n");
    std::exchange(exchange, nullptr)->respond(200, {}, std::string(LongAnswer, 'a'));
    CHECK(until([&] { return server->unsentAnswers().empty(); }));
    CHECK(until([&] { return caller.read(); }));
    CHECK(caller.received.size() < LongAnswer);
    CHECK(caller.wasReset);
}

// Guards against a stream that was given up and is held for ever for a caller who doesn't read it,
// and against the end of the process before it was sent.
TEST_CASE_FIXTURE(StreamFixture, "listener_streamIsGivenUpAndNotRead_isPendingUntilTheIdleTimeout")
{
    RawCaller caller(port);
    receive(caller, Get);
    exchange->beginStream(200, {});
    exchange->write(std::string(LongAnswer, 'a'));
    std::exchange(exchange, nullptr)->abort();
    const TimePoint end = loop.now() + 500ms;
    until([&] { return loop.now() >= end; });
    REQUIRE(server->unsentAnswers().size() == 1);
    CHECK(server->unsentAnswers().front().bytes > 0);
    CHECK_FALSE(server->unsentAnswers().front().isComplete);
    CHECK(server->pendingAnswers() == 1);
    CHECK(until([&] { return server->unsentAnswers().empty(); }, 10s));
}

// Guards against a reason that is inferred from how long an answer has made no progress: a caller
// that leaves after a pause counted as one that didn't read in time.
TEST_CASE_FIXTURE(StreamFixture, "listener_callerLeavesAfterAPause_reasonIsTheCaller")
{
    for (const bool isHalfClosed : {false, true}) {
        CAPTURE(isHalfClosed);
        cuts.clear();
        auto caller = std::make_unique<RawCaller>(port);
        receive(*caller, Get);
        std::exchange(exchange, nullptr)->respond(200, {}, std::string(LongAnswer, 'a'));
        const TimePoint end = loop.now() + 950ms;
        until([&] { return loop.now() >= end; });
        REQUIRE(cuts.empty());
        isHalfClosed ? caller->finish() : caller.reset();
        CHECK(until([&] { return !cuts.empty(); }));
        CHECK(cuts == std::vector<std::string>{isHalfClosed ? "caller" : "reset"});
    }
}

// Guards against replicas that work on for a caller that has left: the end of its sending side
// can't be told from the end of the connection, so a caller that only half-closes has left, too.
TEST_CASE_FIXTURE(StreamFixture, "listener_callerClosesItsSendingSide_handlerIsTold")
{
    for (const bool isStream : {false, true}) {
        CAPTURE(isStream);
        cuts.clear();
        RawCaller caller(port);
        receive(caller, Get);
        bool isClosed = false;
        exchange->onClosed([&] { isClosed = true; });
        if (isStream)
            exchange->beginStream(200, {});
        caller.finish();
        CHECK(until([&] { return isClosed; }, 3s));
        CHECK(cuts == std::vector<std::string>{"caller"});
        exchange.reset();
    }
}

// Guards against a caller that resets its connection being taken for one that closes it, and not
// being noticed at all while reading is paused behind a part of its next request.
TEST_CASE_FIXTURE(StreamFixture, "listener_callerResetsItsConnection_reasonAndErrorAreReported")
{
    for (const std::size_t ahead : {std::size_t(100), std::size_t(8 * 1024)}) {
        CAPTURE(ahead);
        cuts.clear();
        exchange.reset();
        {
            RawCaller caller(port);
            begin(caller, ahead);
            caller.resetOnClose();
        }
        CHECK(until([&] { return !cuts.empty(); }, 3s));
        CHECK(cuts == std::vector<std::string>{"reset"});
        CHECK(lastCut.error == ECONNRESET);
        CHECK_FALSE(lastCut.isComplete);
    }
}

// Guards against an answer that was given up and is reported as such although its caller, by not
// reading, didn't receive what was written.
TEST_CASE_FIXTURE(StreamFixture, "listener_streamIsGivenUpAndNotRead_reasonIsTheTimeout")
{
    RawCaller caller(port);
    receive(caller, Get);
    exchange->beginStream(200, {});
    exchange->write(std::string(LongAnswer, 'a'));
    std::exchange(exchange, nullptr)->abort();
    CHECK(until([&] { return !cuts.empty(); }));
    CHECK(cuts == std::vector<std::string>{"timeout"});
    CHECK(lastCut.bytes > 0);
    CHECK_FALSE(lastCut.isComplete);
}

// Guards against a process that ends with all its requests because a callback of one connection
// throws, and against a connection that is held for ever then.
TEST_CASE_FIXTURE(StreamFixture, "listener_callbackThrows_nextCallerIsServed")
{
    const auto fail = [] { throw std::runtime_error("unexpected"); };
    {
        RawCaller caller(port);
        receive(caller, Get);
        exchange->onClosed(fail);
        exchange->beginStream(200, {});
    }
    CHECK(until([&] { return server->unsentAnswers().empty(); }, 3s));
    exchange.reset();
    {
        RawCaller caller(port);
        receive(caller, Get);
        exchange->onDrained(fail);
        exchange->beginStream(200, {});
        exchange->write("event");
        CHECK(until([&] {
            caller.read();
            return caller.received.find("event") != std::string::npos;
        }));
        std::exchange(exchange, nullptr)->end();
    }
    CHECK(until([&] { return server->unsentAnswers().empty(); }, 3s));
    RawCaller caller(port);
    receive(caller, Get);
    std::exchange(exchange, nullptr)->respond(200, {}, "served");
    CHECK(until([&] {
        caller.read();
        return caller.received.ends_with("served");
    }));
}

// Guards against the same when a close can't be reported.
TEST_CASE_FIXTURE(KeptConnectionFixture, "listener_reportOfACutThrows_connectionIsFreed")
{
    HttpExchangePtr exchange;
    server.reset();
    server = std::make_unique<HttpServer>(
            loop,
            HttpServer::Options{.address = fmt::format("127.0.0.1:{}", port),
                                .onAnswerCut =
                                        [](AnswerCut, const UnsentAnswer &) {
                                            throw std::runtime_error("unexpected");
                                        }},
            [&](const HttpExchangePtr &it) { exchange = it; });
    REQUIRE(server->listen());
    bool isClosed = false;
    {
        RawCaller caller(port);
        caller.send(Get);
        REQUIRE(until([&] { return exchange != nullptr; }));
        exchange->onClosed([&] { isClosed = true; });
    }
    CHECK(until([&] { return isClosed; }, 3s));
    CHECK(server->unsentAnswers().empty());
}

// Guards against a process that ends because no TLS session can be made for a caller, and against a
// connection without TLS in its place.
TEST_CASE_FIXTURE(KeptConnectionFixture, "listener_noTlsSessionCanBeMade_connectionIsRefused")
{
    const TlsContext unloaded({.certificateFile = "missing", .keyFile = "missing", .caFile = {}});
    bool isHandled = false;
    int failures = 0;
    server.reset();
    server = std::make_unique<HttpServer>(
            loop,
            HttpServer::Options{.address = fmt::format("127.0.0.1:{}", port),
                                .onAcceptFailed = [&] { ++failures; },
                                .tls = &unloaded},
            [&](const HttpExchangePtr &) { isHandled = true; });
    REQUIRE(server->listen());
    for (int i = 1; i <= 2; ++i) {
        RawCaller caller(port);
        caller.send(Get);
        CHECK(until([&] { return caller.read(); }, 3s));
        CHECK(caller.received.empty());
        CHECK(failures == i);
    }
    CHECK_FALSE(isHandled);
}

// Guards against an answer that is cut off because a configuration shortens the idle timeout while
// it is read slowly.
TEST_CASE_FIXTURE(StreamFixture,
                  "listener_idleTimeoutIsShortenedWhileAnswerIsSent_answerIsComplete")
{
    RawCaller caller(port);
    receive(caller, Get);
    std::exchange(exchange, nullptr)->respond(200, {}, std::string(LongAnswer, 'a'));
    const TimePoint begin = loop.now();
    until([&] { return loop.now() - begin >= 100ms; });
    server->setIdleTimeout(50ms);
    until([&] { return loop.now() - begin >= 700ms; });
    CHECK(server->unsentAnswers().size() == 1);
    CHECK(until([&] {
        caller.readSome(1024 * 1024);
        return caller.received.size() > LongAnswer;
    }));
    CHECK(cuts.empty());
}
