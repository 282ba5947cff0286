#pragma once

#include "Base/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace catkinloft {

/// \brief The fields of a chat completion's body that the router uses.
struct ChatRequest
{
    std::string model;
    bool stream = false;
    std::string chatId; ///< `metadata.chat_id`; empty if the caller sends none.
    std::string opening; ///< System and first user message, which stay the same during a chat.
    double promptTokens = 0; ///< Estimated from the size of the texts.
    double outputTokens = 0; ///< `max_tokens` or `max_completion_tokens`, else a default.

    /// \brief Parses a body in the OpenAI chat completions format.
    /// \returns the request, or MalformedRequest with the expected form as detail.
    static Result<ChatRequest> parse(std::string_view body);

    /// \returns the key by which the chat is placed on an engine; never 0.
    std::uint64_t chatKey(std::string_view workspace) const;
};

} // namespace catkinloft
