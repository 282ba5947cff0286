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
    int unmatched = 0; ///< Executions that no attempt could be found for.
    double promptTokens = 0; ///< Of all executed chats.
    double cachedTokens = 0; ///< Of these, found in the engines' prefix caches.
    std::map<std::string, double> workByEngine; ///< Tokens read anew or generated.

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

    int violationCount() const
    {
        return lost + doubled + crossed + truncated + untrueNotRun + unexplained;
    }

    /// \returns the latency that \a share of the answers took at most.
    Duration quantile(double share) const;

    /// \returns the most work of an engine as a multiple of the mean; 0 without any work.
    /// \param engines including those that got none.
    double skew(int engines) const;

    /// \returns one line for a person.
    std::string summary() const;

    void addNote(std::string line);
};

} // namespace catkinloft::standin
