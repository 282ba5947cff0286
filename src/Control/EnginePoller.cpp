#include "Control/EnginePoller.h"

namespace catkinloft {

EnginePoller::EnginePoller(Options options) : m_options(std::move(options)) { }

void EnginePoller::setEngines(std::vector<Engine> engines)
{
    m_engines = std::move(engines);
}

TimePoint EnginePoller::nextDeadline() const
{
    return m_engines.empty() ? TimePoint::max() : m_next;
}

void EnginePoller::poll()
{
    const TimePoint now = m_options.clock.now();
    if (now < nextDeadline())
        return;
    m_next = now + fromSeconds(1 / m_options.enginesPerSecond);
    if (!m_options.mayDefer())
        return;
    m_position = (m_position + 1) % m_engines.size();
    read(m_engines[m_position]);
}

void EnginePoller::read(const Engine &engine)
{
    m_options.engines.readLoad(engine.address,
                               [this, name = engine.name,
                                alive = std::weak_ptr(m_alive)](const Result<EngineLoad> &load) {
                                   if (alive.expired())
                                       return;
                                   if (load)
                                       m_options.tracker.recordLoad(name, load.value());
                                   else
                                       m_options.tracker.recordUnreachable(name);
                               });
    m_options.engines.readCacheEvents(engine.address, m_options.tracker.cursor(engine.name),
                                      [this, name = engine.name, alive = std::weak_ptr(m_alive)](
                                              const Result<CacheFeed> &feed) {
                                          if (!alive.expired() && feed)
                                              m_options.tracker.applyEvents(name, feed.value());
                                      });
}

} // namespace catkinloft
