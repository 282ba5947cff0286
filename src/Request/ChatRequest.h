#pragma once

#include "Base/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace catkinloft {

/// \brief What the router reads from the body of a chat completion.
struct ChatRequest
{
    std::string model;
    bool stream = false;
    std::string chatId; ///< `metadata.chat_id`; empty where the caller names none.
    std::string opening; ///< System text and first user text, which stay the same for a chat.
    double promptTokens = 0; ///< Estimate.
    double outputTokens = 0; ///< `max_tokens`, or a usual length.

    /// \brief Parses a body in the usual chat completions format.
    /// \returns MalformedRequest with what was expected where it is not one.
    static Result<ChatRequest> parse(std::string_view body);

    /// \returns the key under which the chat is placed; never 0.
    std::uint64_t chatKey(std::string_view workspace) const;
};

} // namespace catkinloft
