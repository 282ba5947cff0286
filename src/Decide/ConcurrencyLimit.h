#pragma once

#include "Decide/Job.h"

#include <algorithm>

namespace catkinloft {

/// \brief Adaptive limit of the requests in progress on one upstream, with additive increase and
/// multiplicative decrease (AIMD). It never exceeds the slots stated in the inventory.
///
/// Handles an upstream that is slower than its inventory entry states. Prevents requests from
/// waiting inside the upstream, where they can neither be ordered by workspace nor be refused in
/// time.
class ConcurrencyLimit
{
public:
    void setMaximum(int slots)
    {
        // The slots stated in the inventory are used until an overload is observed.
        if (m_maximum == 0)
            m_limit = slots;
        m_maximum = slots;
        m_limit = std::min(m_limit, static_cast<double>(m_maximum));
    }

    bool allows(int inFlight) const { return inFlight < static_cast<int>(m_limit); }
    double value() const { return m_limit; }

    void record(const AttemptReport &report)
    {
        const bool overloaded = !report.succeeded
                && (report.reason == Reason::UpstreamRefused
                    || report.reason == Reason::UpstreamTimeout);
        if (overloaded)
            m_limit = std::max(1.0, m_limit * Decrease);
        else if (report.succeeded)
            m_limit = std::min(static_cast<double>(m_maximum), m_limit + 1 / m_limit);
    }

private:
    // The decrease is so small that the failures of one batch of requests leave a limit above 1.
    static constexpr double Decrease = 0.9;

    int m_maximum = 0;
    double m_limit = 1;
};

} // namespace catkinloft
