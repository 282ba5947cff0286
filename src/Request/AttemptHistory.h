#pragma once

#include "Base/RouteConfig.h"

#include <span>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief To which replicas one request was sent, and whether its route lets it be sent once more.
///
/// A route bounds how many replicas may get a request. AttemptHistory that are known not to have
/// reached the replica that was meant do not count.
class AttemptHistory
{
public:
    /// \brief Notes a sending to replica \a id.
    void sent(const std::string &id);

    /// \brief Takes the last sending to \a id back: it did not arrive there.
    void didNotArrive(const std::string &id);

    /// \brief Notes that no connection to \a id could be made.
    /// \returns whether another replica is worth trying.
    bool wasUnreachable(const std::string &id);

    /// \brief Has the next choice leave \a id out, on which an attempt failed.
    void failedOn(const std::string &id);

    /// \returns whether \a route allows one more sending.
    bool mayRetry(const Route &route) const;

    /// \returns whether it may only go to replicas that had it.
    bool isLimitedToReached(const Route &route) const;

    /// \returns sendings that arrived, or may have.
    int count() const { return m_count; }

    /// \returns replicas that have or may have got it.
    std::span<const std::string> reached() const { return m_reached; }

    /// \returns replicas on which an attempt failed.
    std::span<const std::string> failed() const { return m_failed; }

private:
    int m_count = 0;
    int m_unreachable = 0;
    std::vector<std::string> m_deliveries; ///< A replica that got it twice stands here twice.
    std::vector<std::string> m_reached;
    std::vector<std::string> m_failed;
};

} // namespace catkinloft
