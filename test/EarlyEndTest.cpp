#include "AbortingUpstream.h"
#include "EntryGatewayFixture.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"

#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using End = AbortingUpstream::End;

namespace {

constexpr std::size_t LongBody = 1024 * 1024; ///< The sending system holds it.
constexpr std::size_t LongestBody = 16 * 1024 * 1024; ///< More than both systems hold.
constexpr std::size_t ShortBody = 200; ///< The receiving system holds it.

std::string answerOf(std::string_view status, std::string_view framing, std::string_view body)
{
    return fmt::format("HTTP/1.1 {}\r\nX-Request-Id: r1\r\nX-Response-Signature: sig\r\n{}\r\n{}",
                       status, framing, body);
}

std::string unframed(std::string_view framing = "")
{
    return answerOf("200 OK", framing, std::string(1000, 'a'));
}

/// Turns of the loop in which a connection is opened and LongBody is sent.
constexpr std::size_t SendingTurns = 200;

struct EarlyEndFixture
{
    /// Sends a request with a body of \a bytes. \returns the error with which it ends, if it does.
    std::optional<Error> call(AbortingUpstream &upstream, std::size_t bytes)
    {
        const bool awaitsPermission = bytes > 0 && upstream.plan().awaitsPermission;
        std::optional<Error> out;
        body.clear();
        const HttpCallPtr call =
                client.send({.address = upstream.address(),
                             .method = "POST",
                             .body = std::string(bytes, 'x'),
                             .timeout = 3s,
                             .acceptsUnframed = true},
                            {.onData = [this](std::string_view data) { body += data; },
                             .onEnd =
                                     [&](const Result<void> &it) {
                                         if (!it)
                                             out = it.error();
                                         loop.stop();
                                     }});
        // The kernel takes 16 KiB of a body in a turn, and the upstream ends the connection only
        // then.
        for (std::size_t i = 0; i < SendingTurns && awaitsPermission; ++i) {
            loop.runOnce();
            std::this_thread::sleep_for(100us);
        }
        if (awaitsPermission)
            upstream.permit();
        if (standsStill) {
            while (upstream.resets() == 0)
                std::this_thread::sleep_for(1ms);
        }
        loop.run();
        return out;
    }

    EventLoop loop;
    HttpClient client{loop};
    std::string body;
    bool standsStill = false; ///< Answer, end and reset are read in one turn.
};

} // namespace

// Guards against a part of an answer that passes for a whole one, because its upstream ended it
// without a length while it had not read the request, and reset the connection only then.
TEST_CASE_FIXTURE(EarlyEndFixture, "earlyEnd_unframedAnswerBeforeRequestIsSent_isBroken")
{
    const std::string whole = answerOf("200 OK", "Content-Length: 2\r\n", "ok");
    struct Form
    {
        const char *framing;
        std::string first;
    };
    const std::vector<Form> forms = {{"", whole}, {"Connection: close\r\n", ""}};
    for (const std::size_t bytes : {LongBody, LongestBody}) {
        for (const std::size_t read : {std::size_t(0), bytes / 4}) {
            for (const Form &form : forms) {
                for (const bool isSent : {true, false}) {
                    for (const End end : {End::Finish, End::FinishAndReset, End::Reset}) {
                        CAPTURE(bytes);
                        CAPTURE(read);
                        CAPTURE(std::string(form.framing));
                        CAPTURE(isSent);
                        CAPTURE(static_cast<int>(end));
                        AbortingUpstream upstream({.answer = unframed(form.framing),
                                                   .readBytes = read,
                                                   .end = end,
                                                   .untilReset = 30ms,
                                                   .awaitsPermission = isSent,
                                                   .first = form.first});
                        if (!form.first.empty())
                            CHECK_FALSE(call(upstream, 0));
                        const std::optional<Error> error = call(upstream, bytes);
                        CHECK(error);
                        if (error) {
                            CHECK((error->reason == Reason::UpstreamBroken));
                            CHECK((error->verdict == Verdict::MayHaveRun));
                        }
                        CHECK(upstream.connections() == 1);
                        CHECK(client.idleConnections() == 0);
                    }
                }
            }
        }
    }
}

