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

} // namespace catkinloft::soak
