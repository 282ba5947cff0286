#pragma once

#include "Base/Error.h"

#include <string>
#include <string_view>

#include <json/json.h>

namespace catkinloft {

/// \returns \a value on one line.
std::string printJson(const Json::Value &value);

/// \returns the object in \a text; UpstreamBroken where it is none.
Result<Json::Value> parseJsonObject(std::string_view text);

} // namespace catkinloft
