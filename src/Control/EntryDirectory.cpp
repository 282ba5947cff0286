#include "Control/EntryDirectory.h"

namespace catkinloft {

std::vector<std::string> EntryDirectory::addresses() const
{
    std::vector<std::string> ready;
    std::vector<std::string> running;
    if (!m_options.isLeaving()) {
        running.push_back(m_options.settings.callerAddress);
        if (m_options.isReady())
            ready.push_back(m_options.settings.callerAddress);
    }
    for (const FleetView::Peer *it : m_options.fleet.live()) {
        if (it->beat.leaving)
            continue;
        running.push_back(it->beat.callerAddress);
        if (it->beat.ready)
            ready.push_back(it->beat.callerAddress);
    }
    return ready.empty() ? running : ready;
}

} // namespace catkinloft
