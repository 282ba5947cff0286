#pragma once

#include "Net/HttpClient.h"

#include <string>

namespace catkinloft::standin {

/// \brief Fault of an answer that was received as a complete one.
enum class AnswerFault {
    None,
    Crossed, ///< Belongs to another request.
    Truncated, ///< A part is missing or differs.
};

/// \brief The answer that the caller of a request expects.
struct ExpectedAnswer
{
    std::string operation; ///< Start of the last message, or the body of the call.
    bool chat = false;
    bool streamed = false;
    int tokens = 0;
};

/// \returns the fault of \a answer, whose status is 200.
AnswerFault checkAnswer(const HttpAnswer &answer, const ExpectedAnswer &expected);

} // namespace catkinloft::standin
