#include "FaultTable.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using standin::Fleet;
using standin::LoadDriver;
using standin::LoadReport;
using standin::RequestShape;
using test::Fault;

namespace {

/// Number of fleets that run in parallel. More would slow each other down on a small machine.
constexpr std::size_t Workers = 3;

struct FaultCase
{
    const Fault *first;
    const Fault *second; ///< Null if the first fault is injected alone.

    std::string name() const
    {
        return std::string(first->name) + (second ? " + " + std::string(second->name) : "");
    }
};

std::unique_ptr<Fleet> startFleet()
{
    standin::Deployment small = standin::deploymentNamed("sofiyska");
    small.engines = 3;
    small.replicas = 2;
    small.routers = 3;
    auto fleet = std::make_unique<Fleet>(
            Fleet::Options{.deployment = small,
                           .binaries = CATKINLOFT_BINARIES,
                           .serviceTimeout = "1s",
                           .extraRules = "  progress_timeout: 500ms\n  address_lifetime: 1s\n",
                           .proxiedUpstreams = true});
    fleet->start();
    return fleet;
}

void waitUntilReady(Fleet &fleet)
{
    for (std::size_t i = 0; i < 3; ++i) {
        Fleet::waitFor([&] {
            const Result<HttpAnswer> answer = Fleet::fetch(
                    {.address = fleet.routerAddress(i), .target = "/readyz", .timeout = 1s});
            return answer && answer.value().head.status == 200;
        });
    }
}

LoadReport runCase(Fleet &fleet, const FaultCase &it, std::uint64_t seed)
{
    LoadDriver driver({.fleet = fleet,
                       .seed = seed,
                       .shapes = {RequestShape::StreamedChat, RequestShape::NonStreamedChat,
                                  RequestShape::IdempotentCall, RequestShape::NonIdempotentCall},
                       .callers = 16,
                       .requestsEach = 5,
                       .maxPause = 400ms,
                       .answerTimeout = 2s,
                       .requestTimeout = 15s});
    const auto schedule = [&](const Fault *fault, Duration from, Duration to) {
        if (!fault)
            return;
        driver.at(from, [&fleet, &driver, fault] { fault->begin(fleet, driver); });
        driver.at(to, [&fleet, fault] { fault->end(fleet); });
    };
    schedule(it.first, 200ms, 1100ms);
    schedule(it.second, 400ms, 1300ms);
    return driver.run();
}

/// Runs every fault alone and every pair with different locations, spread over the fleets.
struct EveryFaultFixture
{
    EveryFaultFixture()
    {
        const auto table = test::faultTable();
        for (std::size_t i = 0; i < table.size(); ++i) {
            cases.push_back({&table[i], nullptr});
            for (std::size_t j = i + 1; j < table.size(); ++j) {
                if (table[i].location != table[j].location)
                    cases.push_back({&table[i], &table[j]});
            }
        }
    }

    void runAll()
    {
        std::vector<std::unique_ptr<Fleet>> fleets;
        for (std::size_t i = 0; i < Workers; ++i)
            fleets.push_back(startFleet());
        reports.resize(cases.size());
        std::vector<std::thread> threads;
        threads.reserve(Workers);
        for (const auto &it : fleets)
            threads.emplace_back([this, &it] { work(*it); });
        for (std::thread &it : threads)
            it.join();
    }

    void work(Fleet &fleet)
    {
        for (std::size_t i = next++; i < cases.size(); i = next++) {
            reports[i] = runCase(fleet, cases[i], i + 1);
            waitUntilReady(fleet);
        }
    }

    std::vector<FaultCase> cases;
    std::vector<LoadReport> reports;
    std::atomic<std::size_t> next = 0;
};

} // namespace

TEST_CASE_FIXTURE(EveryFaultFixture, "fleet_everyFaultAndPair_breaksNoPromise")
{
    runAll();
    for (std::size_t i = 0; i < cases.size(); ++i) {
        const LoadReport &report = reports[i];
        const std::string name = cases[i].name();
        CAPTURE(name);
        MESSAGE(fmt::format("{}: {}", name, report.summary()));
        CHECK(report.requests >= 80);
        CHECK(report.unmatched == 0);
        CHECK(report.lost == 0);
        CHECK(report.doubled == 0);
        CHECK(report.crossed == 0);
        CHECK(report.truncated == 0);
        CHECK(report.untrueNotRun == 0);
        CHECK(report.unexplained == 0);
    }
}
