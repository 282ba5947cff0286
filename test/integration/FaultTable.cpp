#include "FaultTable.h"

#include <csignal>
#include <thread>
#include <vector>

namespace catkinloft::test {

using standin::Fleet;
using standin::LoadDriver;

namespace {

constexpr int SurgeCallers = 40;

void signalUpstreams(Fleet &fleet, std::size_t i, int number)
{
    fleet.engine(i).signal(number);
    fleet.replica(i).signal(number);
}

void setUpstreamFaults(Fleet &fleet, std::size_t i, const char *faults)
{
    fleet.setProxyFaults(fleet.engineAddress(i), faults);
    fleet.setProxyFaults(fleet.replicaAddress(i), faults);
}

/// Applies two changes of the same revision concurrently, through two routers.
void raceChanges(Fleet &fleet)
{
    const std::string text = fleet.inventory();
    std::thread other([&] { fleet.apply(text, 1); });
    fleet.apply(text, 0);
    other.join();
}

Fault storeFault(std::string_view name, std::string mode, std::string more = {})
{
    return {.name = name,
            .location = "store",
            .begin = [=](Fleet &it, LoadDriver &) { it.setPlatformMode("table", mode, more); },
            .end = [](Fleet &it) { it.setPlatformMode("table", "up"); }};
}

std::vector<Fault> makeFaultTable()
{
    const auto nothing = [](Fleet &) {};
    return {
            {.name = "router killed",
             .location = "router 1",
             .begin = [](Fleet &it, LoadDriver &) { it.router(1).signal(SIGKILL); },
             .end = [](Fleet &it) { it.startRouter(1); }},
            {.name = "router paused",
             .location = "router 2",
             .begin = [](Fleet &it, LoadDriver &) { it.router(2).signal(SIGSTOP); },
             .end = [](Fleet &it) { it.router(2).signal(SIGCONT); }},
            {.name = "upstream killed",
             .location = "upstream 0",
             .begin = [](Fleet &it, LoadDriver &) { signalUpstreams(it, 0, SIGKILL); },
             .end =
                     [](Fleet &it) {
                         it.startEngine(0);
                         it.startReplica(0);
                     }},
            {.name = "upstream paused",
             .location = "upstream 1",
             .begin = [](Fleet &it, LoadDriver &) { signalUpstreams(it, 1, SIGSTOP); },
             .end = [](Fleet &it) { signalUpstreams(it, 1, SIGCONT); }},
            {.name = "connections silent",
             .location = "path",
             .begin = [](Fleet &it,
                         LoadDriver &) { setUpstreamFaults(it, 1, R"({"silent":true})"); },
             .end = nothing},
            {.name = "answers lost",
             .location = "path 0",
             .begin = [](Fleet &it,
                         LoadDriver &) { setUpstreamFaults(it, 0, R"({"lose_answers":2})"); },
             .end = [](Fleet &it) { setUpstreamFaults(it, 0, R"({"clear":true})"); }},
            storeFault("store down", "down"),
            storeFault("store slow", "slow", R"(,"delay_ms":600)"),
            storeFault("store answers lost", "lose_answers"),
            {.name = "VM list wrong",
             .location = "vms",
             .begin = [](Fleet &it, LoadDriver &) { it.publishVms({0}); },
             .end = [](Fleet &it) { it.publishVms(); }},
            {.name = "workspace surge",
             .location = "load",
             .begin = [](Fleet &,
                         LoadDriver &driver) { driver.surge(Duration::zero(), SurgeCallers); },
             .end = nothing},
            {.name = "changes race",
             .location = "config",
             .begin = [](Fleet &it, LoadDriver &) { raceChanges(it); },
             .end = nothing},
    };
}

} // namespace

std::span<const Fault> faultTable()
{
    static const std::vector<Fault> table = makeFaultTable();
    return table;
}

} // namespace catkinloft::test
