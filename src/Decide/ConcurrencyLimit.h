#pragma once

#include "Decide/Job.h"

#include <algorithm>

namespace catkinloft {

/// \brief How many requests one upstream takes at a time: additive increase, multiplicative
/// decrease, never above what the inventory states.
///
/// Load: an upstream that is slower than its inventory entry says. Harm prevented: work that waits
/// inside the upstream can be neither ordered by workspace nor refused in time.
class ConcurrencyLimit
{
public:
    void setMaximum(int slots)
    {
        // An upstream starts at its stated slots: the inventory is right until an overload shows.
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
    // Gentle enough that the failures of one batch of requests leave a limit above 1.
    static constexpr double Decrease = 0.9;

    int m_maximum = 0;
    double m_limit = 1;
};

} // namespace catkinloft
