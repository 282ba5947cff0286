#pragma once

#include "Base/Error.h"
#include "Base/ReplicaRecord.h"
#include "Base/RouteConfig.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief Whether the operator wants nothing sent to the replicas of a failure domain.
struct DomainEvacuation
{
    std::string domain;
    bool isEvacuated = true;
};

/// \brief What one read of what the operator wrote brought.
struct ConfigRead
{
    std::uint64_t storeVersion = 0; ///< To go on watching from.
    RouteConfigPtr config = {}; ///< Null where nothing changed.
    bool historyLost = false; ///< The changes since are not to be had: read anew.
    std::vector<DomainEvacuation> evacuations =
            {}; ///< All, or where \a isComplete is not set, changes.
    bool isComplete = false; ///< Nothing that stands in the store is missing.
};

/// \brief The platform's store as far as it holds what operators and replicas wrote.
///
/// Every call is asynchronous and calls back exactly once, on the thread of the event loop. Answers
/// are linearizable: one holds what was acknowledged before its call began.
class FleetStore
{
public:
    template<typename T>
    using Callback = std::function<void(Result<T>)>;

    virtual ~FleetStore() = default;

    /// \brief Reads the newest configuration and all evacuations.
    virtual void readConfig(Callback<ConfigRead> done) = 0;

    /// \brief Waits up to \a wait for a configuration or an evacuation written after
    /// \a storeVersion.
    virtual void watchConfig(std::uint64_t storeVersion, Duration wait,
                             Callback<ConfigRead> done) = 0;

    /// \brief Reads all registered replicas.
    virtual void readReplicas(Callback<ReplicaSnapshot> done) = 0;

    /// \brief Gives up on open connections, because one of them went silent.
    virtual void dropConnections() = 0;

    /// \brief Decodes what another router read, as RouteConfig::sourceText.
    virtual Result<RouteConfigPtr> decodeConfig(std::string_view sourceText) const = 0;
};

} // namespace catkinloft
