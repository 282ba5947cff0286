#pragma once

#include <cstdint>
#include <string>

namespace catkinloft {

/// \brief The properties of a router that the decisions use. They may be outdated or wrong.
struct RouterView
{
    std::string name = {};
    std::string callerAddress = {}; ///< `ip:port`.
    std::string peerAddress = {}; ///< `ip:port`.
    std::string failureDomain = {};
    bool leaving = false;
    double load = 0; ///< Requests in progress, as last received.
};

} // namespace catkinloft
