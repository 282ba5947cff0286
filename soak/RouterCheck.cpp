#include "RouterCheck.h"

#include "fleet/ChildProcess.h"

#include <fmt/format.h>

namespace catkinloft::soak {

namespace {

/// \returns the time of \a at in the run, as text.
std::string secondOf(WallTime at, const RunHistory &history)
{
    return fmt::format("{:.3f} s", toSeconds(at - history.startedAt));
}

} // namespace

void checkRouters(const RunHistory &history, const std::function<void(std::string)> &broken)
{
    for (const RouterExit &it : history.routerExits)
        broken(fmt::format("router {} ended by itself at {}: {}", it.router,
                           secondOf(it.at, history),
                           standin::ChildProcess::describeEnd(it.status)));
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
