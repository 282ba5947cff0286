#include "Net/CrashEvidence.h"

#include "Base/Log.h"
#include "Net/ServicePools.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

using PathState = RelayClient::PathState;

std::string_view textOf(std::optional<PathState> state)
{
    if (!state)
        return "pending";
    switch (*state) {
    case PathState::Reached:
        return "reached";
    case PathState::Refused:
        return "refused";
    case PathState::CrashedBefore:
        return "crashed_before";
    case PathState::Unknown:
        return "unknown";
    }
    return {};
}

/// A crash that another router calls an earlier one is older than this.
constexpr Duration RecentTime = 1s;

} // namespace

/// What the connections to other replicas show about the paths of this router.
struct CrashEvidence::PathFinding
{
    bool areWorking = true;
    bool areMostlyLost = false; ///< Known before, so that no controls were tried.
    std::size_t controls = 0;
    std::size_t openControls = 0;

    std::string_view text() const { return areWorking ? "working" : "lost"; }
};

/// The controls of one check.
struct CrashEvidence::PathCheck
{
    std::function<void(const PathFinding &)> done; ///< Null after it was called.
    PathFinding finding = {};
    std::size_t failed = 0;

    void add(bool stayedOpen)
    {
        ++(stayedOpen ? finding.openControls : failed);
        finding.areWorking = 2 * finding.openControls >= finding.controls;
        if ((finding.areWorking || 2 * failed > finding.controls) && done)
            std::exchange(done, nullptr)(finding);
    }
};

/// The findings about one replica that looks crashed.
struct CrashEvidence::Confirmation
{
    std::string id;
    std::string service;
    std::function<void(CrashWatch::Finding)> done; ///< Null after it was called.
    std::function<void()> unreached; ///< Null if it was called or must not be called.
    std::optional<PathFinding> paths;
    bool hasAskedRouters = false;
    std::optional<PathState> routers;
    bool hasRunLately = false; ///< The replica accepted a connection within RecentTime.

    /// \returns whether a router knows of an earlier crash after which the replica has not run.
    bool hasCrashedBefore() const { return routers == PathState::CrashedBefore && !hasRunLately; }
};

std::vector<std::string> CrashEvidence::controls(const std::string &id, const std::string &service)
{
    std::vector<std::string> out;
    m_options.pools.forEach([&](const ServicePool &pool) {
        if (service.empty() || pool.paths.service() == service) {
            const std::vector<std::string> own = pool.paths.controls(id);
            out.insert(out.end(), own.begin(), own.end());
        }
    });
    if (out.empty() && !service.empty())
        return controls(id, {});
    for (std::size_t i = 0; i < out.size() && i < MaxControls; ++i)
        std::swap(out[i], out[i + below(m_options.random, out.size() - i)]);
    out.resize(std::min(out.size(), MaxControls));
    return out;
}

void CrashEvidence::checkPaths(const std::string &id, std::function<void(bool working)> done)
{
    tryControls(id, [done = std::move(done)](const PathFinding &it) { done(it.areWorking); });
}

void CrashEvidence::tryControls(const std::string &id,
                                std::function<void(const PathFinding &)> done)
{
    const ReplicaRecord *replica = m_options.pools.findReplica(id);
    const std::string service = replica ? replica->service : std::string();
    if (replica && m_options.pools.of(service).paths.isMostlyLostBeside(id))
        return done({.areWorking = false, .areMostlyLost = true});
    std::vector<ReplicaRecord> records;
    for (const std::string &it : controls(id, service)) {
        if (const ReplicaRecord *record = m_options.pools.findReplica(it))
            records.push_back(*record);
    }
    if (records.empty())
        return done({});
    const auto check = std::make_shared<PathCheck>();
    check->done = std::move(done);
    check->finding.controls = records.size();
    for (const ReplicaRecord &it : records)
        m_options.connect(it, [check](bool stayedOpen) { check->add(stayedOpen); });
}

void CrashEvidence::confirm(const std::string &id, std::function<void(CrashWatch::Finding)> done,
                            std::function<void()> unreached)
{
    const auto it = std::make_shared<Confirmation>();
    const ReplicaRecord *replica = m_options.pools.findReplica(id);
    it->id = id;
    it->service = replica ? replica->service : std::string();
    it->done = std::move(done);
    it->unreached = std::move(unreached);
    if (replica) {
        const TimePoint provenAt = m_options.pools.of(it->service).paths.provenAt(id);
        it->hasRunLately = provenAt >= m_options.clock.now() - RecentTime;
    }
    it->hasAskedRouters = replica && m_options.hasRouters(it->service);
    if (it->hasAskedRouters)
        m_options.askRouters(it->service, id, [this, it](PathState state) {
            it->routers = state;
            decide(*it);
        });
    tryControls(id, [this, it](const PathFinding &finding) {
        it->paths = finding;
        decide(*it);
    });
}

void CrashEvidence::decide(Confirmation &it)
{
    using Finding = CrashWatch::Finding;
    const bool isLost = it.paths && !it.paths->areWorking;
    const bool isReached = it.routers == PathState::Reached;
    const bool isComplete = it.paths && (!it.hasAskedRouters || it.routers);
    if (it.done && (isLost || isReached || isComplete)) {
        Finding finding = Finding::NotCrashed;
        if (isLost && !isReached)
            finding = Finding::PathLost;
        else if (!isReached && it.routers != PathState::Unknown && !it.hasCrashedBefore())
            finding = Finding::Crashed;
        if (finding != Finding::Crashed)
            notConfirmed(it);
        std::exchange(it.done, nullptr)(finding);
        if (finding == Finding::Crashed || isReached)
            it.unreached = nullptr;
    }
    if (it.unreached && isComplete) {
        const auto unreached = std::exchange(it.unreached, nullptr);
        if (!isReached && !it.hasCrashedBefore())
            unreached();
    }
}

void CrashEvidence::notConfirmed(const Confirmation &it)
{
    ServicePool *pool = it.service.empty() ? nullptr : &m_options.pools.of(it.service);
    // Further requests are sent to a replica without a path if it has no other ones.
    if (!pool || !pool->paths.isBroken(it.id)) {
        const PathFinding paths = it.paths.value_or(PathFinding());
        Log::info("replica_crash_not_confirmed",
                  {{"replica", it.id},
                   {"own_paths", it.paths ? paths.text() : "pending"},
                   {"mostly_lost", paths.areMostlyLost},
                   {"open_controls", paths.openControls},
                   {"controls", paths.controls},
                   {"routers", it.hasAskedRouters ? textOf(it.routers) : "none"}});
    }
    if (pool)
        pool->pathLost(it.id);
}

} // namespace catkinloft
