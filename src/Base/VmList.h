#pragma once

#include "Base/Error.h"

#include <functional>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief An entry of the platform's VM list.
struct VmEntry
{
    std::string name = {};
    std::string callerAddress = {}; ///< `ip:port` that callers connect to.
    std::string peerAddress = {}; ///< `ip:port` for other routers.
    std::string failureDomain = {};
    bool leaving = false;
};

/// \brief The platform's list of live and leaving VMs. It is delayed and may be wrong.
class VmList
{
public:
    virtual ~VmList() = default;

    /// \sa TableService for when callbacks are invoked.
    virtual void read(std::function<void(Result<std::vector<VmEntry>>)> done) = 0;
};

} // namespace catkinloft
