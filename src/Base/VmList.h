#pragma once

#include "Base/Error.h"

#include <functional>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief One VM of the platform's list.
struct VmEntry
{
    std::string name = {};
    std::string callerAddress = {}; ///< `ip:port` that callers connect to.
    std::string peerAddress = {}; ///< `ip:port` for other routers.
    std::string failureDomain = {};
    bool leaving = false;
};

/// \brief The platform's list of live and leaving VMs; it lags and may be wrong.
class VmList
{
public:
    virtual ~VmList() = default;

    /// \sa TableService for the rules of callbacks.
    virtual void read(std::function<void(Result<std::vector<VmEntry>>)> done) = 0;
};

} // namespace catkinloft
