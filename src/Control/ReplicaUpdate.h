#pragma once

#include "Base/Error.h"
#include "Base/ReplicaRecord.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief The list of replicas as announced from router to router: the whole list, or the changes
/// since a list that the receiver has.
///
/// Handles a release that replaces one replica per second with hundreds of routers. Prevents
/// sending the whole list, tens of kilobytes, to each router for each change from the one router
/// that reads the store for all.
struct ReplicaUpdate
{
    std::uint64_t base = 0; ///< ReplicaRegistry::hash() of the base list; 0: the list is whole.
    StorePosition position = {}; ///< Position of the store when it was read.
    std::vector<std::string> removed = {}; ///< Ids in the base list that are not in the new one.
    std::vector<ReplicaRecord> replicas = {}; ///< New or changed replicas, or all.

    /// \returns the update as JSON.
    std::string encode() const;

    /// \returns the update encoded in \a text; an error with MalformedRequest if it is invalid.
    static Result<ReplicaUpdate> decode(std::string_view text);
};

} // namespace catkinloft
