#pragma once

#include "SoakLoad.h"

#include <map>
#include <string>
#include <vector>

namespace catkinloft::soak {

/// \brief Callers that read answers of some megabytes at a limited rate, each on a kept connection
/// to one router.
///
/// Their receive buffers and segments are small, so that the buffers of the system hold little of
/// an answer, as on a slow link. Without that, loopback takes whole answers at once.
class SlowCallers
{
public:
    struct Options
    {
        EventLoop &loop;
        const standin::EntryFleet &fleet;
        RandomSource random;
        const std::string &key; ///< That callers send.
        std::map<std::string, Attempt> &attempts; ///< Receives the attempts, by id.
    };

    /// Time that callers give a request, and that its route must allow. An answer takes less than
    /// half of it.
    static constexpr std::chrono::milliseconds Timeout{8000};

    explicit SlowCallers(Options options);
    ~SlowCallers();
    SlowCallers(const SlowCallers &) = delete;
    SlowCallers &operator=(const SlowCallers &) = delete;

    /// \brief Sends no further requests; those in progress continue.
    void stopSending() { m_isStopped = true; }

private:
    struct Caller
    {
        std::size_t router = 0;
        int fd = -1; ///< -1: not connected.
        bool isKept = false; ///< A request was answered on this connection.
        std::string id = {}; ///< Of the request in progress; empty: none.
        std::string received = {};
        std::size_t bodyAt = 0; ///< Begin of the body; 0: the head is incomplete.
        TimePoint at = {}; ///< Of the last read, or of the next request.
        TimePoint deadline = {};
        double due = 0; ///< Bytes that may be read now.
    };

    void poll();
    void send(Caller &it);
    void read(Caller &it);
    void noteUnanswered(const Caller &it, Unanswered how);
    void parseHead(Caller &it, Attempt &attempt);
    void complete(Caller &it, Attempt &attempt);
    void disconnect(Caller &it);
    void finish(Caller &it);

    Options m_options;
    Timer m_timer;
    std::vector<Caller> m_callers;
    std::size_t m_number = 0;
    bool m_isStopped = false;
};

} // namespace catkinloft::soak
