#pragma once

#include "Base/Clock.h"
#include "Net/HttpServer.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace catkinloft {

class Metrics;
class RequestBuffers;

/// \brief Logs and counts the connections that the listeners of a process didn't accept, refused or
/// ended.
///
/// A crowd of callers causes thousands of these in a second. Each kind is logged at once and then
/// at most once in a second, with what happened since its last line; the metrics count all. Answers
/// that were cut off have a line each, up to a limit for a second.
class ConnectionLog
{
public:
    struct Options
    {
        const Clock &clock;
        Metrics &metrics;
        const RequestBuffers &buffers; ///< Of the listeners.
    };

    explicit ConnectionLog(Options options) : m_options(options) { }
    ConnectionLog(const ConnectionLog &) = delete;
    ConnectionLog &operator=(const ConnectionLog &) = delete;

    /// \returns \a options with callbacks that report to this object, which must outlive the
    /// listener.
    HttpServer::Options observed(HttpServer::Options options);

    /// \brief Called for a connection to \a address beyond the \a limit of that listener.
    void refused(std::string_view address, int limit);

    /// \brief Called for a connection to \a address that was closed before its request was handled.
    /// \param reason as for HttpServer::Options::onConnectionEnded.
    void ended(std::string_view address, std::string_view reason);

    /// \brief Called for a connection to \a address that was closed before \a answer was sent.
    void answerCut(std::string_view address, AnswerCut reason, const UnsentAnswer &answer);

    /// \param error the errno of the attempt.
    void acceptFailed(std::string_view address, int error);

private:
    bool isDue(TimePoint &loggedAt) const;

    Options m_options;
    int m_refused = 0; ///< Since the last line.
    std::map<std::string, int, std::less<>> m_ended; ///< By reason, since the last line.
    TimePoint m_refusedLoggedAt = TimePoint::min();
    TimePoint m_endedLoggedAt = TimePoint::min();
    TimePoint m_acceptLoggedAt = TimePoint::min();
    TimePoint m_cutsSince = TimePoint::min(); ///< Begin of the second that m_cutLines counts.
    int m_cutLines = 0;
    int m_cutsNotLogged = 0; ///< Since the last line.
};

} // namespace catkinloft
