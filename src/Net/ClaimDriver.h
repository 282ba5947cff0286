#pragma once

#include "Net/Timer.h"
#include "Request/ClaimManager.h"
#include "Request/ClaimSweeper.h"

#include <functional>

namespace catkinloft {

class EventLoop;

/// \brief Drives ClaimManager and ClaimSweeper by timers of the event loop.
class ClaimDriver
{
public:
    struct Options
    {
        EventLoop &loop;
        TableService &table;
        ObjectStore &objects;
        Metrics &metrics;
        RandomSource random;
        std::string router;
        std::function<std::size_t()> routers; ///< Number of routers that share the sweeping.
    };

    explicit ClaimDriver(Options options);

    ClaimManager &manager() { return m_manager; }

private:
    void schedule();
    void poll();

    EventLoop &m_loop;
    bool m_started = false;
    Timer m_timer;
    ClaimManager m_manager;
    ClaimSweeper m_sweeper;
};

} // namespace catkinloft
