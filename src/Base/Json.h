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

/// \brief Reads untrusted JSON with \a read, which may use every accessor of Json::Value. Most of
/// them throw if a value has another type, or is a number that the type of the result can't hold.
/// \returns the T or Result<T> that \a read returns, or the error \a reason with what is wrong.
template<typename T, typename Read>
Result<T> readJson(const Json::Value &root, Reason reason, const Read &read)
{
    try {
        return read(root);
    } catch (const Json::Exception &e) {
        return Error{.reason = reason, .detail = e.what()};
    }
}

} // namespace catkinloft
