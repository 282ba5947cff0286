#pragma once

#include "Base/Clock.h"
#include "Base/StorePosition.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief The registration of a running replica of a service.
struct ReplicaRecord
{
    /// Every heartbeat contains incarnations, so they use only the last five digits of the start
    /// time. Two starts with the same id are confused only if they are a multiple of 100 seconds
    /// apart, to the millisecond.
    static constexpr std::int64_t IncarnationPeriod = 100'000;

    std::string id = {}; ///< May be the same after a restart. \sa incarnation()
    std::string service = {};
    std::string address = {}; ///< `ip:port`. Another service may reuse it when the replica is gone.
    std::string failureDomain = {};
    std::string version = {}; ///< Software version.
    int slots = 1; ///< Requests that it works on concurrently.
    bool draining = false; ///< It accepts no new requests.
    std::int64_t sequence = 0; ///< Increases while the process runs; 0: not reported.
    std::int64_t startedAt = 0; ///< Unix time of its start in milliseconds; 0: not reported.
    /// How long it stays cold, counted from when its entry was read. A cold replica handles only a
    /// few requests per second and crashes above that rate.
    Duration coldDuration = Duration::zero();
    /// End of the cold state by this process's clock, set by ReplicaRegistry.
    TimePoint coldUntil = {};

    /// \returns an identifier of this start of the replica, distinct from other starts with the
    /// same id. Request counts, health and cached prompts belong to an incarnation; the platform
    /// identifies a replica by its id only.
    std::string incarnation() const
    {
        return startedAt == 0 ? id : id + '~' + std::to_string(startedAt % IncarnationPeriod);
    }

    /// \returns \a ms as a duration, limited to one hour. \a ms is the time for which a replica
    /// reports that it stays cold.
    static Duration coldDurationFromMs(double ms)
    {
        constexpr double MaxMs = 3'600'000;
        return fromSeconds(ms > 0 ? std::min(ms, MaxMs) / 1000 : 0);
    }

    /// \returns an identifier of the program that it runs. A request that crashes one program may
    /// succeed on another version or another service.
    std::string software() const { return service + ' ' + version; }

    /// \returns whether \a software is a version of \a service.
    static bool isSoftwareOf(std::string_view software, const std::string &service)
    {
        return software.starts_with(service + ' ');
    }
};

/// \brief All replicas at one position of the store.
struct ReplicaSnapshot
{
    StorePosition position = {};
    std::vector<ReplicaRecord> replicas = {};
};

} // namespace catkinloft
