#include "RawCaller.h"
#include "fleet/Fleet.h"

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <sstream>
#include <string>
#include <thread>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using standin::Fleet;

namespace {

struct SmallFleetFixture
{
    SmallFleetFixture()
    {
        standin::Deployment small = standin::deploymentNamed("sofiyska");
        small.engines = 1;
        small.replicas = 1;
        small.routers = 1;
        fleet = std::make_unique<Fleet>(
                Fleet::Options{.deployment = small, .binaries = CATKINLOFT_BINARIES});
        fleet->start();
    }

    HttpAnswer call(const char *method, const char *target, const std::string &key,
                    const std::string &body) const
    {
        const Result<HttpAnswer> answer =
                Fleet::fetch({.address = fleet->routerAddress(0),
                              .method = method,
                              .target = target,
                              .headers = {{"Authorization", "Bearer " + key}},
                              .body = body});
        REQUIRE(answer);
        return answer.value();
    }

    /// \returns what the router answered to \a request, after the end of its connection; empty if
    /// the connection stays open.
    std::string answerUntilClosed(const std::string &request) const
    {
        return answerUntilClosed(fleet->routerAddress(0), request);
    }

    static std::string answerUntilClosed(const std::string &address, const std::string &request)
    {
        RawCaller caller(
                static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
        caller.send(request);
        const auto until = std::chrono::steady_clock::now() + 3s;
        while (!caller.read()) {
            if (std::chrono::steady_clock::now() > until)
                return {};
            std::this_thread::sleep_for(10ms);
        }
        return caller.received;
    }

    std::unique_ptr<Fleet> fleet;
};

} // namespace

TEST_CASE_FIXTURE(SmallFleetFixture, "security_callerKey_neitherReadsNorChangesTheConfiguration")
{
    const std::string key = Fleet::workspaceKey(0);
    for (const char *method : {"GET", "PUT"}) {
        CAPTURE(method);
        const HttpAnswer answer = call(method, "/v1/config", key, fleet->inventory());
        CHECK(answer.head.status == 403);
        CHECK(answer.body.find("operator_only") != std::string::npos);
        CHECK(answer.body.find("key_sha256") == std::string::npos);
    }
}

TEST_CASE_FIXTURE(SmallFleetFixture, "security_operatorKey_sendsNoRequestInAWorkspacesName")
{
    const HttpAnswer chat =
            call("POST", "/v1/chat/completions", Fleet::operatorKey(),
                 R"({"model":"planning","messages":[{"role":"user","content":"a"}]})");
    CHECK(chat.head.status == 401);
    const HttpAnswer dispatch =
            call("POST", "/services/dispatch/orders", Fleet::operatorKey(), "{}");
    CHECK(dispatch.head.status == 401);
}

// Guards against smuggling: a head that routers and upstreams may frame differently was forwarded,
// so that part of its body could run as a request of another workspace.
TEST_CASE_FIXTURE(SmallFleetFixture, "security_framingIsAmbiguous_isRefusedAndConnectionIsClosed")
{
    const std::string inner = "POST /services/dispatch/orders HTTP/1.1\r\n\r\n";
    const std::string length = fmt::format("Content-Length: {}\r\n", inner.size());
    const std::string key = fmt::format("Authorization: Bearer {}\r\n", Fleet::workspaceKey(0));
    struct Case
    {
        std::string method;
        std::string fields;
        std::string body;
    };
    const std::array cases{
            Case{"POST", "Content-Length : 3\r\n" + length, inner},
            Case{"POST", "Transfer-Encoding : chunked\r\n" + length, inner},
            Case{"POST", length + "Content-Length: 0\r\n", inner},
            Case{"POST", "Transfer-Encoding: chunked\r\n" + length,
                 fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", inner.size(), inner)},
            Case{"POST",
                 fmt::format("Authorization: Bearer {}\r\n", Fleet::workspaceKey(1)) + length,
                 inner},
            Case{"DELETE", length, inner},
            Case{"GET", length, inner},
    };
    for (const Case &it : cases) {
        CAPTURE(it.method);
        CAPTURE(it.fields);
        const std::string answer = answerUntilClosed(
                fmt::format("{} /services/dispatch/orders HTTP/1.1\r\nHost: a\r\n{}{}\r\n{}",
                            it.method, key, it.fields, it.body));
        CHECK(answer.substr(0, 12) == "HTTP/1.1 400");
        CHECK(answer.find("HTTP/1.1", 12) == std::string::npos);
    }
}

// Guards against connections that the router ends and only counts: operators see failed callers and
// no line that explains them. Lines are limited to one a second, so that requests are repeated.
TEST_CASE_FIXTURE(SmallFleetFixture, "security_requestIsMalformed_endOfConnectionIsLogged")
{
    for (const std::string &address : {fleet->routerAddress(0), fleet->peerAddress(0)}) {
        CAPTURE(address);
        CHECK(Fleet::waitFor(
                [&] {
                    CHECK(answerUntilClosed(address, "malformed\r\n\r\n").substr(0, 12)
                          == "HTTP/1.1 400");
                    std::istringstream log(fleet->routerLog(0));
                    for (std::string line; std::getline(log, line);) {
                        if (line.find(R"("event":"connections_ended","reason":"rejected")")
                                    != std::string::npos
                            && line.find(R"("address":")" + address + '"') != std::string::npos)
                            return true;
                    }
                    return false;
                },
                5s));
    }
}
