#pragma once

#include <optional>
#include <string>

#include <json/json.h>

namespace catkinloft {
class HttpExchange;
}

namespace catkinloft::standin {

/// \brief A chat request as an engine reads it. Parsed here and not by the router's own module, so
/// that a mistake there is not repeated by the checks.
struct EngineRequest
{
    std::string id;
    std::string chat; ///< What the prefix cache knows the chat by.
    std::string
            echo; ///< Start of the last message; answers repeat it, so callers see crossed ones.
    bool streamed = false;
    double promptTokens = 0;
    int outputTokens = 128;
    int priority = 0; ///< Lower values are served first.

    /// \returns nothing where the body is no chat request.
    static std::optional<EngineRequest> parse(const HttpExchange &exchange);
};

} // namespace catkinloft::standin
