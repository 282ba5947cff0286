#include "Control/EntryDirectory.h"

#include <algorithm>

namespace catkinloft {

namespace {

/// With fewer addresses, a caller may have no alternative if a router has just stopped.
constexpr std::size_t MinAddresses = 3;

} // namespace

std::vector<std::string> EntryDirectory::addresses(std::size_t most) const
{
    std::vector<Entry> ready;
    std::vector<Entry> running;
    if (!m_options.isLeaving()) {
        const EntrySettings &self = m_options.settings;
        running.push_back({self.callerAddress, self.processorShare});
        if (m_options.isReady())
            ready.push_back(running.back());
    }
    for (const FleetView::Peer *it : m_options.fleet.live()) {
        if (it->heartbeat.leaving)
            continue;
        running.push_back({it->heartbeat.callerAddress, it->heartbeat.processorShare});
        if (it->heartbeat.ready)
            ready.push_back(running.back());
    }
    // These routers start together with this one; most are ready when a caller connects.
    for (const RegisteredRouter &it : m_options.fleet.unseenToAdvertise())
        ready.push_back({it.callerAddress, it.processorShare});
    return sample(ready.empty() ? std::move(running) : std::move(ready), most);
}

std::vector<std::string> EntryDirectory::sample(std::vector<Entry> all, std::size_t most) const
{
    double largest = 0;
    for (const Entry &it : all)
        largest = std::max(largest, it.processorShare);
    for (std::size_t i = all.size(); i > 1; --i)
        std::swap(all[i - 1], all[below(m_options.random, i)]);
    std::vector<std::string> out;
    std::vector<std::string> rest;
    for (const Entry &it : all) {
        const bool named = uniform(m_options.random) * largest < it.processorShare;
        (named ? out : rest).push_back(it.address);
    }
    for (std::size_t i = 0; i < rest.size() && out.size() < MinAddresses; ++i)
        out.push_back(rest[i]);
    out.resize(std::min(out.size(), most));
    return out;
}

} // namespace catkinloft
