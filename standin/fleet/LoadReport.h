#pragma once

#include "Base/Clock.h"

#include <map>
#include <string>
#include <vector>

namespace catkinloft::standin {

/// \brief Outcomes of the requests of a LoadDriver, by the counters of the callers and by the
/// executions that the stand-ins recorded.
struct LoadReport
{
    int requests = 0;
    int answered = 0; ///< Completely and correctly.
    int refused = 0; ///< Given up; the last answer had a reason and a verdict.
    int attempts = 0;
    int executions = 0;
    int unmatched = 0; ///< Executions that match no attempt.
    double promptTokens = 0; ///< Of all executed chats.
    double cachedTokens = 0; ///< Prompt tokens found in the engines' prefix caches.
    std::map<std::string, double> workByEngine; ///< Tokens prefilled or generated.

    // Violations of the guarantees to callers.
    int lost = 0; ///< Not answered, or answered but never executed.
    int doubled = 0; ///< Non-idempotent operations executed more than once.
    int crossed = 0; ///< Received the answer to another request.
    int truncated = 0; ///< Received as complete although a part is missing.
    int untrueNotRun = 0; ///< Attempts reported as `not_run` but executed.
    int unexplained = 0; ///< Refused without a reason code or a verdict.

    std::map<std::string, int> reasons; ///< Number of answers other than 200 by reason code.
    std::vector<Duration> latencies; ///< From the first attempt to the complete answer.
    std::vector<std::string> notes; ///< One line for each of the first 10 violations.

    int violationCount() const
    {
        return lost + doubled + crossed + truncated + untrueNotRun + unexplained;
    }

    /// \returns the quantile \a share of the latencies.
    Duration quantile(double share) const;

    /// \returns the maximum work of an engine as a multiple of the mean, or 0 without any work.
    /// \param engines number of engines, including idle ones.
    double skew(int engines) const;

    /// \returns the counters in one readable line, followed by the notes.
    std::string summary() const;

    void addNote(std::string line);
};

} // namespace catkinloft::standin
