#include "ClosedLoop.h"

#include <algorithm>

namespace catkinloft::bench {

double RunResult::quantile(double q)
{
    if (latencies.empty())
        return 0;
    std::sort(latencies.begin(), latencies.end());
    return latencies[static_cast<std::size_t>(q * static_cast<double>(latencies.size() - 1))];
}

ClosedLoop::ClosedLoop(Options options) : m_options(std::move(options)) { }

RunResult ClosedLoop::run()
{
    m_begin = m_loop.now();
    m_calls.resize(static_cast<std::size_t>(m_options.inProgress));
    m_inProgress = m_calls.size();
    for (std::size_t i = 0; i < m_calls.size(); ++i)
        start(i);
    m_loop.run();
    m_result.length = m_loop.now() - m_begin;
    return std::move(m_result);
}

void ClosedLoop::start(std::size_t i)
{
    const TimePoint now = m_loop.now();
    if (now - m_begin >= m_options.length || m_started >= m_options.calls) {
        if (--m_inProgress == 0)
            m_loop.stop();
        return;
    }
    ++m_started;
    m_calls[i] = m_client.send(
            m_options.call,
            {.onHead =
                     [this](const HttpHead &head) {
                         m_result.failed += head.status != 200 ? 1 : 0;
                     },
             .onData = [this](std::string_view data) { m_result.bytes += data.size(); },
             .onEnd = [this, i,
                       now](const Result<void> &result) { finishCall(i, now, bool(result)); }});
}

void ClosedLoop::finishCall(std::size_t i, TimePoint begin, bool succeeded)
{
    m_result.failed += succeeded ? 0 : 1;
    ++m_result.done;
    m_result.latencies.push_back(toSeconds(m_loop.now() - begin));
    m_loop.post([this, i] { start(i); });
}

} // namespace catkinloft::bench
