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
        Duration patience = std::chrono::seconds(25);
        int maxTokens = 20;
    };

    explicit LoadDriver(Options options);

    /// \brief Calls \a event once, \a delay after the start. It may block for a moment.
    void at(Duration delay, std::function<void()> event);

    /// \brief Runs until every caller is done.
    LoadReport run();

private:
    int workspaceOf(int caller) const;
    void judge();

    Options m_options;
    EventLoop m_loop;
    HttpClient m_client;
    LoadReport m_report;
    CallerContext m_context;
};

} // namespace catkinloft::standin
