#include "HotPath.h"
#include "Slope.h"
#include "fleet/ProcessUsage.h"

#include <array>

namespace catkinloft::bench {

using measure::Point;
using standin::processorTime;
using standin::residentBytes;

namespace {

constexpr int InProgress = 32;
constexpr std::array<std::size_t, 4> CallCounts = {5'000, 10'000, 20'000, 40'000};
constexpr std::array<int, 4> TokenCounts = {32, 128, 256, 512};
constexpr std::size_t StreamsPerPoint = 400;
constexpr double SpacedTokenMs = 10; ///< Long enough that no read returns two tokens.
constexpr int SpacedTokens = 100;
constexpr std::array<std::size_t, 4> SpacedStreams = {100, 200, 400, 800};
constexpr std::array<std::size_t, 4> OpenStreams = {250, 500, 1'000, 2'000};

/// \returns the processor time that the router uses for a run, in seconds.
double routerSeconds(HotPath &path, ClosedLoop::Options options, std::size_t &failed)
{
    const Duration before = processorTime(path.routerPid());
    failed += ClosedLoop(std::move(options)).run().failed;
    return toSeconds(processorTime(path.routerPid()) - before);
}

std::size_t measureRequests(HotPath &path)
{
    std::size_t failed = 0;
    std::vector<Point> points;
    for (const std::size_t n : CallCounts) {
        const double seconds = routerSeconds(
                path, {.call = path.routed("call", 0), .inProgress = InProgress, .calls = n},
                failed);
        points.push_back({.size = double(n), .cost = seconds});
    }
    measure::reportSlope(&measure::printFigure, "router_call_cpu", points, "s", "request", 0);
    return failed;
}

std::size_t measureTokens(HotPath &path)
{
    std::size_t failed = 0;
    std::vector<Point> points;
    for (const int n : TokenCounts) {
        const double seconds = routerSeconds(path,
                                             {.call = path.routed("stream", n),
                                              .inProgress = InProgress,
                                              .calls = StreamsPerPoint},
                                             failed);
        points.push_back({.size = double(n) * double(StreamsPerPoint), .cost = seconds});
    }
    measure::reportSlope(&measure::printFigure, "router_burst_token_cpu", points, "s", "token", 0);
    return failed;
}

/// Measures tokens that arrive one at a time, as engines send them; each causes a separate event.
std::size_t measureSpacedTokens()
{
    HotPath path(SpacedTokenMs);
    std::size_t failed = 0;
    std::vector<Point> points;
    for (const std::size_t n : SpacedStreams) {
        const double seconds = routerSeconds(path,
                                             {.call = path.routed("stream", SpacedTokens),
                                              .inProgress = static_cast<int>(n),
                                              .calls = n},
                                             failed);
        points.push_back({.size = double(n) * SpacedTokens, .cost = seconds});
    }
    measure::reportSlope(&measure::printFigure, "router_spaced_token_cpu", points, "s", "token", 0);
    return failed;
}

/// Opens streams one after the other and keeps them open. openUpTo() returns when each stream has
/// been answered.
class StreamHolder
{
public:
    explicit StreamHolder(HttpCall call) : m_call(std::move(call)) { }

    void openUpTo(std::size_t n)
    {
        while (m_streams.size() < n) {
            m_streams.push_back(
                    m_client.send(m_call,
                                  {.onHead =
                                           [this](const HttpHead &head) {
                                               failed += head.status != 200 ? 1 : 0;
                                               if (++m_answered == m_streams.size())
                                                   m_loop.stop();
                                           },
                                   .onEnd = [this](const Result<void> &) { ++failed; }}));
            m_loop.runOnce();
        }
        if (m_answered < m_streams.size())
            m_loop.run();
    }

    std::size_t failed = 0;

private:
    EventLoop m_loop;
    HttpClient m_client{m_loop};
    HttpCall m_call;
    std::size_t m_answered = 0;
    std::vector<HttpCallPtr> m_streams;
};

std::size_t measureStreams()
{
    // One token per second: the streams are open but almost idle.
    HotPath path(1'000);
    StreamHolder holder(path.routed("stream", 100'000));
    std::vector<Point> points;
    for (const std::size_t n : OpenStreams) {
        holder.openUpTo(n);
        points.push_back({.size = double(n), .cost = residentBytes(path.routerPid())});
    }
    measure::reportSlope(&measure::printFigure, "router_stream_memory", points, "B", "stream", 0);
    return holder.failed;
}

} // namespace

bool measureSlopes()
{
    std::size_t failed = 0;
    {
        HotPath path(0);
        failed += measureRequests(path);
        failed += measureTokens(path);
    }
    failed += measureSpacedTokens();
    failed += measureStreams();
    return failed == 0;
}

} // namespace catkinloft::bench
