#include "RetryBudgetCheck.h"
#include "fleet/EntryFleet.h"
#include "fleet/Fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <functional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using standin::EntryFleet;
using standin::Fleet;

namespace {

/// Four routers with a retry budget of 0.2 a request and 60 in ten seconds, and twelve replicas.
struct RetryBudgetFixture
{
    static constexpr soak::RetryBudget Budget = {.share = 0.2, .slack = 60};

    RetryBudgetFixture() { fleet.start(); }

    void setFaults(const std::string &faults)
    {
        for (std::size_t i = 0; i < Replicas; ++i)
            REQUIRE(fleet.setReplicaFaults(first + i, faults));
    }

    /// Sends idempotent calls while \a disturb runs. \a callers wait \a pause after each answer.
    void callWhile(const std::function<void()> &disturb, std::size_t callers = 12,
                   std::chrono::milliseconds pause = 110ms)
    {
        std::atomic<bool> done = false;
        std::vector<std::thread> threads;
        threads.reserve(callers);
        sentAt.resize(callers);
        for (std::size_t i = 0; i < callers; ++i) {
            threads.emplace_back([&, i] {
                for (std::size_t k = 0; !done; ++k) {
                    const std::string id = fmt::format("r{}-{}", i, k);
                    sentAt[i].push_back(wallNow());
                    const auto answer = Fleet::fetch(
                            {.address = fleet.callerAddress((i + k) % fleet.routerCount()),
                             .target = target,
                             .headers = {{"Host", EntryFleet::Host},
                                         {"X-Request-Id", id},
                                         {"Authorization",
                                          std::string("Bearer ") + EntryFleet::Key}},
                             .timeout = 2s});
                    served += answer && answer.value().head.status == 200 ? 1 : 0;
                    std::this_thread::sleep_for(pause);
                }
            });
        }
        disturb();
        done = true;
        for (std::thread &it : threads)
            it.join();
    }

    static WallTime wallNow()
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now());
    }

    std::vector<WallTime> repeatedArrivals() const
    {
        return soak::repeatedArrivals(fleet.arrivals(), [](const std::string &) { return true; });
    }

    void requireWithinBudget() const
    {
        std::vector<WallTime> requests;
        for (const std::vector<WallTime> &it : sentAt)
            requests.insert(requests.end(), it.begin(), it.end());
        std::sort(requests.begin(), requests.end());
        const std::vector<WallTime> repeated = repeatedArrivals();
        const soak::RetryBudgetUse worst = soak::worstRetryBudgetUse(requests, repeated, Budget);
        MESSAGE(fmt::format(
                "{} arrivals beyond the first, {} requests, {} allowed; {} of {} served",
                worst.repeated, worst.requests, worst.allowed, served.load(), requests.size()));
        CHECK_FALSE(worst.isExceeded());
        CHECK(repeated.size() >= MinRepeated);
    }

    /// \returns the sum of a counter over all routers.
    double counted(const std::string &series) const
    {
        double out = 0;
        for (std::size_t i = 0; i < fleet.routerCount(); ++i) {
            const auto answer =
                    Fleet::fetch({.address = fleet.metricsAddress(i), .target = "/metrics"});
            REQUIRE(answer);
            const std::string &text = answer.value().body;
            const std::size_t at = text.find("\n" + series + " ");
            if (at != std::string::npos)
                out += std::stod(text.substr(at + series.size() + 2));
        }
        return out;
    }

    static constexpr std::size_t Replicas = 12;
    static constexpr std::size_t MinRepeated = 100; ///< Otherwise nothing was shown.

    std::string target = "/safe/a";
    std::size_t first = 0; ///< Replica of the service of \a target.
    EntryFleet fleet{{.binaries = CATKINLOFT_BINARIES, .routers = 4, .replicas = Replicas}};
    std::vector<std::vector<WallTime>> sentAt; ///< By caller.
    std::atomic<int> served = 0;
};

} // namespace

