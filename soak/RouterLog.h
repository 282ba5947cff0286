#pragma once

#include "Base/Clock.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace catkinloft::soak {

/// \brief What the processes of one router logged about requests.
class RouterLog
{
public:
    /// \brief A request that a router sent to a replica.
    struct Sent
    {
        std::string id = {};
        WallTime at = {};
        WallTime deadline = {};
    };

    /// \brief One attempt of a request.
    struct Sending
    {
        std::string id = {};
        std::string service = {};
        std::string replica = {};
        std::string cause = {}; ///< \sa AttemptCause
        WallTime at = {};
    };

    RouterLog() = default;

    /// \param text log of one process after the other, a JSON object a line.
    explicit RouterLog(const std::string &text);

    /// \returns whether any line names the request \a id.
    bool names(const std::string &id) const { return m_ids.contains(id); }

    /// \returns the requests whose end was not logged although their process ran on for over a
    /// second after their deadline, in order of sending.
    const std::vector<Sent> &unended() const { return m_unended; }

    /// \returns all attempts in the order of their lines.
    const std::vector<Sending> &sendings() const { return m_sendings; }

private:
    void endProcess(WallTime lastLine);

    std::set<std::string> m_ids;
    std::map<std::string, Sent> m_inProgress; ///< By id.
    std::vector<Sent> m_unended;
    std::vector<Sending> m_sendings;
};

} // namespace catkinloft::soak
