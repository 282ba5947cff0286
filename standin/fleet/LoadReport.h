#pragma once

#include "Base/Clock.h"

#include <map>
#include <string>
#include <vector>

namespace catkinloft::standin {

/// \brief What became of the requests of a LoadDriver, by the callers' own count and by the
/// stand-ins' records of what they executed.
struct LoadReport
{
    int requests = 0;
    int answered = 0; ///< Whole and right.
    int refused = 0; ///< Given up after a last answer that said why and whether it may have run.
    int attempts = 0;
    int executions = 0;

    // Broken promises.
    int lost = 0; ///< No answer at all, or an answer to what was never executed.
    int doubled = 0; ///< Non-idempotent and executed more than once.
    int crossed = 0; ///< Answered with another request's answer.
    int truncated = 0; ///< Taken for whole though a part is missing.
    int untrueNotRun = 0; ///< Told `not_run` of an attempt that was executed.
    int unexplained = 0; ///< Refused without reason code or verdict.

    std::map<std::string, int> reasons; ///< Answers other than 200 by reason code.
    std::vector<Duration> latencies; ///< From the first attempt to the whole answer.
    std::vector<std::string> notes; ///< One line for each broken promise, the first few.

    int brokenPromises() const
    {
        return lost + doubled + crossed + truncated + untrueNotRun + unexplained;
    }

    /// \returns the latency that \a share of the answers took at most.
    Duration quantile(double share) const;

    /// \returns one line for a person.
    std::string summary() const;

    void note(std::string line);
};

} // namespace catkinloft::standin
