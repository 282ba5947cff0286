#include "RouterCheck.h"

#include "fleet/ChildProcess.h"

#include <algorithm>

#include <fmt/format.h>

namespace catkinloft::soak {

namespace {

using namespace std::chrono_literals;

/// Time after a disturbance of a router in which the next one may follow from it.
constexpr Duration NearTime = 3s;

/// \returns the time of \a at in the run, as text.
std::string secondOf(WallTime at, const RunHistory &history)
{
    return fmt::format("{:.3f} s", toSeconds(at - history.startedAt));
}

const char *describe(Unanswered it)
{
    switch (it) {
    case Unanswered::No:
        return "it has one";
    case Unanswered::Closed:
        return "the connection was closed or reset";
    case Unanswered::Eof:
        return "the router closed the connection";
    case Unanswered::Reset:
        return "the connection was reset";
    case Unanswered::TimedOut:
        return "the caller timed out";
    }
    return "";
}

/// \returns whether \a router was neither killed, stopped or paused nor partitioned from replicas
/// near the time between \a from and \a to.
bool ranUndisturbed(std::size_t router, WallTime from, WallTime to, const RunHistory &history)
{
    const auto isNear = [&](WallTime begin, WallTime end) {
        return begin <= to && (end == WallTime::max() || end + NearTime >= from);
    };
    return std::none_of(history.disturbances.begin(), history.disturbances.end(),
                        [&](const RouterDisturbance &it) {
                            return it.router == router && isNear(it.from, it.until);
                        })
            && std::none_of(history.replicaDisturbances.begin(), history.replicaDisturbances.end(),
                            [&](const ReplicaDisturbance &it) {
                                return it.router == router && isNear(it.from, it.until);
                            });
}

/// \returns whether the connection of the unanswered request \a id may have been closed: before its
/// router had read the request, or since a replica that it ran on had a fault.
bool mayBeClosed(const std::string &id, const Attempt &it, const std::vector<Json::Value> &arrivals,
                 const RunHistory &history)
{
    if (it.unanswered == Unanswered::TimedOut)
        return false;
    // A process that ends by itself loses the last lines of its log.
    bool isRead = it.router < history.routerLogs.size() && history.routerLogs[it.router].names(id);
    for (const Json::Value &arrival : arrivals) {
        if (arrival["id"].asString() != id)
            continue;
        if (mayBeCutOffBy(arrival["replica"].asString(), it, it.unansweredAt, history))
            return true;
        isRead = true;
    }
    return !isRead;
}

} // namespace

void checkRouters(const std::map<std::string, Attempt> &attempts,
                  const std::vector<Json::Value> &arrivals, const RunHistory &history,
                  const std::function<void(std::string)> &broken)
{
    for (const RouterExit &it : history.routerExits)
        broken(fmt::format("router {} ended by itself at {}: {}", it.router,
                           secondOf(it.at, history),
                           standin::ChildProcess::describeEnd(it.status)));
    for (const auto &[id, it] : attempts) {
        if (it.unanswered != Unanswered::No && it.isOnKeptConnection
            && ranUndisturbed(it.router, it.sentAt, it.unansweredAt, history)
            && !mayBeClosed(id, it, arrivals, history))
            broken(fmt::format("{} on a kept connection to router {} at {} has no answer: {} after "
                               "{} ms ({})",
                               id, it.router, secondOf(it.sentAt, history), describe(it.unanswered),
                               (it.unansweredAt - it.sentAt) / 1ms, describe(id, it, arrivals)));
    }
}

void checkRouterLogs(const RunHistory &history, const std::function<void(std::string)> &broken)
{
    for (std::size_t i = 0; i < history.routerLogs.size(); ++i) {
        for (const RouterLog::Sent &it : history.routerLogs[i].unended())
            broken(fmt::format("{} was sent to a replica by router {} at {}, which logged no end "
                               "of it",
                               it.id, i, secondOf(it.at, history)));
    }
}

} // namespace catkinloft::soak
