#pragma once

#include "Base/Clock.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief One running replica of a service, as it registered itself.
struct ReplicaRecord
{
    /// Ids travel with every beat: five digits of the start are enough, since two starts under one
    /// id would have to lie a multiple of 100 seconds apart to the millisecond to be confused.
    static constexpr std::int64_t IncarnationPeriod = 100'000;

    std::string id = {}; ///< A replica that starts again may have it again.
    std::string service = {};
    std::string address = {}; ///< `ip:port`; another service may get it once the replica is gone.
    std::string failureDomain = {};
    std::string version = {}; ///< Of its software.
    int slots = 1; ///< Requests that it works on at once.
    bool draining = false; ///< Takes no new requests.
    std::int64_t sequence = 0; ///< Rises while the process runs; 0: not told.
    std::int64_t startedAt = 0; ///< Unix time of its start in milliseconds; 0: not told.
    /// How long it stays cold from when its entry was read: it bears few requests a second, and
    /// ends above.
    Duration coldDuration = Duration::zero();
    TimePoint coldUntil = {}; ///< The same by this process's clock, once the registry has it.

    /// \returns what tells this start of the replica from others under the same id. Counts, health
    /// and kept prompts belong to it; to the platform a replica is known by its id.
    std::string incarnation() const
    {
        return startedAt == 0 ? id : id + '~' + std::to_string(startedAt % IncarnationPeriod);
    }

    /// \returns \a ms as the time for which a replica says that it stays cold, at most an hour.
    static Duration coldDurationFromMs(double ms)
    {
        constexpr double MaxMs = 3'600'000;
        return fromSeconds(ms > 0 ? std::min(ms, MaxMs) / 1000 : 0);
    }

    /// \returns what names the program that it runs: another version, or that of another service,
    /// may do better with the same request.
    std::string software() const { return service + ' ' + version; }
};

/// \brief All replicas as of one moment of the store.
struct ReplicaSnapshot
{
    std::uint64_t storeVersion = 0; ///< Rises with every change of the store.
    std::vector<ReplicaRecord> replicas = {};
};

} // namespace catkinloft
