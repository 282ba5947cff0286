#pragma once

#include "Base/Error.h"

#include <string>
#include <string_view>

#include <json/json.h>

namespace catkinloft {

/// \returns \a value as JSON on one line.
std::string printJson(const Json::Value &value);

/// \returns the JSON object in \a text, or the error UpstreamBroken if it is not one.
Result<Json::Value> parseJsonObject(std::string_view text);

} // namespace catkinloft
