#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief Joins the log lines of several routers into one account of a request, in plain words.
class RequestTrace
{
public:
    explicit RequestTrace(std::string requestId) : m_requestId(std::move(requestId)) { }

    /// \brief Adds the lines of one log. What stands before the JSON object of a line is ignored;
    /// lines that are no log lines are counted.
    void addLog(std::string_view text);

    /// \returns the account: what happened in order, what the routers learnt meanwhile of the
    /// replicas it was sent to, and the cause of its end.
    std::string summary() const;

    /// \returns whether any line names the request.
    bool isKnown() const { return !m_events.empty(); }

    std::size_t skippedLines() const { return m_skipped; }

private:
    struct Event
    {
        std::string time;
        std::string source; ///< Router.
        std::string name;
        std::string sentence;
        std::string cause; ///< Of the end, where this ends the request.
        std::string replica;
        std::string requestId;
        std::string fingerprint; ///< Of the request's content, where the line names it.
    };

    void addLine(std::string_view line);
    std::vector<Event> relatedReplicaEvents() const;
    std::vector<Event> relatedCrashes() const;

    std::string m_requestId;
    std::vector<Event> m_events; ///< Of the request.
    std::vector<Event> m_replicaEvents; ///< What routers learnt of replicas.
    std::vector<Event> m_crashes; ///< Replicas that ended while they ran a request.
    std::size_t m_skipped = 0;
};

} // namespace catkinloft
