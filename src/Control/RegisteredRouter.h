#pragma once

#include "Base/Error.h"

#include <string>
#include <string_view>

namespace catkinloft {

/// \brief Row of a router in the table service. With it, other routers can reach the router and
/// name it to callers before they have received a heartbeat of it.
struct RegisteredRouter
{
    std::string name = {};
    std::string callerAddress = {}; ///< `ip:port` that callers connect to.
    std::string peerAddress = {}; ///< `ip:port` for routers, TCP and UDP.
    double processorShare = 1; ///< Processor cores of its VM.

    bool operator==(const RegisteredRouter &) const = default;

    /// \returns the value of the row; the name is part of its key.
    std::string encode() const;

    /// \returns the router \a name whose row holds \a text; MalformedRequest if its addresses or
    /// its processor share are missing or invalid.
    static Result<RegisteredRouter> decode(std::string_view name, std::string_view text);
};

} // namespace catkinloft
