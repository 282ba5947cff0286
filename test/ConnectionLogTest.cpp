#include "Net/ConnectionLog.h"
#include "Base/Log.h"
#include "Base/ManualClock.h"
#include "Base/Metrics.h"
#include "Decide/RequestBuffers.h"

#include <doctest/doctest.h>

#include <cerrno>
#include <string>
#include <vector>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct ConnectionLogFixture
{
    ConnectionLogFixture()
    {
        Log::setSink([this](LogLevel, std::string_view it) { lines.emplace_back(it); });
    }
    ~ConnectionLogFixture()
    {
        Log::setSink([](LogLevel, std::string_view) {});
    }
    ConnectionLogFixture(const ConnectionLogFixture &) = delete;
    ConnectionLogFixture &operator=(const ConnectionLogFixture &) = delete;

    /// \returns whether the last line is of \a event and contains \a fields.
    bool lastLineHas(std::string_view event, std::string_view fields) const
    {
        if (lines.empty())
            return false;
        INFO(lines.back());
        const std::string name = R"("event":")" + std::string(event) + '"';
        const bool out = lines.back().find(name) != std::string::npos
                && lines.back().find(fields) != std::string::npos;
        CHECK(out);
        return out;
    }

    std::uint64_t ended(std::string_view reason) const
    {
        return metrics.counter("catkinloft_connections_ended_total",
                               Metrics::label("reason", reason));
    }

    ManualClock clock;
    Metrics metrics;
    RequestBuffers buffers{clock, 1000};
    std::vector<std::string> lines;
    ConnectionLog log{{.clock = clock, .metrics = metrics, .buffers = buffers}};
};

} // namespace

// Guards against an end without a log line, and against a line for each of thousands of connections
// that a crowd of callers makes the listener end.
TEST_CASE_FIXTURE(ConnectionLogFixture, "connectionLog_connectionsAreEnded_oneLineASecondCountsAll")
{
    RequestBuffers::Share share(buffers, [] {});
    share.hold(300);
    log.ended("10.0.0.1:1", "rejected");
    REQUIRE(lines.size() == 1);
    CHECK(lastLineHas(
            "connections_ended",
            R"("address":"10.0.0.1:1","request_memory":0,"header_timeout":0,"rejected":1,)"
            R"("held_bytes":300,"limit_bytes":1000)"));
    for (int i = 0; i < 999; ++i) {
        clock.advance(1ms);
        log.ended("10.0.0.1:1", i % 3 == 0 ? "request_memory" : "header_timeout");
    }
    CHECK(lines.size() == 1);
    clock.advance(1ms);
    log.ended("10.0.0.1:2", "rejected");
    REQUIRE(lines.size() == 2);
    CHECK(lastLineHas("connections_ended", R"("reason":"rejected")"));
    CHECK(lastLineHas("connections_ended",
                      R"("address":"10.0.0.1:2","request_memory":333,"header_timeout":666,)"
                      R"("rejected":1,)"));
    clock.advance(1s);
    log.ended("10.0.0.1:2", "header_timeout");
    REQUIRE(lines.size() == 3);
    CHECK(lastLineHas("connections_ended",
                      R"("request_memory":0,"header_timeout":1,"rejected":0,)"));
    CHECK(ended("request_memory") == 333);
    CHECK(ended("header_timeout") == 667);
    CHECK(ended("rejected") == 2);
}

TEST_CASE_FIXTURE(ConnectionLogFixture,
                  "connectionLog_connectionsAreRefused_oneLineASecondCountsAll")
{
    for (int i = 0; i < 1000; ++i) {
        log.refused("10.0.0.1:1", 64);
        clock.advance(1ms);
    }
    REQUIRE(lines.size() == 1);
    CHECK(lastLineHas("connections_refused",
                      R"("address":"10.0.0.1:1","connections":1,"limit":64)"));
    log.refused("10.0.0.1:2", 8);
    REQUIRE(lines.size() == 2);
    CHECK(lastLineHas("connections_refused",
                      R"("address":"10.0.0.1:2","connections":1000,"limit":8)"));
    CHECK(metrics.counter("catkinloft_refusals_total",
                          Metrics::label("reason", Reason::TooManyConnections))
          == 1001);
}

TEST_CASE_FIXTURE(ConnectionLogFixture, "connectionLog_acceptFails_oneLineASecondSaysWhy")
{
    for (int i = 0; i < 10; ++i) {
        log.acceptFailed("10.0.0.1:1", EMFILE);
        clock.advance(100ms);
    }
    REQUIRE(lines.size() == 1);
    CHECK(lastLineHas("accept_failed", R"("address":"10.0.0.1:1","detail":"Too many open files")"));
    log.acceptFailed("10.0.0.1:1", EMFILE);
    CHECK(lines.size() == 2);
    CHECK(metrics.counter("catkinloft_accept_failures_total") == 11);
}

// A line of one kind must not take the place of a line of another kind.
TEST_CASE_FIXTURE(ConnectionLogFixture, "connectionLog_listenerReportsEachKind_eachIsLogged")
{
    const HttpServer::Options options =
            log.observed({.address = "10.0.0.1:1", .limits = {.maxConnections = 7}});
    options.onTooManyConnections();
    CHECK(lastLineHas("connections_refused",
                      R"("address":"10.0.0.1:1","connections":1,"limit":7)"));
    options.onConnectionEnded("header_timeout");
    CHECK(lastLineHas("connections_ended", R"("address":"10.0.0.1:1")"));
    errno = ENFILE;
    options.onAcceptFailed();
    CHECK(lastLineHas("accept_failed", "Too many open files in system"));
    CHECK(lines.size() == 3);
}

// Guards against answers that are lost without a trace, and against a line for each of them while a
// crowd of callers doesn't read its answers.
TEST_CASE_FIXTURE(ConnectionLogFixture, "connectionLog_answersAreCut_eachIsLoggedUpToALimit")
{
    const UnsentAnswer answer{.requestId = "r-1", .bytes = 700, .isComplete = true};
    log.answerCut("127.0.0.1:1", AnswerCut::Stopped, answer);
    CHECK(lastLineHas("answer_cut", R"("request_id":"r-1")"));
    CHECK(lastLineHas("answer_cut", R"("reason":"stopped")"));
    CHECK(lastLineHas("answer_cut", R"("unsent_bytes":700)"));
    for (int i = 0; i < 1000; ++i)
        log.answerCut("127.0.0.1:1", AnswerCut::Memory, answer);
    CHECK(lines.size() == 50);
    clock.advance(1s);
    log.answerCut("127.0.0.1:1", AnswerCut::Caller, answer);
    CHECK(lastLineHas("answer_cut", R"("not_logged":951)"));
    CHECK(metrics.counter("catkinloft_answers_cut_total",
                          Metrics::label("reason", "request_memory"))
          == 1000);
}

// Guards against two lines for one end: the handler logs that it gave an answer up, or that the
// caller left before it was complete.
TEST_CASE_FIXTURE(ConnectionLogFixture, "connectionLog_handlerLogsTheEnd_cutIsOnlyCounted")
{
    for (const AnswerCut it : {AnswerCut::BrokenOff, AnswerCut::Caller, AnswerCut::Reset})
        log.answerCut("127.0.0.1:1", it, {.requestId = "r-1", .bytes = 700, .isComplete = false});
    CHECK(lines.empty());
    CHECK(metrics.counter("catkinloft_answers_cut_total", Metrics::label("reason", "caller")) == 1);
}
