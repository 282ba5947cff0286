#pragma once

#include <string>

namespace Json { // NOLINT(readability-identifier-naming): name of the library
class Value;
}

namespace catkinloft::internal {

/// \returns a JSON-RPC notification with \a method and \a params.
std::string encodeNotification(const std::string &method, const Json::Value &params);

} // namespace catkinloft::internal
