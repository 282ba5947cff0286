#include "fleet/Fleet.h"

#include <doctest/doctest.h>

using namespace catkinloft;
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
