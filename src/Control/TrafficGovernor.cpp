#include "Control/TrafficGovernor.h"

#include <algorithm>

namespace catkinloft {

TrafficGovernor::TrafficGovernor(Options options)
    : m_options(options), m_last(options.clock.now()),
      m_tokens(options.bytesPerSecond * toSeconds(options.burst))
{ }

void TrafficGovernor::refill()
{
    const TimePoint now = m_options.clock.now();
    const double full = m_options.bytesPerSecond * toSeconds(m_options.burst);
    m_tokens = std::min(full, m_tokens + m_options.bytesPerSecond * toSeconds(now - m_last));
    m_last = now;
}

void TrafficGovernor::count(std::size_t n)
{
    refill();
    m_total += n;
    m_tokens -= static_cast<double>(n);
}

bool TrafficGovernor::allowsDeferrable()
{
    refill();
    return m_tokens > m_options.bytesPerSecond * toSeconds(m_options.burst) / 2;
}

} // namespace catkinloft