// Guards against a retry budget that routers start anew: those that were killed had used their
// part, and use it again in the same window.
TEST_CASE_FIXTURE(RetryBudgetFixture, "retryBudget_routersAreKilledWhileCallsFail_isKept")
{
    callWhile([&] {
        std::this_thread::sleep_for(3s);
        setFaults(R"({"lose":0.9})");
        for (std::size_t round = 0; round < 5; ++round) {
            std::this_thread::sleep_for(3s);
            for (std::size_t i = round % 2; i < fleet.routerCount(); i += 2) {
                fleet.router(i).signal(SIGKILL);
                fleet.router(i).wait();
                fleet.startRouter(i);
            }
        }
        std::this_thread::sleep_for(2s);
        setFaults("{}");
    });
    requireWithinBudget();
}

// Guards against attempts that take nothing from the retry budget, because no byte of the attempt
// before was sent, and arrive in addition to it.
TEST_CASE_FIXTURE(RetryBudgetFixture, "retryBudget_replicasStopAndRestart_arrivalsHavePermits")
{
    callWhile([&] {
        setFaults(R"({"lose":0.3,"refuse":0.2})");
        // Connections to it are refused.
        fleet.writeReplicaEntry(
                "absent",
                R"({"service":"calls","zone":"hall","version":"v1","state":"ready",)"
                R"("address":"127.0.0.1:9","slots":8,"cold-remaining-ms":0,)"
                R"("sequence":1})");
        for (std::size_t round = 0; round < 4; ++round) {
            const std::size_t killed = round % Replicas;
            const std::size_t stopped = (round + Replicas / 2) % Replicas;
            fleet.replica(killed).signal(SIGKILL);
            fleet.replica(killed).wait();
            fleet.replica(stopped).signal(SIGSTOP);
            for (std::size_t i = 0; i < fleet.routerCount(); ++i)
                fleet.router(i).signal(SIGSTOP);
            std::this_thread::sleep_for(300ms);
            for (std::size_t i = 0; i < fleet.routerCount(); ++i)
                fleet.router(i).signal(SIGCONT);
            std::this_thread::sleep_for(900ms);
            fleet.replica(stopped).signal(SIGCONT);
            fleet.resumeReplica(killed);
            std::this_thread::sleep_for(300ms);
        }
    });
    const double permitted = counted(R"(catkinloft_attempts_total{cause="retry"})");
    const double undelivered = counted(R"(catkinloft_attempts_total{cause="undelivered"})");
    const auto repeated = static_cast<double>(repeatedArrivals().size());
    MESSAGE(fmt::format(
            "{} arrivals beyond the first, {} retries, {} attempts after an undelivered one",
            repeated, permitted, undelivered));
    CHECK(repeated <= permitted);
    CHECK(repeated >= 20); // Otherwise nothing was shown.
    CHECK(undelivered >= 1);
}

// Guards against attempts that a path holds back for seconds, and that arrive together with the
// retries of a later window: a permit counts when it is given, the budget when the request arrives.
TEST_CASE_FIXTURE(RetryBudgetFixture, "retryBudget_pathsStallBeforeAnswersAreLost_isKept")
{
    SUBCASE("calls") { }
    SUBCASE("streams")
    {
        target = "/stream/a?events=6";
        first = Replicas;
    }
    constexpr std::size_t Callers = 120;
    constexpr auto Pause = 900ms;
    const std::set<std::size_t> routers = {0, 1, 2, 3};
    const auto disturb = [&] {
        std::this_thread::sleep_for(11s);
        for (std::size_t i = 1; i < Replicas; ++i) {
            fleet.stallPaths(routers, first + i);
            std::this_thread::sleep_for(400ms);
        }
        setFaults(R"({"lose":0.9})");
        for (std::size_t i = 1; i < Replicas; ++i)
            fleet.stallPaths({}, first + i);
        std::this_thread::sleep_for(11s);
        setFaults("{}");
    };
    callWhile(disturb, Callers, Pause);
    requireWithinBudget();
}
