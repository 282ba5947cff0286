#include "EntryGatewayFixture.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Net/Timer.h"
#include "ScriptedReplica.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using Reply = ScriptedReplica::Reply;

namespace {

constexpr std::string_view Interim = "HTTP/1.1 100 Continue\r\nX-A: b\r\n\r\n";

/// Texts behind the version in a status line that state no status from 100 to 599.
const std::vector<std::string> InvalidStatuses = {
        "000 X", "0 X",          "099 X",        "20 X",   "-1 X",   "1000 X", "2000 X",
        "999 X", "600 X",        "200x X",       "+200 X", "0200 X", "2 00 X", "99",
        "20",    "200\tX",       "200\rX",       "0x64 X", "1e2 X",  " 200 X", "",
        " X",    "2147483848 X", "4294967496 X", "0100 X", "100x X"};

std::string rest(std::string_view id, std::string_view body)
{
    return fmt::format("\r\nX-Request-Id: {}\r\nX-Response-Signature: sig\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       id, body.size(), body);
}

/// An upstream whose answers arrive in pieces, and a client of it.
struct AnswerStatusFixture
{
    struct Outcome
    {
        std::vector<int> statuses; ///< Of the heads that were reported.
        std::vector<HttpHead> heads;
        std::string body;
        std::optional<Error> error;
    };

    /// Sends a request with \a id, which the upstream answers with \a bytes in pieces of \a size.
    Outcome call(const std::string &id, std::string bytes, std::size_t size)
    {
        answer = std::move(bytes);
        pieceSize = size;
        Outcome out;
        const HttpCallPtr call =
                client.send({.address = upstream.address(),
                             .method = "POST",
                             .body = "x",
                             .timeout = 2s,
                             .acceptsUnframed = true,
                             .answerId = {"X-Request-Id", id}},
                            {.onHead =
                                     [&](const HttpHead &it) {
                                         out.statuses.push_back(it.status);
                                         out.heads.push_back(it);
                                     },
                             .onData = [&](std::string_view data) { out.body += data; },
                             .onEnd =
                                     [&](const Result<void> &it) {
                                         if (!it)
                                             out.error = it.error();
                                         loop.stop();
                                     }});
        loop.run();
        answer.clear(); // Pieces that have not been sent yet are not sent any more.
        return out;
    }

    void sendPieces()
    {
        if (answer.empty())
            return;
        upstream.sendUnsolicited(answer.substr(0, pieceSize));
        answer.erase(0, pieceSize);
        loop.after(1ms, [this] { sendPieces(); });
    }

    EventLoop loop;
    HttpClient client{loop};
    std::string answer;
    std::size_t pieceSize = 0;
    ScriptedReplica upstream{loop, [this](const std::string &, std::size_t) {
                                 loop.post([this] { sendPieces(); });
                                 return Reply{};
                             }};
};

} // namespace

// Guards against a failed upstream whose status line states no status and that passes for one with
// an answer: evhttp reads the status with atoi() and rejects only 0.
TEST_CASE_FIXTURE(AnswerStatusFixture, "answerStatus_isInvalid_callFailsAndConnectionIsNotReused")
{
    const std::string id = "r1";
    for (const std::string &status : InvalidStatuses) {
        for (const std::string_view before : {std::string_view(), Interim}) {
            for (const bool isUsed : {false, true}) {
                for (const std::size_t size : {std::size_t(1000), std::size_t(5)}) {
                    CAPTURE(status);
                    CAPTURE(before.size());
                    CAPTURE(isUsed);
                    CAPTURE(size);
                    if (isUsed)
                        CHECK_FALSE(call("r0", "HTTP/1.1 200 OK" + rest("r0", "ok"), 1000).error);
                    const int connections = upstream.connections();
                    const Outcome it =
                            call(id, std::string(before) + "HTTP/1.1 " + status + rest(id, "part"),
                                 size);
                    CHECK(upstream.connections() == connections + (isUsed ? 0 : 1));
                    REQUIRE(it.error);
                    CHECK((it.error->reason == Reason::UpstreamInvalid));
                    CHECK((it.error->verdict == Verdict::MayHaveRun));
                    CHECK(it.statuses.empty());
                    CHECK(it.body.empty());
                    CHECK(client.idleConnections() == 0);
                }
            }
        }
    }
}

// Guards against a check of the status line that rejects answers of upstreams that are sound.
TEST_CASE_FIXTURE(AnswerStatusFixture, "answerStatus_isValid_answerIsDelivered")
{
    for (const char *status :
         {"200 OK", "200", "200 ", "299 X", "404 Not Found", "599 X", "503 0 1"}) {
        for (const std::string &before :
             {std::string(), std::string(Interim), "HTTP/1.1 100\n\n" + std::string(Interim)}) {
            for (const std::size_t size : {std::size_t(1000), std::size_t(5), std::size_t(1)}) {
                CAPTURE(std::string(status));
                CAPTURE(before);
                CAPTURE(size);
                const Outcome it =
                        call("r1", before + "HTTP/1.1 " + status + rest("r1", "whole"), size);
                CHECK_FALSE(it.error);
                CHECK(it.statuses == std::vector<int>{std::atoi(status)});
                CHECK(it.body == "whole");
            }
        }
    }
}

// Guards against an answer whose status line isn't read because another line of its head, or its
// body, looks like one.
TEST_CASE_FIXTURE(AnswerStatusFixture, "answerStatus_laterLinesLookLikeOne_answerIsDelivered")
{
    const std::string line = "HTTP/1.1 099 X\r\n";
    for (const std::size_t size : {std::size_t(1000), std::size_t(5)}) {
        const Outcome it = call("r1",
                                "HTTP/1.1 100 Continue\r\nX-A: HTTP/1.1 099\r\n\r\n"
                                "HTTP/1.1 200 HTTP/1.1 099 X\r\nX-A: HTTP/1.1 099"
                                        + rest("r1", line),
                                size);
        CHECK_FALSE(it.error);
        CHECK(it.body == line);
    }
}

// Guards against fields of an interim answer that frame the final one, or are taken for its own.
TEST_CASE_FIXTURE(AnswerStatusFixture, "answerStatus_interimHeadHasFields_finalAnswerHasItsOwn")
{
    for (const char *field : {"Content-Length: 3", "Transfer-Encoding: chunked",
                              "Connection: close", "X-Request-Id: r2", "X-Not-Executed: 1"}) {
        for (const std::string_view id : {"", "r1"}) {
            CAPTURE(std::string(field));
            CAPTURE(std::string(id));
            const Outcome it = call(std::string(id),
                                    fmt::format("HTTP/1.1 100 Continue\r\n{}\r\n\r\n"
                                                "HTTP/1.1 200 OK{}",
                                                field, rest("r1", "whole")),
                                    1000);
            CHECK_FALSE(it.error);
            CHECK(it.body == "whole");
            REQUIRE(it.heads.size() == 1);
            CHECK(it.heads[0].headers.size() == 3);
            CHECK(it.heads[0].header("X-Request-Id") == "r1");
            CHECK(client.idleConnections() == 1);
        }
    }
}

// Guards against an interim answer that is taken for the final one, and against one without an end
// that is waited for until the deadline.
TEST_CASE_FIXTURE(AnswerStatusFixture, "answerStatus_isThatOfAnotherInterimAnswer_callFails")
{
    for (const char *status : {"101 Switching Protocols", "102 Processing", "103 Early Hints"}) {
        const Outcome it = call("r1",
                                fmt::format("HTTP/1.1 {}\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK{}",
                                            status, rest("r1", "whole")),
                                1000);
        REQUIRE(it.error);
        CHECK((it.error->reason == Reason::UpstreamInvalid));
        CHECK(it.statuses.empty());
        CHECK(client.idleConnections() == 0);
    }
}

namespace {

/// A replica whose answers state \a status, chunked and with the events of a stream.
ScriptedReplica::Script withStatus(std::string status)
{
    return [status = std::move(status)](const std::string &request, std::size_t) -> Reply {
        return {.bytes = "HTTP/1.1 " + status
                        + ScriptedReplica::streamHead(request).substr(
                                std::string_view("HTTP/1.1 200 OK").size())
                        + ScriptedReplica::events(1, 1) + ScriptedReplica::streamEnd()};
    };
}

} // namespace

// Guards against a status that no replica may give and that reaches callers as its answer.
TEST_CASE_FIXTURE(EntryGatewayFixture, "answerStatus_ofReplicaIsInvalid_callIsRepeatedOrBadGateway")
{
    for (const char *status : {"099 X", "20 X", "-1 X", "1000 X", "999 X", "600 X", "200x X"}) {
        for (const char *path : {"/once/", "/whole/", "/safe/", "/stream/"}) {
            CAPTURE(std::string(status));
            CAPTURE(std::string(path));
            replicas.clear();
            records.clear();
            events.clear();
            addReplica(withStatus(status));
            RawCaller caller(Port);
            const std::string failed = call(caller, request("POST", path, {}, "x"), "may_have_run");
            CHECK(failed.starts_with("HTTP/1.1 502"));
            CHECK(failed.find("X-Response-Signature") == failed.npos);
            const bool isRepeatable =
                    path == std::string_view("/safe/") || path == std::string_view("/stream/");
            CHECK((sent() > 1) == isRepeatable);
            REQUIRE_FALSE(events.empty());
            CHECK(std::any_of(events.begin(), events.end(), [](const RequestEvent &it) {
                return it.kind == RequestEvent::Kind::AttemptFailed
                        && it.reason == Reason::UpstreamInvalid
                        && it.verdict == Verdict::MayHaveRun;
            }));
        }
    }
}

TEST_CASE_FIXTURE(EntryGatewayFixture, "answerStatus_ofOneReplicaIsInvalid_repeatIsSentToAnother")
{
    addReplica(withStatus("099 X"));
    addReplica(ok);
    for (int i = 0; i < 8; ++i) {
        RawCaller caller(Port);
        CHECK(call(caller, withId(get("/safe/"), fmt::format("r{}", i)), "fine")
                      .starts_with("HTTP/1.1 200"));
    }
    CHECK(replicas[0]->requests().size() >= 1);
}

// Guards against a replica that goes on getting calls though each of its answers is invalid.
TEST_CASE_FIXTURE(EntryGatewayFixture, "answerStatus_ofReplicaStaysInvalid_replicaIsLeftOut")
{
    constexpr std::size_t Calls = 40;
    addReplica(withStatus("099 X"));
    addReplica(ok);
    addReplica(ok);
    for (std::size_t i = 0; i < Calls; ++i) {
        RawCaller caller(Port);
        call(caller, withId(request("POST", "/once/", {}, "x"), fmt::format("r{}", i)), "\r\n\r\n");
    }
    CHECK(replicas[0]->requests().size() >= 1);
    CHECK(replicas[0]->requests().size() < Calls / 4);
}