// As above for a process that stands still until the upstream has reset the connection, also when
// the other system has received the request, which its upstream has not read.
TEST_CASE_FIXTURE(EarlyEndFixture, "earlyEnd_answerEndAndResetAreReadInOneTurn_isBroken")
{
    standsStill = true;
    for (const std::size_t bytes : {ShortBody, LongBody, LongestBody}) {
        for (const char *framing : {"", "Connection: close\r\n"}) {
            for (const End end : {End::FinishAndReset, End::Reset}) {
                CAPTURE(bytes);
                CAPTURE(std::string(framing));
                CAPTURE(static_cast<int>(end));
                AbortingUpstream upstream(
                        {.answer = unframed(framing), .end = end, .awaitsPermission = true});
                const std::optional<Error> error = call(upstream, bytes);
                CHECK(error);
                if (error) {
                    CHECK((error->reason == Reason::UpstreamBroken));
                    CHECK((error->verdict == Verdict::MayHaveRun));
                }
            }
        }
    }
}

// Guards against sound answers that count as broken: those that are whole by their framing, those
// that ended after their request was read, and failures, which may come before it.
TEST_CASE_FIXTURE(EarlyEndFixture, "earlyEnd_answerIsKnownToBeWhole_isDelivered")
{
    struct Form
    {
        const char *name;
        std::string answer;
        std::size_t bytes;
        std::size_t read;
    };
    const std::vector<Form> forms = {
            {"length, unread", answerOf("200 OK", "Content-Length: 5\r\n", "whole"), LongBody, 0},
            {"chunks, unread",
             answerOf("200 OK", "Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n"),
             LongBody, 0},
            {"unframed, read", answerOf("200 OK", "", "whole"), LongBody, LongBody},
            {"unframed and closed, read", answerOf("200 OK", "Connection: close\r\n", "whole"),
             LongBody, LongBody},
            {"unframed, short and read", answerOf("200 OK", "", "whole"), ShortBody, ShortBody},
            {"unframed failure, unread", answerOf("413 X", "Connection: close\r\n", "whole"),
             LongBody, 0},
    };
    for (const Form &it : forms) {
        CAPTURE(std::string(it.name));
        AbortingUpstream upstream(
                {.answer = it.answer, .readBytes = it.read, .awaitsPermission = true});
        const std::optional<Error> error = call(upstream, it.bytes);
        CHECK_FALSE(error);
        CHECK(body == "whole");
    }
}

// Guards against sound answers that count as broken because the acknowledgement of their request is
// on its way.
TEST_CASE_FIXTURE(EarlyEndFixture, "earlyEnd_manyRequestsAreReadAndAnswered_allAreDelivered")
{
    constexpr int Calls = 40;
    for (const std::size_t bytes : {std::size_t(0), ShortBody, 100 * ShortBody, LongBody}) {
        AbortingUpstream upstream({.answer = unframed(), .readBytes = bytes});
        int delivered = 0;
        for (int i = 0; i < Calls; ++i)
            delivered += call(upstream, bytes) ? 0 : 1;
        CAPTURE(bytes);
        CHECK(delivered == Calls);
    }
}

// Guards against a part of an answer that reaches a caller as a whole one.
TEST_CASE_FIXTURE(EntryGatewayFixture, "earlyEnd_unframedAnswerOfReplica_isNotWholeForItsCaller")
{
    AbortingUpstream upstream(
            {.answer = answerOf("200 OK", "Connection: close\r\n", "id: 1\ndata: e1\n\n"),
             .awaitsPermission = true});
    records.push_back({.id = "i-1", .service = "svc", .address = upstream.address(), .slots = 4});
    publishReplicas();
    const auto callerGets = [&](const std::string &path) {
        RawCaller caller(Port);
        const std::string bytes = request("POST", path, {}, std::string(LongBody, 'x'));
        closed = false;
        std::size_t sentBytes = 0;
        std::size_t turns = 0; ///< Since the replica was called.
        until([&] {
            sentBytes += caller.sendSome(bytes.substr(sentBytes));
            closed = caller.read();
            turns += upstream.connections() > 0 ? 1 : 0;
            if (turns == SendingTurns)
                upstream.permit();
            return closed || caller.received.find("may_have_run") != std::string::npos
                    || caller.received.find("0\r\n\r\n") != std::string::npos
                    || (path == "/once/" && caller.received.find("e1") != std::string::npos);
        });
        CHECK(sentBytes == bytes.size());
        return caller.received;
    };
    SUBCASE("call")
    {
        const std::string answer = callerGets("/once/");
        CHECK(answer.starts_with("HTTP/1.1 502"));
        CHECK(answer.find("may_have_run") != answer.npos);
    }
    SUBCASE("stream")
    {
        const std::string answer = callerGets("/whole/");
        CHECK(answer.find("e1") != answer.npos);
        CHECK(answer.find("0\r\n\r\n") == answer.npos);
    }
}
