#include "Net/UnsentAnswer.h"

namespace catkinloft {

std::string_view answerCutName(AnswerCut cut)
{
    switch (cut) {
    case AnswerCut::Memory:
        return "request_memory";
    case AnswerCut::BrokenOff:
        return "broken_off";
    case AnswerCut::Timeout:
        return "timeout";
    case AnswerCut::Caller:
        return "caller";
    case AnswerCut::Reset:
        return "reset";
    case AnswerCut::Stopped:
        return "stopped";
    case AnswerCut::Unknown:
        return "unknown";
    }
    return {};
}

} // namespace catkinloft
