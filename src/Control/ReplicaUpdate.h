#pragma once

#include "Base/Error.h"
#include "Base/ReplicaRecord.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief The list of replicas as one router tells it to another: the whole, or what has changed
/// since a list that the other one has.
///
/// Load: a release that replaces a replica a second, before hundreds of routers. Harm prevented:
/// the whole list for each change is tens of kilobytes for each router, from the one that reads
/// the store for all.
struct ReplicaUpdate
{
    std::uint64_t base = 0; ///< ReplicaRegistry::hash() of the list that changed; 0: it is whole.
    std::uint64_t storeVersion = 0; ///< Of the store when it was read.
    std::vector<std::string> removed = {}; ///< Ids that the base has and the new list lacks.
    std::vector<ReplicaRecord> replicas = {}; ///< New or changed ones, or all.

    /// \returns the update as JSON.
    std::string encode() const;

    /// \returns what encode() made; MalformedRequest for anything else.
    static Result<ReplicaUpdate> decode(std::string_view text);
};

} // namespace catkinloft
