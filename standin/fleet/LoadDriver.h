#pragma once

#include "fleet/Caller.h"

#include <vector>

namespace catkinloft::standin {

/// \brief Sends the requests of many callers to a fleet from the calling thread, and afterwards
/// compares the answers with the executions that the fleet recorded.
class LoadDriver
{
public:
    struct Options
    {
        Fleet &fleet;
        std::uint64_t seed = 1;
        std::vector<RequestShape> shapes; ///< Assigned to the callers in turn.
        int callers = 20;
        int requestsEach = 5;
        double largeShare = 0.7; ///< Share of the callers that belong to the large workspaces.
        Duration maxPause = std::chrono::milliseconds(200);
        Duration answerTimeout = std::chrono::seconds(8); ///< Of one attempt.
        Duration requestTimeout = std::chrono::seconds(25); ///< Of a request with all its attempts.
        int maxTokens = 20;
    };

    explicit LoadDriver(Options options);

    /// \brief Calls \a event once, \a delay after the start; run() waits for it. It may block
    /// briefly.
    void at(Duration delay, std::function<void()> event);

    /// \brief Adds \a n callers of workspace 0, which start \a delay after the start and send one
    /// request each.
    void surge(Duration delay, int n);

    /// \brief Runs until every caller and event is done.
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
    int m_callers = 0; ///< Created so far.
    int m_pending = 0; ///< Callers and events that are not done yet.
};

} // namespace catkinloft::standin
