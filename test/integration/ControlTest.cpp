#include "fleet/Fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

#include <fmt/format.h>
#include <json/json.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using standin::Fleet;

namespace {

constexpr std::size_t Routers = 9;

struct NineRouterProcessesFixture
{
    NineRouterProcessesFixture()
    {
        standin::Deployment small = standin::deploymentNamed("sofiyska");
        small.engines = 1;
        small.replicas = 1;
        small.routers = Routers;
        fleet = std::make_unique<Fleet>(
                Fleet::Options{.deployment = small, .binaries = CATKINLOFT_BINARIES});
        fleet->start();
        REQUIRE(Fleet::waitFor([&] { return allRoutersSee(Routers, {}); }));
    }

    HttpHeaders operatorHeaders() const
    {
        return {{"Authorization", "Bearer " + Fleet::operatorKey()}};
    }

    Json::Value get(std::size_t router, const std::string &target) const
    {
        const Result<HttpAnswer> answer = Fleet::fetch({.address = fleet->routerAddress(router),
                                                        .target = target,
                                                        .headers = operatorHeaders(),
                                                        .timeout = 2s});
        Json::Value out;
        if (answer)
            std::istringstream(answer.value().body) >> out;
        return out;
    }

    /// \returns whether every router except \a without lists exactly \a n routers that are not
    /// leaving.
    bool allRoutersSee(std::size_t n, const std::vector<std::size_t> &without) const
    {
        for (std::size_t i = 0; i < Routers; ++i) {
            if (std::find(without.begin(), without.end(), i) != without.end())
                continue;
            std::size_t live = 0;
            const Json::Value status = get(i, "/v1/status");
            for (const Json::Value &it : status["routers"])
                live += it["leaving"].asBool() ? 0 : 1;
            if (live != n)
                return false;
        }
        return true;
    }

    bool allRoutersHoldRevision(std::uint64_t revision,
                                const std::vector<std::size_t> &without = {}) const
    {
        for (std::size_t i = 0; i < Routers; ++i) {
            if (std::find(without.begin(), without.end(), i) == without.end()
                && get(i, "/v1/status")["revision"].asUInt64() < revision)
                return false;
        }
        return true;
    }

    HttpCall change(std::size_t router, std::uint64_t base, int note,
                    const std::string &changeId = {}) const
    {
        HttpCall out{.address = fleet->routerAddress(router),
                     .method = "PUT",
                     .target = "/v1/config",
                     .headers = operatorHeaders(),
                     .body = fleet->inventory()
                             + fmt::format("rules: {{queue_length: {}}}\n", note)};
        out.headers.emplace_back("If-Match", fmt::format("\"{}\"", base));
        if (!changeId.empty())
            out.headers.emplace_back("Idempotency-Key", changeId);
        return out;
    }

    void setStores(const char *mode) const
    {
        for (const char *it : {"table", "objects"}) {
            const Result<HttpAnswer> answer =
                    Fleet::fetch({.address = fleet->platformAddress(it),
                                  .method = "POST",
                                  .target = "/v1/control",
                                  .body = fmt::format(R"({{"mode":"{}"}})", mode)});
            REQUIRE(answer);
            REQUIRE(answer.value().head.status / 100 == 2);
        }
    }

    /// Checks that the revisions in each router's log only increase; they may start again when the
    /// process does.
    void checkRevisionsIncrease() const
    {
        for (std::size_t i = 0; i < Routers; ++i) {
            std::istringstream lines(fleet->routerLog(i));
            std::uint64_t last = 0;
            for (std::string line; std::getline(lines, line);) {
                if (line.find("\"started\"") != std::string::npos)
                    last = 0;
                const std::size_t at = line.find("\"revision\":");
                if (line.find("\"config_applied\"") == std::string::npos || at == std::string::npos)
                    continue;
                const std::uint64_t revision = std::stoull(line.substr(at + 11));
                CHECK(revision > last);
                last = revision;
            }
        }
    }

    std::unique_ptr<Fleet> fleet;
};

} // namespace

TEST_CASE_FIXTURE(NineRouterProcessesFixture,
                  "control_storeDownRightAfterAcceptance_isActiveOnAllAndOnARestartedRouter")
{
    const Result<HttpAnswer> accepted = Fleet::fetch(change(2, 1, 10));
    setStores("down");
    REQUIRE(accepted);
    CHECK(accepted.value().head.status == 200);
    CHECK(accepted.value().body.find("\"state\":\"accepted\"") != std::string::npos);
    CHECK(Fleet::waitFor([&] { return allRoutersHoldRevision(2); }, 4s));
    fleet->router(7).signal(SIGKILL);
    fleet->router(7).wait();
    fleet->startRouter(7);
    CHECK(Fleet::waitFor([&] { return allRoutersHoldRevision(2); }));
    const Result<HttpAnswer> refused = Fleet::fetch(change(0, 2, 11));
    REQUIRE(refused);
    CHECK(refused.value().head.status == 503);
    CHECK(refused.value().body.find("store_down") != std::string::npos);
    setStores("up");
    CHECK(Fleet::waitFor([&] {
        const Result<HttpAnswer> again = Fleet::fetch(change(0, 2, 11));
        return again && again.value().head.status == 200;
    }));
    CHECK(Fleet::waitFor([&] { return allRoutersHoldRevision(3); }, 4s));
    checkRevisionsIncrease();
}

