#pragma once

#include "Base/Error.h"

#include <array>
#include <span>
#include <string_view>

namespace catkinloft {

/// \brief How an attempt can end without an answer for the caller.
enum class ErrorPath {
    NotPlaced, ///< Refused before it was given an upstream.
    ConnectFailed, ///< No byte left for the upstream.
    UpstreamDeclined, ///< A status by which the upstream's contract promises that it did nothing.
    SilentBeforeAnswer, ///< Sent, and nothing came back in time.
    BrokenBeforeAnswer, ///< Sent, and the connection broke before the whole answer.
    AnswerOfAnother, ///< The answer carries another request's id.
    StreamInterrupted, ///< Part of a stream was delivered and can't be continued.
    CallerLeft, ///< The caller closed its connection.
};

/// \brief What a request allows.
enum class Repeatability {
    Idempotent, ///< Running it twice does no harm.
    Keyed, ///< Not idempotent, and claimed under an idempotency key.
    Unkeyed, ///< Not idempotent, and without a key.
};

/// \brief What one error path means for one sort of request.
struct VerdictRule
{
    ErrorPath path;
    Repeatability repeatability;
    Verdict verdict;
    bool mayRetry; ///< On another upstream, within attempts, deadline and retry budget.
};

/// Once a byte may have left, only the upstream's own contract brings a verdict back to NotRun.
/// A call without a key is never repeated here: the caller is told, and decides.
inline constexpr std::array VerdictTable = {
        VerdictRule{ErrorPath::NotPlaced, Repeatability::Idempotent, Verdict::NotRun, false},
        VerdictRule{ErrorPath::NotPlaced, Repeatability::Keyed, Verdict::NotRun, false},
        VerdictRule{ErrorPath::NotPlaced, Repeatability::Unkeyed, Verdict::NotRun, false},
        VerdictRule{ErrorPath::ConnectFailed, Repeatability::Idempotent, Verdict::NotRun, true},
        VerdictRule{ErrorPath::ConnectFailed, Repeatability::Keyed, Verdict::NotRun, true},
        VerdictRule{ErrorPath::ConnectFailed, Repeatability::Unkeyed, Verdict::NotRun, false},
        VerdictRule{ErrorPath::UpstreamDeclined, Repeatability::Idempotent, Verdict::NotRun, true},
        VerdictRule{ErrorPath::UpstreamDeclined, Repeatability::Keyed, Verdict::NotRun, true},
        VerdictRule{ErrorPath::UpstreamDeclined, Repeatability::Unkeyed, Verdict::NotRun, false},
        VerdictRule{ErrorPath::SilentBeforeAnswer, Repeatability::Idempotent, Verdict::MayHaveRun,
                    true},
        VerdictRule{ErrorPath::SilentBeforeAnswer, Repeatability::Keyed, Verdict::MayHaveRun,
                    false},
        VerdictRule{ErrorPath::SilentBeforeAnswer, Repeatability::Unkeyed, Verdict::MayHaveRun,
                    false},
        VerdictRule{ErrorPath::BrokenBeforeAnswer, Repeatability::Idempotent, Verdict::MayHaveRun,
                    true},
        VerdictRule{ErrorPath::BrokenBeforeAnswer, Repeatability::Keyed, Verdict::MayHaveRun,
                    false},
        VerdictRule{ErrorPath::BrokenBeforeAnswer, Repeatability::Unkeyed, Verdict::MayHaveRun,
                    false},
        VerdictRule{ErrorPath::AnswerOfAnother, Repeatability::Idempotent, Verdict::MayHaveRun,
                    true},
        VerdictRule{ErrorPath::AnswerOfAnother, Repeatability::Keyed, Verdict::MayHaveRun, false},
        VerdictRule{ErrorPath::AnswerOfAnother, Repeatability::Unkeyed, Verdict::MayHaveRun, false},
        VerdictRule{ErrorPath::StreamInterrupted, Repeatability::Idempotent, Verdict::MayHaveRun,
                    false},
        VerdictRule{ErrorPath::StreamInterrupted, Repeatability::Keyed, Verdict::MayHaveRun, false},
        VerdictRule{ErrorPath::StreamInterrupted, Repeatability::Unkeyed, Verdict::MayHaveRun,
                    false},
        VerdictRule{ErrorPath::CallerLeft, Repeatability::Idempotent, Verdict::MayHaveRun, false},
        VerdictRule{ErrorPath::CallerLeft, Repeatability::Keyed, Verdict::MayHaveRun, false},
        VerdictRule{ErrorPath::CallerLeft, Repeatability::Unkeyed, Verdict::MayHaveRun, false},
};

/// \returns the row for \a path and \a repeatability; there is one for each pair.
const VerdictRule &verdictRule(ErrorPath path, Repeatability repeatability);

/// \returns the path that \a error of an attempt took.
/// \param delivered whether part of the answer has gone to the caller.
ErrorPath errorPathOf(const Error &error, bool delivered);

/// \returns the name used in docs/design/requests.md.
std::string_view toString(ErrorPath path);
std::string_view toString(Repeatability repeatability);

} // namespace catkinloft
