#pragma once

#include "Net/HttpClient.h"

#include <optional>
#include <string>

#include <json/json.h>

namespace catkinloft::internal {

/// \returns the content of the file at \a path, or nothing if it cannot be read.
std::optional<std::string> readFile(const std::string &path);

/// \brief Reads a file that is named on the command line. Prints an error if it cannot be read.
std::optional<std::string> readArgument(const char *path);

/// \brief Sends \a call and blocks until it is answered or failed.
Result<HttpAnswer> fetchBlocking(HttpCall call);

/// \brief Requests the JSON object at \a target from a router, as an operator.
Result<Json::Value> fetchJson(const std::string &target);

/// \returns the value of the flag `--router`.
std::string routerAddress();

/// \returns the Authorization header with the key from the environment variable CATKINLOFT_KEY. A
/// flag would show the key in process lists.
HttpHeaders authorization();

/// \brief Prints the program's name and \a text to standard error.
void printError(const std::string &text);

/// \brief Lets SIGHUP have no effect until a handler is installed for it. It would end a process
/// that is still starting, is ending, or has no files to read again.
void ignoreHangup();

} // namespace catkinloft::internal
