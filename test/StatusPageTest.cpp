#include "Net/StatusPage.h"

#include <doctest/doctest.h>
#include <json/json.h>

#include <memory>

using namespace catkinloft;

namespace {

struct StatusReportFixture
{
    StatusReport report{
            .router = "router-1",
            .revision = 7,
            .storeAge = std::chrono::milliseconds(1500),
            .inProgress = 3,
            .routers = {{{.name = "router-1", .callerAddress = "127.0.0.1:80", .load = 2}, 7}},
            .upstreams = {{.name = "e<1>", .pool = "planning", .work = 90, .bound = 100},
                          {.name = "e2", .pool = "planning", .leaving = true}},
            .workspaces = {{.name = "a\"b", .inProgress = 2, .isProtected = true}},
            .refusals = {{.reason = "queue_full", .n = 4}}};
};

} // namespace

TEST_CASE_FIXTURE(StatusReportFixture, "statusPage_namesWithMarkup_areEscaped")
{
    const std::string page = printStatusPage(report);
    CHECK(page.find("e<1>") == std::string::npos);
    CHECK(page.find("e&lt;1&gt;") != std::string::npos);
    CHECK(page.find("a&quot;b") != std::string::npos);
    CHECK(page.find("<script") == std::string::npos);
}

TEST_CASE_FIXTURE(StatusReportFixture, "statusPage_everyTable_hasCaptionAndHeaderCells")
{
    const std::string page = printStatusPage(report);
    const auto count = [&](const std::string &text) {
        int n = 0;
        for (std::size_t at = page.find(text); at != page.npos; at = page.find(text, at + 1))
            ++n;
        return n;
    };
    CHECK(count("<table>") == 4);
    CHECK(count("<caption>") == 4);
    CHECK(count("scope=\"row\"") == 5);
    CHECK(page.find("queue_full</th><td class=\"n\">4</td>") != std::string::npos);
    CHECK(page.find("90%</meter>") != std::string::npos);
}

TEST_CASE_FIXTURE(StatusReportFixture, "statusJson_wholeReport_parses")
{
    const std::string text = printStatusJson(report);
    Json::Value root;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    REQUIRE(reader->parse(text.data(), text.data() + text.size(), &root, nullptr));
    CHECK(root["revision"].asInt() == 7);
    CHECK(root["store_age_ms"].asInt() == 1500);
    CHECK(root["routers"][0]["revision"].asInt() == 7);
    CHECK(root["upstreams"][0]["name"].asString() == "e<1>");
    CHECK(root["upstreams"][1]["state"].asString() == "leaving");
    CHECK(root["workspaces"][0]["protected"].asBool());
    CHECK(root["refusals"][0]["count"].asInt() == 4);
}
