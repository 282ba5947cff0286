#pragma once

#include "Net/EventLoop.h"
#include "Net/HttpClient.h"

#include <vector>

namespace catkinloft::bench {

/// \brief The results of a run of calls.
struct RunResult
{
    std::size_t done = 0;
    std::size_t failed = 0;
    std::size_t bytes = 0;
    Duration length = Duration::zero();
    std::vector<double> latencies; ///< In seconds.

    /// \returns the \a q quantile of the latencies, in seconds.
    double quantile(double q);
};

/// \brief Keeps a constant number of calls in progress until a time or a total count is reached.
class ClosedLoop
{
public:
    struct Options
    {
        HttpCall call;
        int inProgress = 64;
        Duration length = std::chrono::hours(1);
        std::size_t calls = static_cast<std::size_t>(-1); ///< Maximum number of calls.
    };

    explicit ClosedLoop(Options options);

    RunResult run();

private:
    void start(std::size_t i);
    void finishCall(std::size_t i, TimePoint begin, bool succeeded);

    EventLoop m_loop;
    HttpClient m_client{m_loop};
    Options m_options;
    TimePoint m_begin;
    std::size_t m_started = 0;
    std::size_t m_inProgress = 0;
    std::vector<HttpCallPtr> m_calls;
    RunResult m_result;
};

} // namespace catkinloft::bench
