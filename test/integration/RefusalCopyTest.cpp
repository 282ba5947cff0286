#include "AtMostOnceLoad.h"
#include "fleet/EntryFleet.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <map>
#include <string>
#include <thread>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using standin::EntryFleet;

namespace {

/// Routers, and replicas whose refusals are sent twice.
struct RefusalCopyFixture
{
    static constexpr std::size_t Routers = 2;
    static constexpr std::size_t Replicas = 6;
    static constexpr Duration Length = 5s;

    RefusalCopyFixture()
        : fleet({.binaries = CATKINLOFT_BINARIES, .routers = Routers, .replicas = Replicas / 2})
    {
        fleet.start();
    }

    /// Copies all refusals, \a afterMs after them or, if that is 0, in front of the next answer.
    void copyRefusals(int afterMs)
    {
        for (std::size_t i = 0; i < Replicas; ++i)
            fleet.setReplicaProxyFaults(
                    i, fmt::format(R"({{"copy_refusals":{{"share":1,"after_ms":{}}}}})", afterMs));
    }

    /// Registers a former replica at the address of each present one in turn.
    void registerFormerReplicas()
    {
        const auto end = std::chrono::steady_clock::now() + Length;
        for (int n = 0; std::chrono::steady_clock::now() < end; ++n) {
            const std::size_t i = static_cast<std::size_t>(n) % Replicas;
            fleet.registerFormerReplica(i, fmt::format("i-{}-former-{}", i, n));
            std::this_thread::sleep_for(40ms);
        }
    }

    template<typename Action>
    void requireAtMostOnce(Action action)
    {
        AtMostOnceLoad load(fleet);
        std::atomic<bool> isDone = false;
        std::thread sender([&] { load.run(isDone); });
        action();
        isDone = true;
        sender.join();
        std::this_thread::sleep_for(500ms);
        std::map<int, int> counts = requireAtMostOnceRun(fleet, load.statuses());
        CHECK(counts[200] > 0);
        int copies = 0;
        for (std::size_t i = 0; i < Replicas; ++i)
            copies += fleet.copiedRefusals(i);
        MESSAGE(fmt::format("{} copies of refusals", copies));
        CHECK(copies > 0);
    }

    EntryFleet fleet;
};

} // namespace

// Guards against the copy of a refusal that is taken for the answer to the next attempt of the same
// request, which meets the same connection because a former replica shares the present one's
// address.
TEST_CASE_FIXTURE(RefusalCopyFixture,
                  "refusalCopies_formerReplicaSharesAddress_nothingRunsTwiceOrAfterRefusal")
{
    copyRefusals(0);
    requireAtMostOnce([this] { registerFormerReplicas(); });
}

// As above, with copies that arrive before the next request is sent or while it is under way.
TEST_CASE_FIXTURE(RefusalCopyFixture,
                  "refusalCopies_arriveSoonAfterRefusal_nothingRunsTwiceOrAfterRefusal")
{
    copyRefusals(2);
    requireAtMostOnce([this] { registerFormerReplicas(); });
}

// Guards against copies of a full replica's refusals that are taken for the answer to another
// attempt.
TEST_CASE_FIXTURE(RefusalCopyFixture,
                  "refusalCopies_replicasRefuseForLackOfRoom_nothingRunsTwiceOrAfterRefusal")
{
    copyRefusals(0);
    for (std::size_t i = 0; i < Replicas; ++i)
        fleet.setReplicaFaults(i, R"({"refuse":0.3})");
    requireAtMostOnce([] { std::this_thread::sleep_for(Length); });
}

// Guards against copies that meet attempts relayed by another router, on its connections to the
// replicas or on the connection to it.
TEST_CASE_FIXTURE(RefusalCopyFixture,
                  "refusalCopies_attemptsAreRelayed_nothingRunsTwiceOrAfterRefusal")
{
    copyRefusals(0);
    fleet.partition({0}, "reset", 0, Replicas);
    requireAtMostOnce([this] { registerFormerReplicas(); });
    CHECK(fleet.routerLog(0).find("\"relay\":\"router") != std::string::npos);
}
