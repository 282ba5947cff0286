#include "Attempt.h"

namespace catkinloft::soak {

void Attempt::noteEnd(const HttpCallHandle &call, const Result<void> &result, WallTime now)
{
    isOnKeptConnection = call.idleTime() > Duration::zero();
    if (result || call.hasReceivedBytes())
        return;
    unanswered = result.error().reason == Reason::UpstreamTimeout ? Unanswered::TimedOut
                                                                  : Unanswered::Closed;
    unansweredAt = now;
}

} // namespace catkinloft::soak
