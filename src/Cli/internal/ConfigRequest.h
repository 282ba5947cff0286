#pragma once

#include "Net/HttpClient.h"

#include <string>

namespace catkinloft::internal {

/// \brief The active configuration of a router.
struct CurrentConfig
{
    std::string text;
    std::string tag; ///< ETag, to be sent as If-Match.
};

/// \brief Reads the active configuration from a router.
/// \returns an error whose detail is the router's answer if it refuses.
Result<CurrentConfig> readConfig();

/// \brief Sends a change to a router and prints the result.
///
/// If the answer is lost, the change is sent again with the same change id, to find out whether it
/// was accepted.
/// \param target path and query.
/// \param tag ETag of the configuration that the change is based on.
/// \returns an exit code.
int sendConfig(const std::string &target, const std::string &tag, const std::string &body);

} // namespace catkinloft::internal
