#include "PlacementEngine.h"

#include <algorithm>

namespace catkinloft::measure {

SimulatedJob *PlacementEngine::startNext()
{
    if (m_running >= m_options.slots || m_waiting.empty())
        return nullptr;
    SimulatedJob *it = m_waiting.front();
    m_waiting.pop_front();
    ++m_running;
    return it;
}

double PlacementEngine::serve(const SimulatedJob &job, double &found)
{
    found = 0;
    if (const auto it = m_byChat.find(job.chat); it != m_byChat.end()) {
        found = std::min(it->second->second, job.sharedPrefix);
        m_cached -= it->second->second;
        m_cache.erase(it->second);
    }
    m_cache.emplace_front(job.chat, job.work());
    m_byChat[job.chat] = m_cache.begin();
    m_cached += job.work();
    while (m_cached > m_options.cacheTokens && m_cache.size() > 1) {
        m_cached -= m_cache.back().second;
        m_byChat.erase(m_cache.back().first);
        m_cache.pop_back();
    }
    return slowness
            * ((job.prompt - found) / m_options.prefillRate + job.output * m_options.tokenTime);
}

void PlacementEngine::clearCache()
{
    m_cache.clear();
    m_byChat.clear();
    m_cached = 0;
}

} // namespace catkinloft::measure
