#pragma once

#include "Base/Error.h"
#include "Base/ReplicaRecord.h"
#include "Base/RouteConfig.h"
#include "Base/StorePosition.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief An operator's request to send nothing to the replicas of a failure domain, or its end.
struct DomainEvacuation
{
    std::string domain;
    bool isEvacuated = true;
};

/// \brief Result of one read of the operators' data: the configuration and the evacuations.
struct ConfigRead
{
    StorePosition position = {}; ///< Position from which to continue to watch.
    RouteConfigPtr config = {}; ///< Null if it did not change.
    /// The store has no changes since the requested position, because it dropped them or was
    /// restored from a copy; a full read is needed.
    bool historyLost = false;
    /// All evacuations if \a isComplete is set, else only the changed ones.
    std::vector<DomainEvacuation> evacuations = {};
    bool isComplete = false; ///< The result contains everything that is in the store.
};

/// \brief The part of the platform's store that operators and replicas write to.
///
/// Every call is asynchronous and invokes its callback exactly once, on the event loop's thread.
/// Answers are linearizable within an era: an answer contains every write that was acknowledged in
/// its era before its call began. \sa StorePosition
class FleetStore
{
public:
    template<typename T>
    using Callback = std::function<void(Result<T>)>;

    virtual ~FleetStore() = default;

    /// \brief Reads the newest configuration and all evacuations.
    virtual void readConfig(Callback<ConfigRead> done) = 0;

    /// \brief Waits up to \a wait for a configuration or an evacuation that was written after
    /// \a position.
    virtual void watchConfig(const StorePosition &position, Duration wait,
                             Callback<ConfigRead> done) = 0;

    /// \brief Reads all registered replicas.
    virtual void readReplicas(Callback<ReplicaSnapshot> done) = 0;

    /// \brief Closes all open connections. Called when a connection no longer answers.
    virtual void dropConnections() = 0;

    /// \brief Decodes a configuration that another router sent as RouteConfig::sourceText.
    virtual Result<RouteConfigPtr> decodeConfig(std::string_view sourceText) const = 0;
};

} // namespace catkinloft
