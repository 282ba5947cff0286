#pragma once

#include "fleet/Caller.h"

#include <vector>

namespace catkinloft::standin {

/// \brief Sends the requests of many returning callers to a fleet, from the calling thread, and
/// judges at the end what became of them.
class LoadDriver
{
public:
    struct Options
    {
        Fleet &fleet;
        std::uint64_t seed = 1;
        std::vector<RequestShape> shapes; ///< Callers take them in turn.
        int callers = 20;
        int requestsEach = 5;
        double largeShare = 0.7; ///< Of the callers belong to the large workspaces.
        Duration maxPause = std::chrono::milliseconds(200);
        Duration answerTimeout = std::chrono::seconds(8); ///< Of one attempt.
        Duration requestTimeout =
                std::chrono::seconds(25); ///< Of one request with all its attempts.
        int maxTokens = 20;
    };

    explicit LoadDriver(Options options);

    /// \brief Calls \a event once, \a delay after the start; run() waits for it. It may block for
    /// a moment.
    void at(Duration delay, std::function<void()> event);

    /// \brief Adds \a n callers of workspace 0, all of them sending at \a delay.
    void surge(Duration delay, int n);

    /// \brief Runs until every caller is done.
    LoadReport run();

private:
    int workspaceOf(int caller) const;
    std::shared_ptr<Caller> makeCaller(int workspace, RequestShape shape, int requests);
    void finishOne();
    void evaluateExecutions();

    Options m_options;
    EventLoop m_loop;
    HttpClient m_client;
    LoadReport m_report;
    CallerContext m_context;
    int m_callers = 0; ///< Made so far.
    int m_pending = 0; ///< Callers and events that are not done yet.
};

} // namespace catkinloft::standin
