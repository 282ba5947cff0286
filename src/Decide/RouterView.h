#pragma once

#include <cstdint>
#include <string>

namespace catkinloft {

/// \brief A router as the decisions see it; a hint that may be late or wrong.
struct RouterView
{
    std::string name = {};
    std::string callerAddress = {}; ///< `ip:port`.
    std::string peerAddress = {}; ///< `ip:port`.
    std::string failureDomain = {};
    bool leaving = false;
    double load = 0; ///< Requests in progress, as last heard.
};

} // namespace catkinloft
