#pragma once

#include "Base/RouteConfig.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief Why an attempt was made.
enum class AttemptCause : std::uint8_t {
    First, ///< The first attempt of a request.
    Retry, ///< Permitted by the retry budget.
    Undelivered, ///< No byte of the attempt before was sent to its replica.
};

/// \returns the name of \a cause in logs and metrics.
std::string_view attemptCauseName(AttemptCause cause);

/// \brief The replicas to which a request was sent, and whether its route allows another attempt.
///
/// A route limits how many replicas may receive a request. Attempts that are known not to have
/// reached their replica do not count.
class AttemptHistory
{
public:
    /// \brief Records an attempt on replica \a id.
    void sent(const std::string &id);

    /// \brief Removes the last attempt on \a id, because the request did not arrive there.
    void didNotArrive(const std::string &id);

    /// \brief Records that no connection to \a id could be made, and removes the last attempt on
    /// it.
    /// \returns whether another replica should be tried.
    bool wasUnreachable(const std::string &id);

    /// \brief Records that an attempt on \a id failed.
    void failedOn(const std::string &id);

    /// \returns whether \a route allows another attempt.
    bool mayRetry(const Route &route) const;

    /// \returns whether the next attempt may only go to a replica that was reached before.
    bool isLimitedToReached(const Route &route) const;

    /// \returns the number of attempts that arrived or may have arrived.
    int count() const { return m_count; }

    /// \returns the replicas that received or may have received the request.
    std::span<const std::string> reached() const { return m_reached; }

    /// \returns the replicas on which an attempt failed, which the next placement excludes.
    std::span<const std::string> failed() const { return m_failed; }

private:
    int m_count = 0;
    int m_unreachable = 0;
    std::vector<std::string> m_deliveries; ///< Contains a replica once for each attempt on it.
    std::vector<std::string> m_reached;
    std::vector<std::string> m_failed;
};

} // namespace catkinloft
