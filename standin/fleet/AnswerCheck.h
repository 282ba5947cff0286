#pragma once

#include "Net/HttpClient.h"

#include <string>

namespace catkinloft::standin {

/// \brief What is wrong with an answer that was taken for a whole one.
enum class AnswerFault {
    None,
    Crossed, ///< It belongs to another request.
    Truncated, ///< Something is missing.
};

/// \brief What the caller of one request expects to get.
struct ExpectedAnswer
{
    std::string operation; ///< Start of the last message, or the body of the call.
    bool chat = false;
    bool streamed = false;
    int tokens = 0;
};

/// \returns what is wrong with \a answer, whose status is 200.
AnswerFault checkAnswer(const HttpAnswer &answer, const ExpectedAnswer &expected);

} // namespace catkinloft::standin
