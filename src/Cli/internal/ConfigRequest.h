#pragma once

#include "Net/HttpClient.h"

#include <string>

namespace catkinloft::internal {

/// \brief The configuration in force, as a router gave it.
struct CurrentConfig
{
    std::string text;
    std::string tag; ///< For If-Match.
};

/// \brief Reads the configuration in force. \returns an error with the router's own words where it
/// declines.
Result<CurrentConfig> readConfig();

/// \brief Sends a change and prints what became of it.
///
/// An answer that was lost is asked for again with the same change id, which settles whether the
/// change was accepted. \param target path and query. \returns an exit code.
int sendConfig(const std::string &target, const std::string &tag, const std::string &body);

} // namespace catkinloft::internal
