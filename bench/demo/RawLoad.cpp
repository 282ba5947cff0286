#include "RawLoad.h"

#include "Net/EventLoop.h"
#include "fleet/ProcessUsage.h"

#include <algorithm>
#include <thread>

namespace catkinloft::demo {

namespace {

/// The part of the load that one thread sends, with its own event loop and connections.
class Sender
{
public:
    Sender(const RawLoad::Options &options, std::vector<Duration> &latencies, int &failures)
        : m_options(options), m_latencies(latencies), m_failures(failures), m_client(m_loop),
          m_end(m_loop.now() + options.duration), m_activeConnections(options.connectionsEach)
    {
        if (options.rate > 0) {
            const int all = options.threads * options.connectionsEach;
            m_interval = fromSeconds(all / options.rate);
        }
    }

    void run()
    {
        for (int i = 0; i < m_options.connectionsEach; ++i) {
            // Distributed over one interval, so that connections with a rate don't send in bursts.
            m_loop.after(m_interval * i / m_options.connectionsEach,
                         [this] { send(m_loop.now()); });
        }
        m_loop.run();
    }

private:
    /// \param due scheduled time of the request. It is in the past if the previous answer was late;
    /// this delay counts as latency. The delay of a late timer does not, as the sender causes it.
    void send(TimePoint due)
    {
        if (m_loop.now() >= m_end) {
            if (--m_activeConnections == 0)
                m_loop.stop();
            return;
        }
        m_client.fetch(m_options.call, [this, due](const Result<HttpAnswer> &answer) {
            if (answer && answer.value().head.status == 200)
                m_latencies.push_back(m_loop.now() - due);
            else
                ++m_failures;
            const TimePoint next = due + m_interval;
            if (m_interval > Duration::zero() && next > m_loop.now())
                m_loop.after(next - m_loop.now(), [this] { send(m_loop.now()); });
            else
                send(m_interval > Duration::zero() ? next : m_loop.now());
        });
    }

    const RawLoad::Options &m_options;
    std::vector<Duration> &m_latencies;
    int &m_failures;
    EventLoop m_loop;
    HttpClient m_client;
    TimePoint m_end;
    int m_activeConnections;
    Duration m_interval = Duration::zero();
};

Duration quantile(const std::vector<Duration> &sorted, double share)
{
    if (sorted.empty())
        return Duration::zero();
    const auto i = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(i, sorted.size() - 1)];
}

} // namespace

RawLoad::Outcome RawLoad::run(const Options &options)
{
    const auto n = static_cast<std::size_t>(options.threads);
    std::vector<std::vector<Duration>> latencies(n);
    std::vector<int> failures(n);
    const auto start = std::chrono::steady_clock::now();
    const Duration before = standin::processorTime(options.server);
    std::vector<std::thread> threads;
    threads.reserve(n);
    for (std::size_t i = 0; i < n; ++i)
        threads.emplace_back([&, i] { Sender(options, latencies[i], failures[i]).run(); });
    for (std::thread &it : threads)
        it.join();
    const double seconds = toSeconds(std::chrono::steady_clock::now() - start);
    std::vector<Duration> all;
    Outcome out;
    for (std::size_t i = 0; i < n; ++i) {
        all.insert(all.end(), latencies[i].begin(), latencies[i].end());
        out.failures += failures[i];
    }
    std::sort(all.begin(), all.end());
    out.rate = static_cast<double>(all.size()) / seconds;
    out.coreShare = toSeconds(standin::processorTime(options.server) - before) / seconds;
    out.p50 = quantile(all, 0.5);
    out.p99 = quantile(all, 0.99);
    return out;
}

} // namespace catkinloft::demo
