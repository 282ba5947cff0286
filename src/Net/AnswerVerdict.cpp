#include "Net/AnswerVerdict.h"

#include "Request/Problem.h"

namespace catkinloft {

Verdict answerVerdict(const AnswerFacts &answer, int status, std::string_view requestId)
{
    const bool isRefusal = answer.notExecuted || status == MisdirectedStatus;
    if (isRefusal && answer.requestId == requestId)
        return Verdict::NotRun;
    return isRefusal || Problem::promisesNotRun(status) ? Verdict::MayHaveRun : Verdict::Ran;
}

} // namespace catkinloft
