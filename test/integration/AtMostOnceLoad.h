#pragma once

#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Net/Timer.h"
#include "fleet/EntryFleet.h"

#include <atomic>
#include <cstddef>
#include <map>
#include <string>

namespace catkinloft {

/// \brief Sends requests that may run at most once, plain and streaming, to all routers in turn at
/// a constant rate, and notes how each ended.
class AtMostOnceLoad
{
public:
    explicit AtMostOnceLoad(const standin::EntryFleet &fleet, bool usesNewConnections = false)
        : m_fleet(fleet), m_usesNewConnections(usesNewConnections)
    { }

    /// \brief Sends until \a isDone, then waits for the answers that are due.
    void run(const std::atomic<bool> &isDone);

    /// \returns the status of each answer by request id; 0: none.
    const std::map<std::string, int> &statuses() const { return m_statuses; }

private:
    void send();

    static constexpr Duration SendInterval = std::chrono::milliseconds(3);

    const standin::EntryFleet &m_fleet;
    bool m_usesNewConnections;
    EventLoop m_loop;
    HttpClient m_client{m_loop};
    Timer m_timer{m_loop, [this] { send(); }};
    std::map<std::string, int> m_statuses;
    std::size_t m_sent = 0;
    int m_pending = 0;
};

/// \brief Checks that none of the requests in \a statuses ran twice on the replicas of \a fleet,
/// and that none ran whose caller was told that it did not.
/// \returns the number of answers by status.
std::map<int, int> requireAtMostOnceRun(const standin::EntryFleet &fleet,
                                        const std::map<std::string, int> &statuses);

} // namespace catkinloft
