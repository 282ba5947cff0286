#include "SoakPlan.h"

#include <algorithm>
#include <array>
#include <span>

namespace catkinloft::soak {

namespace {

using namespace std::chrono_literals;

struct KindInfo
{
    FaultKind kind;
    std::string_view name;
    bool onRouter;
    Duration shortest;
    Duration longest;
};

constexpr std::array Kinds = {
        KindInfo{FaultKind::RouterKill, "router_kill", true, 100ms, 2s},
        KindInfo{FaultKind::RouterTerm, "router_term", true, 100ms, 1s},
        KindInfo{FaultKind::RouterPause, "router_pause", true, 300ms, 7s},
        KindInfo{FaultKind::StoreDown, "store_down", true, 300ms, 8s},
        KindInfo{FaultKind::StoreSlow, "store_slow", true, 1s, 4s},
        KindInfo{FaultKind::StoreLosesAnswers, "store_loses_answers", true, 300ms, 3s},
        KindInfo{FaultKind::StoreForgets, "store_forgets", true, 0ms, 0ms},
        KindInfo{FaultKind::StorePathCut, "store_path_cut", true, 1s, 8s},
        KindInfo{FaultKind::StorePathSilent, "store_path_silent", true, 0ms, 0ms},
        KindInfo{FaultKind::ReplicaKill, "replica_kill", false, 100ms, 3s},
        KindInfo{FaultKind::ReplicaPause, "replica_pause", false, 200ms, 3s},
        KindInfo{FaultKind::ReplicaFails, "replica_fails", false, 1s, 5s},
        KindInfo{FaultKind::ReplicaPathSilent, "replica_path_silent", false, 0ms, 0ms},
        KindInfo{FaultKind::ReplicaPathDelay, "replica_path_delay", false, 500ms, 3s},
        KindInfo{FaultKind::ReplicaDrain, "replica_drain", false, 3s, 4s},
        KindInfo{FaultKind::KeyTaken, "key_taken", true, 0ms, 0ms},
        KindInfo{FaultKind::ConfigChange, "config_change", true, 0ms, 0ms},
};

constexpr std::array ReplicaKinds = {
        KindInfo{FaultKind::ReplicaSaysLeaving, "replica_says_leaving", false, 3s, 5s},
        KindInfo{FaultKind::ReplicaAsksForPause, "replica_asks_for_pause", false, 2s, 4s},
        KindInfo{FaultKind::FatalRequest, "fatal_request", false, 4s, 8s},
};

constexpr std::array DomainKinds = {
        KindInfo{FaultKind::DomainEvacuated, "domain_evacuated", false, 4s, 7s},
        KindInfo{FaultKind::ReplicaTurnsCold, "replica_turns_cold", false, 3s, 6s},
};

constexpr std::array StoreKinds = {
        KindInfo{FaultKind::StoreRestored, "store_restored", true, 200ms, 3s},
};

constexpr std::array VersionKinds = {
        KindInfo{FaultKind::ReplicaChangesVersion, "replica_changes_version", false, 0ms, 0ms},
};

constexpr std::array PartitionKinds = {
        KindInfo{FaultKind::RouterPartitioned, "router_partitioned", true, 2s, 6s},
        KindInfo{FaultKind::RouterReset, "router_reset", true, 2s, 6s},
        KindInfo{FaultKind::RouterRefused, "router_refused", true, 2s, 6s},
};

constexpr std::array OverloadKinds = {
        KindInfo{FaultKind::Overload, "overload", false, 1s, 3s},
};

constexpr std::array PauseKinds = {
        KindInfo{FaultKind::ReplicasPause, "replicas_pause", false, 1s, 1300ms},
};

constexpr std::array CopyKinds = {
        KindInfo{FaultKind::ReplicaCopiesRefusals, "replica_copies_refusals", false, 3s, 6s},
        KindInfo{FaultKind::FormerReplicaRegistered, "former_replica_registered", false, 1s, 3s},
};

constexpr std::array PlannedKinds = {
        KindInfo{FaultKind::RouterHup, "router_hup", true, 0ms, 0ms},
        KindInfo{FaultKind::IdleTimeoutChange, "idle_timeout_change", true, 0ms, 0ms},
        KindInfo{FaultKind::ConfigChange, "config_change", true, 0ms, 0ms},
};

constexpr std::array CrowdKinds = {
        KindInfo{FaultKind::HalfBodyCrowd, "half_body_crowd", true, 800ms, 1200ms},
};

constexpr std::array StormKinds = {
        KindInfo{FaultKind::ServiceFails, "service_fails", false, 4s, 12s},
        KindInfo{FaultKind::PathsStall, "paths_stall", false, 300ms, 4s},
};

/// Faults of all replicas of a service.
constexpr std::array<std::string_view, 8> ServiceFaults = {
        R"({"lose":0.9})",
        R"({"fail":0.9})",
        R"({"lose":0.9,"cut":0.9})",
        R"({"lose":0.5,"fail":0.4})",
        R"({"lose":0.3,"refuse":0.3,"fail":0.3,"cut":0.9})",
        R"({"hang":0.4,"lose":0.5})",
        R"({"cut":0.9,"lose":0.5})",
        R"({"refuse":0.9})",
};

/// Range of the load of an overload without the callers' retries, which triple it at most.
constexpr double MinLoad = 2;
constexpr double MaxLoad = 3;

Duration between(const RandomSource &random, Duration a, Duration b)
{
    return a + scaled(b - a, uniform(random));
}

std::vector<Fault> drawOneOfEach(std::span<const KindInfo> kinds, const RandomSource &random,
                                 Duration length, std::size_t replicas)
{
    std::vector<Fault> out;
    out.reserve(kinds.size());
    for (const KindInfo &it : kinds)
        out.push_back({.kind = it.kind,
                       .at = between(random, 500ms, length),
                       .length = between(random, it.shortest, it.longest),
                       .target = below(random, replicas)});
    return out;
}

std::string_view nameIn(std::span<const KindInfo> kinds, FaultKind kind)
{
    const auto it = std::find_if(kinds.begin(), kinds.end(),
                                 [kind](const KindInfo &info) { return info.kind == kind; });
    return it == kinds.end() ? std::string_view() : it->name;
}

} // namespace

std::string_view faultName(FaultKind kind)
{
    for (const std::span<const KindInfo> kinds :
         {std::span<const KindInfo>(Kinds), std::span<const KindInfo>(ReplicaKinds),
          std::span<const KindInfo>(DomainKinds), std::span<const KindInfo>(StoreKinds),
          std::span<const KindInfo>(PartitionKinds), std::span<const KindInfo>(VersionKinds),
          std::span<const KindInfo>(OverloadKinds), std::span<const KindInfo>(PauseKinds),
          std::span<const KindInfo>(CopyKinds), std::span<const KindInfo>(PlannedKinds),
          std::span<const KindInfo>(CrowdKinds), std::span<const KindInfo>(StormKinds)}) {
        if (const std::string_view name = nameIn(kinds, kind); !name.empty())
            return name;
    }
    return "unknown";
}

std::vector<Fault> drawReplicaFaults(const RandomSource &random, Duration length,
                                     std::size_t replicas)
{
    return drawOneOfEach(ReplicaKinds, random, length, replicas);
}

std::vector<Fault> drawDomainFaults(const RandomSource &random, Duration length,
                                    std::size_t replicas)
{
    return drawOneOfEach(DomainKinds, random, length, replicas);
}

std::vector<Fault> drawVersionChanges(const RandomSource &random, Duration length,
                                      std::size_t replicas)
{
    constexpr std::size_t Changes = 3;
    std::vector<Fault> out;
    for (std::size_t i = 0; i < Changes; ++i) {
        for (const Fault &it : drawOneOfEach(VersionKinds, random, length, replicas))
            out.push_back(it);
    }
    return out;
}

std::vector<Fault> drawPartitions(const RandomSource &random, Duration length, std::size_t routers)
{
    const KindInfo &info = PartitionKinds[below(random, PartitionKinds.size())];
    const Duration at = between(random, 1s, length);
    const Duration partition = between(random, info.shortest, info.longest);
    const std::size_t first = below(random, routers);
    const std::size_t n = 1 + below(random, routers - 1);
    std::vector<Fault> out;
    for (std::size_t i = 0; i < n; ++i)
        out.push_back({.kind = info.kind,
                       .at = at,
                       .length = partition,
                       .target = (first + i) % routers});
    return out;
}

std::vector<Fault> drawStoreRestores(const RandomSource &random, Duration length)
{
    const KindInfo &info = StoreKinds.front();
    const bool twice = below(random, 2) == 0;
    Duration at = between(random, 2s, length);
    std::vector<Fault> out;
    for (int i = 0; i < (twice ? 2 : 1); ++i) {
        out.push_back({.kind = info.kind,
                       .at = at,
                       .length = between(random, info.shortest, info.longest)});
        at += out.back().length + between(random, 500ms, 4s);
    }
    return out;
}

std::vector<Fault> drawOverloads(const RandomSource &random, Duration length, Duration aloneAt,
                                 std::size_t workspaces)
{
    const KindInfo &info = OverloadKinds.front();
    std::vector<Fault> out;
    for (const Duration at : {between(random, 1s, length), aloneAt})
        out.push_back({.kind = info.kind,
                       .at = at,
                       .length = between(random, info.shortest, info.longest),
                       .target = below(random, workspaces),
                       .load = MinLoad + (MaxLoad - MinLoad) * uniform(random)});
    return out;
}

std::vector<Fault> drawReplicasPauses(const RandomSource &random, Duration length,
                                      std::size_t routers, std::size_t replicas)
{
    const KindInfo &info = PauseKinds.front();
    std::vector<Fault> out;
    for (Duration at = between(random, 1s, 2s); at < length; at += between(random, 3500ms, 5s)) {
        out.push_back({.kind = FaultKind::ConfigChange, .at = at});
        const Fault pause{.kind = info.kind,
                          .at = at + between(random, 400ms, 700ms),
                          .length = between(random, info.shortest, info.longest),
                          .target = below(random, replicas),
                          .count = replicas - below(random, replicas / 2)};
        out.push_back(pause);
        if (below(random, 3) == 0)
            out.push_back({.kind = FaultKind::RouterPause,
                           .at = pause.at + between(random, -300ms, 300ms),
                           .length = between(random, 300ms, info.longest),
                           .target = below(random, routers)});
    }
    return out;
}

std::vector<Fault> drawRefusalCopies(const RandomSource &random, Duration length,
                                     std::size_t replicas)
{
    constexpr std::size_t Periods = 4;
    const auto &[copies, registration] = CopyKinds;
    std::vector<Fault> out;
    for (std::size_t i = 0; i < Periods; ++i) {
        const Fault period{.kind = copies.kind,
                           .at = between(random, 500ms, length),
                           .length = between(random, copies.shortest, copies.longest),
                           .target = below(random, replicas)};
        out.push_back(period);
        if (below(random, 4) == 0)
            continue;
        out.push_back({.kind = registration.kind,
                       .at = period.at + between(random, 0ms, 1s),
                       .length = between(random, registration.shortest, registration.longest),
                       .target = period.target});
    }
    return out;
}

std::vector<Fault> drawPlannedWork(const RandomSource &random, Duration length, std::size_t routers)
{
    constexpr std::size_t CrowdsInRow = 3;
    std::vector<Fault> out;
    std::size_t router = below(random, routers);
    for (Duration at = between(random, 1s, 2s); at < length; at += between(random, 800ms, 2s))
        out.push_back({.kind = FaultKind::RouterTerm,
                       .at = at,
                       .length = between(random, 100ms, 1s),
                       .target = router++ % routers});
    for (Duration at = between(random, 500ms, 1s); at < length; at += between(random, 300ms, 1s))
        out.push_back({.kind = PlannedKinds[below(random, PlannedKinds.size())].kind,
                       .at = at,
                       .target = below(random, routers)});
    const KindInfo &crowd = CrowdKinds.front();
    Duration at = between(random, 1s, length);
    router = below(random, routers);
    for (std::size_t i = 0; i < CrowdsInRow; ++i) {
        out.push_back({.kind = crowd.kind,
                       .at = at,
                       .length = between(random, crowd.shortest, crowd.longest),
                       .target = router});
        at += out.back().length + between(random, 50ms, 200ms);
    }
    return out;
}

RetryStormSetup drawRetryStormSetup(const RandomSource &random)
{
    constexpr std::array<Duration, 5> Intervals = {8ms, 15ms, 20ms, 40ms, 90ms};
    constexpr std::array<double, 3> Shares = {0.05, 0.2, 0.3};
    constexpr std::array<int, 4> Slacks = {10, 52, 60, 200};
    return {.routers = 3 + below(random, 7),
            .replicas = 3 + below(random, 2),
            .interval = Intervals[below(random, Intervals.size())],
            .share = Shares[below(random, Shares.size())],
            .slack = Slacks[below(random, Slacks.size())]};
}

namespace {

/// \returns kills of every router, of every second one or of one, in series.
std::vector<Fault> drawRouterKills(const RandomSource &random, Duration length, std::size_t routers)
{
    const std::size_t step = std::array<std::size_t, 3>{1, 2, routers}[below(random, 3)];
    std::vector<Fault> out;
    std::size_t first = below(random, routers);
    for (Duration at = between(random, 1s, 4s); at < length; at += between(random, 1500ms, 4s)) {
        for (std::size_t i = 0; i < routers; i += step)
            out.push_back({.kind = FaultKind::RouterKill,
                           .at = at,
                           .length = between(random, 100ms, 600ms),
                           .target = (first + i) % routers});
        ++first;
    }
    return out;
}

/// \returns pauses of single routers in series that overlap.
std::vector<Fault> drawRouterPauses(const RandomSource &random, Duration length,
                                    std::size_t routers)
{
    std::vector<Fault> out;
    for (Duration at = between(random, 1s, 3s); at < length; at += between(random, 500ms, 2s))
        out.push_back({.kind = FaultKind::RouterPause,
                       .at = at,
                       .length = between(random, 300ms, 3s),
                       .target = below(random, routers)});
    return out;
}

/// \returns pauses of replicas of one service, or stalls of the paths to them, in series.
std::vector<Fault> drawStalls(const RandomSource &random, Duration length,
                              const RetryStormSetup &setup, FaultKind kind)
{
    const std::size_t service = below(random, 2) * setup.replicas;
    const std::size_t count = below(random, 2) == 0 ? setup.replicas : 1 + setup.replicas / 2;
    const std::array<std::size_t, 3> routers = {1, (setup.routers + 1) / 2, setup.routers};
    const Duration longest = StormKinds.back().longest;
    std::vector<Fault> out;
    for (Duration at = between(random, 1s, 4s); at < length; at += between(random, 1s, 5s))
        out.push_back({.kind = kind,
                       .at = at,
                       .length = between(random, StormKinds.back().shortest, longest),
                       .target = service,
                       .count = count,
                       .firstRouter = below(random, setup.routers),
                       .routers = routers[below(random, routers.size())]});
    return out;
}

} // namespace

std::vector<Fault> drawRetryStorms(const RandomSource &random, Duration length,
                                   const RetryStormSetup &setup)
{
    const KindInfo &fails = StormKinds.front();
    std::vector<Fault> out;
    const auto add = [&out](std::vector<Fault> faults) {
        out.insert(out.end(), faults.begin(), faults.end());
    };
    for (const std::size_t service : {std::size_t{0}, setup.replicas}) {
        const Duration at = between(random, 1s, 4s);
        const Duration first = between(random, fails.shortest, fails.longest);
        for (const Duration from : {at, at + first + between(random, 1s, 4s)})
            out.push_back(
                    {.kind = fails.kind,
                     .at = from,
                     .length = from == at ? first : between(random, fails.shortest, fails.longest),
                     .target = service,
                     .count = setup.replicas,
                     .faults = ServiceFaults[below(random, ServiceFaults.size())]});
    }
    if (below(random, 3) > 0)
        add(drawRouterKills(random, length, setup.routers));
    if (below(random, 3) == 0)
        add(drawRouterPauses(random, length, setup.routers));
    if (below(random, 2) == 0)
        add(drawStalls(random, length, setup, FaultKind::PathsStall));
    if (below(random, 3) == 0)
        add(drawStalls(random, length, setup, FaultKind::ReplicasPause));
    if (below(random, 3) == 0)
        out.push_back({.kind = FaultKind::StoreDown,
                       .at = between(random, 1s, length),
                       .length = between(random, 1s, 8s)});
    return out;
}

bool mayAccompanyRetryStorms(FaultKind kind)
{
    switch (kind) {
    case FaultKind::ReplicaFails:
    case FaultKind::ReplicaDrain:
    case FaultKind::KeyTaken:
        return false;
    default:
        return true;
    }
}

bool isAlone(const Fault &overload, const std::vector<Fault> &plan, Duration before, Duration after)
{
    const Duration from = overload.at - before;
    const Duration until = overload.at + overload.length + after;
    return std::none_of(plan.begin(), plan.end(), [&](const Fault &it) {
        const bool isItself = it.kind == overload.kind && it.at == overload.at;
        return !isItself && it.at < until && it.at + it.length > from;
    });
}

std::vector<Fault> drawFaults(const RandomSource &random, Duration length, std::size_t routers,
                              std::size_t replicas)
{
    std::vector<Fault> out;
    const std::size_t groups = 3 + below(random, 5);
    for (std::size_t i = 0; i < groups; ++i) {
        const KindInfo &info = Kinds[below(random, Kinds.size())];
        const bool series = below(random, 3) == 0;
        Duration at = between(random, 500ms, length);
        for (std::size_t k = 0; k < (series ? 3U : 1U); ++k) {
            out.push_back({.kind = info.kind,
                           .at = at,
                           .length = between(random, info.shortest, info.longest),
                           .target = below(random, info.onRouter ? routers : replicas)});
            at += between(random, 200ms, 1500ms);
        }
    }
    std::sort(out.begin(), out.end(), [](const Fault &a, const Fault &b) { return a.at < b.at; });
    return out;
}

} // namespace catkinloft::soak
