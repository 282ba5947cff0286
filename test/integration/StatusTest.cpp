#include "fleet/Fleet.h"

#include <doctest/doctest.h>

#include <json/json.h>

using namespace catkinloft;
using standin::Fleet;

namespace {

struct StatusFleetFixture
{
    StatusFleetFixture()
    {
        standin::Deployment small = standin::deploymentNamed("fraserlight");
        small.engines = 2;
        small.replicas = 1;
        small.routers = 1;
        fleet = std::make_unique<Fleet>(
                Fleet::Options{.deployment = small, .binaries = CATKINLOFT_BINARIES});
        fleet->start();
    }

    HttpAnswer get(const std::string &target, const std::string &authorization) const
    {
        const Result<HttpAnswer> answer =
                Fleet::fetch({.address = fleet->routerAddress(0),
                              .target = target,
                              .headers = {{"Authorization", authorization}}});
        REQUIRE(answer);
        return answer.value();
    }

    std::unique_ptr<Fleet> fleet;
};

} // namespace

TEST_CASE_FIXTURE(StatusFleetFixture, "status_afterRequests_showsUpstreamsAndRefusals")
{
    const Result<HttpAnswer> chat = Fleet::fetch(
            {.address = fleet->routerAddress(0),
             .method = "POST",
             .target = "/v1/chat/completions",
             .headers = {{"Authorization", "Bearer " + Fleet::workspaceKey(0)}},
             .body = R"({"model":"archivist","messages":[{"role":"user","content":"a list"}]})"});
    REQUIRE(chat);
    CHECK(chat.value().head.status == 200);
    get("/services/none/x", "Bearer " + Fleet::workspaceKey(0));
    const HttpAnswer json = get("/v1/status", "Bearer " + Fleet::operatorKey());
    CHECK(json.head.status == 200);
    for (const char *it : {"\"name\":\"engine-0\"", "\"name\":\"engine-1\"",
                           "\"reason\":\"unknown_service\",\"count\":1", "\"revision\":1"})
        CHECK(json.body.find(it) != std::string::npos);
}

TEST_CASE_FIXTURE(StatusFleetFixture, "status_page_requiresTheOperatorKeyAsPassword")
{
    CHECK(get("/status", "").head.status == 401);
    CHECK(get("/status", "Basic !").head.status == 401);
    CHECK(get("/status", "Bearer " + Fleet::workspaceKey(0)).head.status == 401);
    // Base64 of "operator:key-of-the-operator".
    const HttpAnswer page = get("/status", "Basic b3BlcmF0b3I6a2V5LW9mLXRoZS1vcGVyYXRvcg==");
    CHECK(page.head.status == 200);
    CHECK(page.body.find("<caption>Routers</caption>") != std::string::npos);
}
