#pragma once

#include "Base/Error.h"

#include <string>
#include <string_view>

namespace catkinloft {

/// \brief What a router writes of itself into the table service: enough for others to reach it, and
/// to name it to callers, before they have heard it.
struct RegisteredRouter
{
    std::string name = {};
    std::string callerAddress = {}; ///< `ip:port` that callers connect to.
    std::string peerAddress = {}; ///< `ip:port` for routers, TCP and UDP.
    double processorShare = 1; ///< Cores of its VM.

    bool operator==(const RegisteredRouter &) const = default;

    /// \returns the value of its row; the name is the row's key.
    std::string encode() const;

    /// \returns the router \a name whose row holds \a text; MalformedRequest where that names no
    /// addresses to connect to or no share of a processor.
    static Result<RegisteredRouter> decode(std::string_view name, std::string_view text);
};

} // namespace catkinloft
