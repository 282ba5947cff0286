#include "Base/RequestTrace.h"
#include "Base/Log.h"
#include "Net/EventLoop.h"
#include "Net/LogWriter.h"
#include "Net/RequestEvent.h"

#include <doctest/doctest.h>

#include <array>
#include <string>

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct RequestTraceFixture
{
    RequestTraceFixture()
    {
        Log::setSink([this](LogLevel, std::string_view it) { log += it; });
    }
    ~RequestTraceFixture()
    {
        Log::setSink([](LogLevel, std::string_view) {});
    }

    static RequestEvent event(RequestEvent::Kind kind, const std::string &id)
    {
        return {.kind = kind,
                .requestId = id,
                .service = "svc",
                .revision = 7,
                .proofAge = 300ms,
                .elapsed = 12ms,
                .attempt = 1,
                .replica = "i-1"};
    }

    std::string log;
};

/// A small pipe for a log, which is not read while the log is written.
struct BlockedLogFixture
{
    BlockedLogFixture()
    {
        REQUIRE(pipe(ends.data()) == 0);
        REQUIRE(fcntl(ends[1], F_SETPIPE_SZ, 4096) >= 0);
    }
    ~BlockedLogFixture()
    {
        close(ends[0]);
        close(ends[1]);
    }

    std::string readAll()
    {
        std::string out;
        std::array<char, 65536> buf{};
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
        for (ssize_t n = 0; (n = read(ends[0], buf.data(), buf.size())) > 0;)
            out.append(buf.data(), static_cast<std::size_t>(n));
        return out;
    }

    std::array<int, 2> ends{};
    EventLoop loop;
};

} // namespace

TEST_CASE_FIXTURE(RequestTraceFixture, "requestTrace_refusedAfterFailedAttempt_showsCause")
{
    logRequestEvent(event(RequestEvent::Kind::Sent, "r1"));
    logRequestEvent(event(RequestEvent::Kind::Sent, "r2"));
    RequestEvent failed = event(RequestEvent::Kind::AttemptFailed, "r1");
    failed.reason = Reason::UpstreamBroken;
    failed.verdict = Verdict::MayHaveRun;
    failed.detail = "the connection broke";
    logRequestEvent(failed);
    Log::info("replica_gone", {{"replica", "i-1"}});
    failed.kind = RequestEvent::Kind::Refused;
    failed.status = 502;
    logRequestEvent(failed);
    RequestTrace trace("r1");
    trace.addLog("  12.5 front-1 " + log + "no log line\n");
    const std::string summary = trace.summary();
    CHECK(trace.isKnown());
    CHECK(trace.skippedLines() == 1);
    CHECK(summary.find("sent to replica i-1 of svc (attempt 1)") != summary.npos);
    CHECK(summary.find("meanwhile") != summary.npos);
    CHECK(summary.find("r2") == summary.npos);
    CHECK(summary.ends_with("cause: upstream_broken: the connection broke\n"));
}

// Guards against a reason code that is too long for a record of truncated lines.
TEST_CASE_FIXTURE(RequestTraceFixture, "requestEvent_eachReason_isInTheFirstHundredCharacters")
{
    for (const ReasonInfo &it : allReasons()) {
        for (const auto kind : {RequestEvent::Kind::AttemptFailed, RequestEvent::Kind::Refused,
                                RequestEvent::Kind::BrokenOff}) {
            log.clear();
            RequestEvent failed = event(kind, "r1");
            failed.reason = it.reason;
            logRequestEvent(failed);
            INFO(log);
            CHECK(log.substr(0, 100).find(fmt::format(R"("reason":"{}")", it.code))
                  != std::string::npos);
        }
    }
}

