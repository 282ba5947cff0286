#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Net/Timer.h"
#include "ScriptedReplica.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// An upstream that records every request as it reads it by its own framing.
struct RequestBytesFixture
{
    HttpCall upstreamCall(const std::string &method, const HttpHeaders &headers,
                          const std::string &body) const
    {
        return {.address = upstream.address(),
                .method = method,
                .target = "/a",
                .headers = headers,
                .body = body,
                .timeout = 2s};
    }

    /// Sends \a call on a kept connection. \returns its error, if it fails.
    std::optional<Error> send(HttpCall call)
    {
        std::optional<Result<void>> result;
        const HttpCallPtr handle = client.send(std::move(call), {.onEnd = [&](Result<void> it) {
                                                   result = std::move(it);
                                                   loop.stop();
                                               }});
        Timer limit(loop, [this] { loop.stop(); });
        limit.start(4s);
        loop.run();
        REQUIRE(result.has_value());
        return *result ? std::nullopt : std::optional<Error>(result->error());
    }

    EventLoop loop;
    HttpClient client{loop};
    std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    ScriptedReplica upstream{loop, [this](const std::string &, std::size_t) {
                                 return ScriptedReplica::Reply{.bytes = answer};
                             }};
};

/// \returns the body of \a request by its Content-Length.
std::string bodyOf(const std::string &request)
{
    return request.substr(request.find("\r\n\r\n") + 4);
}

} // namespace

// Guards against requests whose body an upstream reads as another request, because their length is
// not stated or is not the one of the bytes that follow.
TEST_CASE_FIXTURE(RequestBytesFixture, "httpClient_eachMethodAndBody_framingIsThatOfTheBytes")
{
    const std::vector<std::string> bodies = {
            "", "a", "POST /b HTTP/1.1\r\nX-Request-Id: never-sent\r\nContent-Length: 0\r\n\r\n",
            std::string(72'000, 'x')};
    const std::vector<HttpHeaders> framings = {{},
                                               {{"Content-Length", "7"}},
                                               {{"content-length", "0"}},
                                               {{"Transfer-Encoding", "chunked"}}};
    std::size_t sent = 0;
    for (const char *method : {"GET", "POST", "PUT", "DELETE", "OPTIONS", "PATCH", "HEAD"}) {
        for (const std::string &body : bodies) {
            for (const HttpHeaders &framing : framings) {
                CAPTURE(method);
                CAPTURE(body.size());
                CAPTURE(framing.size());
                REQUIRE_FALSE(send(upstreamCall(method, framing, body)));
                REQUIRE(upstream.requests().size() == ++sent);
                const std::string &request = upstream.requests().back();
                CHECK(request.starts_with(std::string(method) + " /a HTTP/1.1\r\n"));
                CHECK(bodyOf(request) == body);
                CHECK(ScriptedReplica::headerOf(request, "Transfer-Encoding").empty());
            }
        }
    }
    CHECK(upstream.connections() == 1);
}

// Guards against a request that is sent with another method than the caller's.
TEST_CASE_FIXTURE(RequestBytesFixture, "httpClient_unknownMethod_isNotSent")
{
    const std::optional<Error> error = send(upstreamCall("BREW", {}, {}));
    REQUIRE(error);
    CHECK((error->verdict == Verdict::NotRun));
    CHECK(upstream.requests().empty());
}

// Guards against an interim answer that is passed on as the final one, while the final one is lost.
TEST_CASE_FIXTURE(RequestBytesFixture, "httpClient_interimAnswer_isNotTheFinalOne")
{
    const std::string final = answer;
    answer = "HTTP/1.1 100 Continue\r\n\r\n" + final;
    CHECK_FALSE(send(upstreamCall("GET", {}, {})));
    for (const char *status : {"102 Processing", "103 Early Hints"}) {
        answer = std::string("HTTP/1.1 ") + status + "\r\nLink: a\r\n\r\n" + final;
        const std::optional<Error> error = send(upstreamCall("GET", {}, {}));
        REQUIRE(error);
        CHECK((error->reason == Reason::UpstreamInvalid));
        CHECK((error->verdict == Verdict::MayHaveRun));
    }
}
