#include "Request/VerdictRules.h"

namespace catkinloft {

namespace {

constexpr std::size_t RepeatabilityCount = 3;

constexpr bool isComplete()
{
    for (std::size_t i = 0; i < VerdictTable.size(); ++i) {
        if (static_cast<std::size_t>(VerdictTable[i].path) != i / RepeatabilityCount
            || static_cast<std::size_t>(VerdictTable[i].repeatability) != i % RepeatabilityCount)
            return false;
    }
    return VerdictTable.size()
            == (static_cast<std::size_t>(ErrorPath::CallerLeft) + 1) * RepeatabilityCount;
}
static_assert(isComplete(), "EVERY_PATH_NEEDS_ONE_ROW_PER_REPEATABILITY_IN_ORDER");

} // namespace

const VerdictRule &verdictRule(ErrorPath path, Repeatability repeatability)
{
    return VerdictTable[static_cast<std::size_t>(path) * RepeatabilityCount
                        + static_cast<std::size_t>(repeatability)];
}

ErrorPath errorPathOf(const Error &error, bool delivered)
{
    if (delivered)
        return ErrorPath::StreamInterrupted;
    if (error.reason == Reason::AnswerMismatch)
        return ErrorPath::AnswerOfAnother;
    if (error.reason == Reason::UpstreamRefused)
        return ErrorPath::UpstreamDeclined;
    if (error.verdict == Verdict::NotRun)
        return ErrorPath::ConnectFailed;
    return error.reason == Reason::UpstreamTimeout ? ErrorPath::SilentBeforeAnswer
                                                   : ErrorPath::BrokenBeforeAnswer;
}

std::string_view toString(ErrorPath path)
{
    switch (path) {
    case ErrorPath::NotPlaced:
        return "not placed";
    case ErrorPath::ConnectFailed:
        return "connect failed";
    case ErrorPath::UpstreamDeclined:
        return "upstream declined";
    case ErrorPath::SilentBeforeAnswer:
        return "silent before answer";
    case ErrorPath::BrokenBeforeAnswer:
        return "broken before answer";
    case ErrorPath::AnswerOfAnother:
        return "answer of another";
    case ErrorPath::StreamInterrupted:
        return "stream interrupted";
    case ErrorPath::CallerLeft:
        return "caller left";
    }
    return {};
}

std::string_view toString(Repeatability repeatability)
{
    switch (repeatability) {
    case Repeatability::Idempotent:
        return "idempotent";
    case Repeatability::Keyed:
        return "keyed";
    case Repeatability::Unkeyed:
        return "unkeyed";
    }
    return {};
}

} // namespace catkinloft
