#pragma once

#include "Net/HttpClient.h"

#include <optional>
#include <string>

#include <json/json.h>

namespace catkinloft::internal {

/// \returns the content of the file at \a path; nothing where it can not be read.
std::optional<std::string> readFile(const std::string &path);

/// \brief The same for a file named on the command line: complains where it can not be read.
std::optional<std::string> readArgument(const char *path);

/// \brief Sends \a call and waits for its answer.
Result<HttpAnswer> fetchBlocking(HttpCall call);

/// \brief Reads the JSON object at \a target of a router, as an operator.
Result<Json::Value> fetchJson(const std::string &target);

/// \returns the address of a router, from the flag `--router`.
std::string routerAddress();

/// \returns the Authorization header made from the environment variable CATKINLOFT_KEY, which
/// keeps the key out of process lists.
HttpHeaders authorization();

/// \brief Prints \a text to standard error after the program's name.
void printError(const std::string &text);

} // namespace catkinloft::internal
