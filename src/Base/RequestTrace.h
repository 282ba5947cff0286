#pragma once

#include "Base/Error.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <json/json.h>

namespace catkinloft {

/// \brief Merges the log lines of several routers into a readable history of one request.
class RequestTrace
{
public:
    explicit RequestTrace(std::string requestId) : m_requestId(std::move(requestId)) { }

    /// \brief Adds the lines of one log. Text before the JSON object of a line is ignored. Lines
    /// that are not valid log lines are counted by skippedLines().
    void addLog(std::string_view text);

    /// \returns the events of the request in order of time, the state changes that routers logged
    /// about its replicas, and the cause of its end.
    std::string summary() const;

    /// \returns whether the logs have a line about the request.
    bool isKnown() const { return !m_events.empty(); }

    std::size_t skippedLines() const { return m_skipped; }

private:
    struct Event
    {
        std::string time;
        std::string source; ///< Name of the router.
        std::string name;
        std::string sentence;
        std::string cause; ///< Cause of the request's end, if this event ends it.
        std::string replica;
        std::string requestId;
        std::string fingerprint; ///< Fingerprint of the request's content, if logged.
    };

    void addLine(std::string_view line);
    static Result<Event> readEvent(const Json::Value &line);
    std::vector<Event> relatedReplicaEvents() const;
    std::vector<Event> relatedCrashes() const;

    std::string m_requestId;
    std::vector<Event> m_events; ///< Events of the request.
    std::vector<Event> m_replicaEvents; ///< State changes of replicas that routers logged.
    std::vector<Event> m_crashes; ///< Crashes of replicas while they worked on a request.
    std::size_t m_skipped = 0;
};

} // namespace catkinloft
