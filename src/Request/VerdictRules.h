#pragma once

#include "Base/Error.h"

#include <array>
#include <span>
#include <string_view>

namespace catkinloft {

/// \brief How an attempt can end without an answer for the caller.
enum class ErrorPath {
    NotPlaced, ///< Refused before an upstream was chosen.
    ConnectFailed, ///< No byte was sent to the upstream.
    UpstreamDeclined, ///< The status promises by the upstream's contract that it did nothing.
    SilentBeforeAnswer, ///< Sent, but no answer was received before the timeout.
    BrokenBeforeAnswer, ///< Sent, but the connection broke before the answer was complete.
    AnswerOfAnother, ///< The answer has the id of another request.
    StreamInterrupted, ///< Part of a stream was delivered, and it can't be resumed.
    CallerLeft, ///< The caller closed its connection.
};

/// \brief Whether a request may be executed more than once.
enum class Repeatability {
    Idempotent, ///< Executing it twice is harmless.
    Keyed, ///< Not idempotent, but claimed with an idempotency key.
    Unkeyed, ///< Neither idempotent nor with a key.
};

/// \brief Verdict and retry rule for one error path and one kind of request.
struct VerdictRule
{
    ErrorPath path;
    Repeatability repeatability;
    Verdict verdict;
    bool mayRetry; ///< On another upstream, limited by attempts, deadline and retry budget.
};

/// Once a byte may have been sent, the verdict is only NotRun if the upstream's contract says so.
/// A non-idempotent call without a key is never retried by the router: the caller gets the verdict
/// and decides.
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

/// \returns the rule for \a path and \a repeatability. There is one for each pair.
const VerdictRule &verdictRule(ErrorPath path, Repeatability repeatability);

/// \returns the error path of an attempt that ended with \a error.
/// \param delivered whether part of the answer was sent to the caller.
ErrorPath errorPathOf(const Error &error, bool delivered);

/// \returns the name as used in docs/design/requests.md.
std::string_view toString(ErrorPath path);
std::string_view toString(Repeatability repeatability);

} // namespace catkinloft