TEST_CASE_FIXTURE(NineRouterProcessesFixture,
                  "control_hundredConcurrentChanges_oneIsAcceptedEachTime")
{
    for (std::uint64_t base = 1; base <= 100; ++base) {
        std::array<int, 3> statuses{};
        std::array<std::string, 3> bodies;
        std::vector<std::thread> operators;
        for (std::size_t i = 0; i < statuses.size(); ++i) {
            operators.emplace_back([&, i] {
                const Result<HttpAnswer> answer = Fleet::fetch(
                        change((base + i) % Routers, base, static_cast<int>(10 * base + i) % 999));
                statuses[i] = answer ? answer.value().head.status : 0;
                bodies[i] = answer ? answer.value().body : answer.error().detail;
            });
        }
        for (std::thread &it : operators)
            it.join();
        CAPTURE(base);
        const std::string responses = fmt::format("{} {} {}", bodies[0], bodies[1], bodies[2]);
        CAPTURE(responses);
        CHECK(std::count(statuses.begin(), statuses.end(), 200) == 1);
        CHECK(std::count(statuses.begin(), statuses.end(), 409) == 2);
        for (std::size_t i = 0; i < statuses.size(); ++i) {
            if (statuses[i] == 409)
                CHECK(bodies[i].find(fmt::format("but {} of desk", base + 1)) != std::string::npos);
        }
    }
    CHECK(Fleet::waitFor([&] { return allRoutersHoldRevision(101); }, 4s));
    checkRevisionsIncrease();
}

TEST_CASE_FIXTURE(NineRouterProcessesFixture,
                  "control_killedPausedAndLeavingRouters_areKnownToAllAndComeBack")
{
    fleet->router(3).signal(SIGKILL);
    fleet->router(3).wait();
    CHECK(Fleet::waitFor([&] { return allRoutersSee(8, {3}); }));
    fleet->router(4).signal(SIGSTOP);
    CHECK(Fleet::waitFor([&] { return allRoutersSee(7, {3, 4}); }));
    REQUIRE(Fleet::fetch(change(0, 1, 10)));
    fleet->router(4).signal(SIGCONT);
    CHECK(Fleet::waitFor([&] { return allRoutersSee(8, {3}) && allRoutersHoldRevision(2, {3}); }));
    fleet->router(5).signal(SIGTERM);
    CHECK(Fleet::waitFor([&] { return allRoutersSee(7, {3, 5}); }, 4s));
    fleet->router(5).wait();
    fleet->startRouter(3);
    fleet->startRouter(5);
    CHECK(Fleet::waitFor([&] { return allRoutersSee(9, {}) && allRoutersHoldRevision(2); }));
    checkRevisionsIncrease();
}

TEST_CASE_FIXTURE(NineRouterProcessesFixture, "control_wrongVmList_changesNothing")
{
    fleet->publishVms({1, 2, 3, 4, 5, 6, 7, 8});
    std::this_thread::sleep_for(3s); // Routers read the list once a second.
    CHECK(allRoutersSee(9, {}));
    const Json::Value where = get(0, "/v1/where?workspace=a&chat=b");
    for (std::size_t i = 1; i < Routers; ++i)
        CHECK(get(i, "/v1/where?workspace=a&chat=b")["router"] == where["router"]);
}

TEST_CASE_FIXTURE(NineRouterProcessesFixture, "control_commitAnswerLost_retryReturnsTheOutcome")
{
    setStores("lose_answers");
    const Result<HttpAnswer> unsettled = Fleet::fetch(change(1, 1, 10, "change-1"));
    REQUIRE(unsettled);
    setStores("up");
    const Result<HttpAnswer> settled = Fleet::fetch(change(6, 1, 10, "change-1"));
    REQUIRE(settled);
    CHECK(settled.value().head.status == 200);
    CHECK(settled.value().body.find("\"revision\":2") != std::string::npos);
    CHECK(Fleet::waitFor([&] { return allRoutersHoldRevision(2); }, 4s));
    CHECK(get(3, "/v1/history")["changes"].size() == 2);
}

TEST_CASE_FIXTURE(NineRouterProcessesFixture, "control_commands_refuseAStaleBaseAndRollBack")
{
    setenv("CATKINLOFT_KEY", Fleet::operatorKey().c_str(), 1);
    const auto run = [&](std::vector<std::string> arguments) {
        std::vector<std::string> command{std::string(CATKINLOFT_BINARIES) + "/catkinloft",
                                         "--router=" + fleet->routerAddress(4)};
        command.insert(command.end(), arguments.begin(), arguments.end());
        return standin::ChildProcess(command, {}).wait();
    };
    const std::string file = fleet->folder() + "/changed.yaml";
    std::ofstream(file) << fleet->inventory() + "rules: {queue_length: 9}\n";
    const std::string first = get(4, "/v1/status")["revision"].asString();
    REQUIRE(first == "1");
    CHECK(run({"apply", file, "1"}) == 0);
    CHECK(run({"apply", file, "1"}) == 1);
    CHECK(run({"rollback", "1"}) == 0);
    CHECK(run({"rollback", "77"}) == 1);
    CHECK(Fleet::waitFor([&] { return allRoutersHoldRevision(3); }, 4s));
    CHECK(run({"history"}) == 0);
    CHECK(get(0, "/v1/history")["changes"].size() == 3);
}
