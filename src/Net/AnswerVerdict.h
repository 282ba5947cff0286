#pragma once

#include "Base/Verdict.h"
#include "Net/WireCodec.h"

#include <string_view>

namespace catkinloft {

/// \brief States what the complete answer of a replica says about the request \a requestId.
///
/// A refusal proves that the request did not run only if it bears the id of the request: a copy of
/// an earlier refusal may arrive in place of the answer. A copy that bears the same id is excluded
/// by HttpClient, which sends no request again on a connection on which it failed.
///
/// \returns NotRun for a proof, MayHaveRun for a refusal without one, and Ran for all others.
Verdict answerVerdict(const AnswerFacts &answer, int status, std::string_view requestId);

} // namespace catkinloft