// Guards against records of lines truncated to two hundred characters that do not tell why a
// request was not retried.
TEST_CASE_FIXTURE(RequestTraceFixture, "requestEvent_retryDenied_precedesTheRequestId")
{
    RequestEvent failed = event(RequestEvent::Kind::BrokenOff, "88b96f6e75b62334");
    failed.reason = Reason::UpstreamTimeout;
    failed.retryDenied = "not_repeatable";
    Log::setSource("front-de-cymru-a-10");
    logRequestEvent(failed);
    Log::setSource("catkinloft");
    INFO(log);
    CHECK(log.substr(0, 200).find(R"("retry_denied":"not_repeatable","request_id":)")
          != std::string::npos);
}

// Guards against a trace that does not show which crashes led to the quarantine of a request. The
// crashes are logged under the ids of other requests with the same content.
TEST_CASE_FIXTURE(RequestTraceFixture, "requestTrace_quarantinedRequest_showsMatchingCrashes")
{
    const auto logCrash = [](std::string_view id, std::string_view fingerprint,
                             std::string_view replica) {
        Log::info("run_ended_with_replica",
                  {{"request_id", id},
                   {"fingerprint", fingerprint},
                   {"replica", replica},
                   {"software", "svc v1"}});
    };
    logCrash("r1", "f1", "i-1");
    logCrash("r2", "f2", "i-2");
    RequestEvent refused = event(RequestEvent::Kind::Refused, "r3");
    refused.reason = Reason::RequestQuarantined;
    refused.status = 503;
    refused.fingerprint = "f1";
    logRequestEvent(refused);
    RequestTrace trace("r3");
    trace.addLog(log);
    const std::string summary = trace.summary();
    CHECK(summary.find("replica i-1 ended while it ran request r1") != summary.npos);
    CHECK(summary.find("i-2") == summary.npos);
    CHECK(summary.find("cause: request_quarantined") != summary.npos);
}

TEST_CASE_FIXTURE(RequestTraceFixture, "requestTrace_noEndLogged_reportsUnknownCause")
{
    logRequestEvent(event(RequestEvent::Kind::Sent, "r1"));
    RequestTrace trace("r1");
    trace.addLog(log);
    CHECK(trace.summary().find("cause: no router logged its end") != std::string::npos);
    RequestTrace other("r9");
    other.addLog(log);
    CHECK_FALSE(other.isKnown());
}

TEST_CASE_FIXTURE(BlockedLogFixture, "logWriter_pipeNotRead_neitherBlocksNorGrows")
{
    LogWriter writer({.loop = loop, .fd = ends[1], .capacity = 10'000});
    const std::string line(99, 'x');
    for (int i = 0; i < 1000; ++i) {
        writer.write(LogLevel::Info, line + "\n");
        writer.flush();
    }
    const std::uint64_t dropped = writer.dropped();
    CHECK(dropped > 800);
    writer.write(LogLevel::Warning, "a failure is kept\n");
    CHECK(writer.dropped() == dropped);
    std::string read = readAll();
    for (int i = 0; i < 10; ++i) {
        writer.flush();
        read += readAll();
    }
    CHECK(read.find("a failure is kept") != read.npos);
    CHECK(read.find("log_lines_dropped") != read.npos);
    CHECK(read.size() < 20'000);
}

// Guards against a command that ends at one odd line of a log, so that the others explain nothing.
TEST_CASE("requestTrace_lineHasOddValues_isSkipped")
{
    RequestTrace trace("r1");
    for (const char *it : {R"("status":9223372036854775808)", R"("status":[1])", R"("status":"x")",
                           R"("status":1e30)"})
        trace.addLog(std::string(R"({"event":"request_answered","request_id":"r1",)") + it + "}\n");
    trace.addLog(R"({"event":"request_sent","request_id":"r1","prompt_tokens":[]})");
    CHECK(trace.skippedLines() == 5);
    trace.addLog(R"({"event":"request_answered","request_id":"r1","status":200,"replica":"i-1"})");
    CHECK(trace.summary().find("answered with status 200 by replica i-1") != std::string::npos);
}
