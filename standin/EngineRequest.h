#pragma once

#include <optional>
#include <string>

#include <json/json.h>

namespace catkinloft {
class HttpExchange;
}

namespace catkinloft::standin {

/// \brief A chat request as an engine reads it. It does not share the router's parser: a fault
/// there would otherwise also affect the checks and stay undetected.
struct EngineRequest
{
    std::string id;
    std::string chat; ///< Key of the chat in the prefix cache.
    std::string echo; ///< Start of the last message. Answers repeat it, so that callers detect
                      ///< answers to other requests.
    bool streamed = false;
    double promptTokens = 0;
    int outputTokens = 128;
    int priority = 0; ///< Lower values are served first.

    /// \returns nothing if the body is not a chat request.
    static std::optional<EngineRequest> parse(const HttpExchange &exchange);
};

} // namespace catkinloft::standin
